// The stand-ins of the second review: store, upstreams, links and clients, which start real
// gateways and play one case against them.
//
// Usage: standins CASE RECORD
//
// TROUBLE=0 in the environment plays the case without its disruption. The status is 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. RECORD gets what was sent, answered
// and run. Every peer has an address of 127.0.0.0/8 and a free port.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr int statusHeld = 0;
constexpr int statusBroken = 1;
constexpr int statusNotRun = 2;
constexpr const char *gatewayProgram = "target/platform/chestnutvane-gateway";
constexpr const char *host = "a.example";

// What happened, in the order of time. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path) { }

    void add(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        file_ << std::to_string(Seconds(Clock::now() - start_).count()) << " " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

// A port of the address that nothing uses.
std::uint16_t freePort(const std::string &ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own = toSocketAddress({ip, 0});
    socklen_t size = sizeof(own);
    if (probe < 0 || bind(probe, reinterpret_cast<sockaddr *>(&own), size) != 0
        || getsockname(probe, reinterpret_cast<sockaddr *>(&own), &size) != 0)
        throw std::runtime_error("no free port at " + ip);
    close(probe);
    return ntohs(own.sin_port);
}

Address freeAddress(const std::string &ip)
{
    return {ip, freePort(ip)};
}

struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields; // by name in lower case
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::size_t bodySize() const
    {
        const std::string length = field("content-length");
        return length.empty() ? 0 : std::stoul(length);
    }
    [[nodiscard]] int status() const { return std::atoi(startLine.substr(9).c_str()); }
    [[nodiscard]] std::string target() const
    {
        const auto first = startLine.find(' ');
        return startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
    }
};

// A blocking TCP connection with HTTP/1.1 messages.
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { end(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> to(const Address &address, Seconds limit)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        auto connection = std::make_unique<Connection>(descriptor);
        connection->limitReads(limit);
        sockaddr_in peer = toSocketAddress(address);
        if (connect(descriptor, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) != 0)
            return nullptr;
        return connection;
    }

    void limitReads(Seconds limit) const
    {
        timeval time{};
        time.tv_sec = static_cast<time_t>(limit.count());
        time.tv_usec =
                static_cast<suseconds_t>((limit.count() - static_cast<double>(time.tv_sec)) * 1e6);
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Reads some bytes; none at the end of the connection, or after the limit of reads.
    std::string readSome(std::size_t most) const
    {
        std::string bytes(most, '\0');
        const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

    std::optional<Message> read()
    {
        auto message = readHead();
        if (!message)
            return std::nullopt;
        message->body = readBody(message->bodySize());
        if (message->body.size() < message->bodySize())
            return std::nullopt;
        return message;
    }

    // Reads a message up to its body.
    std::optional<Message> readHead()
    {
        const auto headEnd = readUntil("\r\n\r\n");
        if (!headEnd)
            return std::nullopt;
        Message message;
        std::istringstream head(buffer_.substr(0, *headEnd));
        buffer_.erase(0, *headEnd + 4);
        std::getline(head, message.startLine);
        message.startLine.erase(message.startLine.find_last_not_of('\r') + 1);
        for (std::string line; std::getline(head, line);) {
            line.erase(line.find_last_not_of('\r') + 1);
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const auto text = line.find_first_not_of(' ', colon + 1);
            message.fields[name] = text == std::string::npos ? "" : line.substr(text);
        }
        return message;
    }

    // Reads a body; less of it if the connection ends before.
    std::string readBody(std::size_t size)
    {
        (void)fill(size);
        std::string body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return body;
    }

    void end()
    {
        if (descriptor_ >= 0)
            close(std::exchange(descriptor_, -1));
    }

private:
    std::optional<std::size_t> readUntil(std::string_view mark)
    {
        while (true) {
            if (const auto at = buffer_.find(mark); at != std::string::npos)
                return at;
            if (!fill(buffer_.size() + 1))
                return std::nullopt;
        }
    }

    bool fill(std::size_t size)
    {
        constexpr std::size_t most = 1U << 20U;
        while (buffer_.size() < size) {
            const std::string bytes = readSome(most);
            if (bytes.empty())
                return false;
            buffer_ += bytes;
        }
        return true;
    }

    int descriptor_;
    std::string buffer_;
};

// Serves each connection on a thread of its own, until the program ends.
void serve(const Address &address, std::function<void(Connection &)> handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = toSocketAddress(address);
    constexpr int backlog = 512;
    if (bind(listener, reinterpret_cast<sockaddr *>(&own), sizeof(own)) != 0
        || listen(listener, backlog) != 0)
        throw std::runtime_error("cannot listen on " + address.text());
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept(listener, nullptr, nullptr);
            if (descriptor < 0)
                return;
            std::thread([descriptor, handler] {
                Connection connection(descriptor);
                handler(connection);
            }).detach();
        }
    }).detach();
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                    | (j < count ? static_cast<unsigned char>(bytes[i + j]) : std::uint32_t{0});
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[group >> (18U - 6U * j) & 63U] : '=';
    }
    return text;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    const std::string text = query.substr(begin, query.find('&', begin) - begin);
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

// The platform's store: items, watches that do not wait, transactions and leases. Values that the
// gateways write are kept as they come, in base64.
class Store
{
public:
    explicit Store(Address address) : address_(std::move(address))
    {
        serve(address_, [this](Connection &connection) {
            while (auto call = connection.read()) {
                const auto [status, body] = answer(*call);
                if (!connection.send(
                            answerText(status, "Content-Type: application/json\r\n", body.dump())))
                    return;
            }
        });
    }

    [[nodiscard]] const Address &address() const { return address_; }

    void put(const std::string &key, const std::string &bytes)
    {
        const std::lock_guard lock(mutex_);
        putEncoded(key, encodeBase64(bytes), 0);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        removeItem(key);
    }

private:
    struct Lease
    {
        double seconds = 0;
        Clock::time_point end;
    };

    void putEncoded(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        ++revision_;
        const auto known = items_.find(key);
        const Json created = known == items_.end() ? Json(revision_) : known->second["created"];
        items_[key] = Json{{"key", key},
                           {"value", value},
                           {"revision", revision_},
                           {"created", created},
                           {"lease", lease}};
        history_.push_back(items_[key]);
    }

    void removeItem(const std::string &key)
    {
        if (items_.erase(key) == 0)
            return;
        ++revision_;
        history_.push_back(Json{{"key", key}, {"revision", revision_}, {"tombstone", true}});
    }

    void endLease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item["lease"] == id)
                keys.push_back(key);
        }
        for (const auto &key : keys)
            removeItem(key);
    }

    void endOldLeases()
    {
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (lease.end < Clock::now())
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    std::pair<int, Json> answer(const Message &call)
    {
        const std::lock_guard lock(mutex_);
        endOldLeases();
        const std::string target = call.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string last = path.substr(path.rfind('/') + 1);
        if (path == "/chestnutvane/kv-key") {
            const auto found = items_.find(queryValue(target, "key"));
            if (found == items_.end())
                return {404, {{"currentRev", revision_}}};
            Json item = found->second;
            item["currentRev"] = revision_;
            return {200, item};
        }
        if (path == "/chestnutvane/kv-range")
            return {200, range(queryValue(target, "pathPrefix"), queryValue(target, "after"))};
        if (path == "/chestnutvane/kv-watch")
            return {200, changes(queryValue(target, "pathPrefix"), queryValue(target, "after"))};
        if (path == "/chestnutvane/kv-txn")
            return transact(Json::parse(call.body));
        if (path == "/chestnutvane/kv-lease") {
            const double seconds = Json::parse(call.body)["ttlS_time"];
            leases_[++lastLease_] = {seconds, leaseEnd(seconds)};
            return {200, {{"lease", lastLease_}, {"ttlS_time", seconds}}};
        }
        if (path.find("/kv-keep/") != std::string::npos) {
            const auto lease = leases_.find(std::stoull(last));
            if (lease == leases_.end())
                return {404, Json::object()};
            lease->second.end = leaseEnd(lease->second.seconds);
            return {200, {{"ttlS_time", lease->second.seconds}}};
        }
        if (path.find("/kv-lease-end/") != std::string::npos) {
            endLease(std::stoull(last));
            return {200, Json::object()};
        }
        return {404, Json::object()};
    }

    static Clock::time_point leaseEnd(double seconds)
    {
        return Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
    }

    [[nodiscard]] Json range(const std::string &prefix, const std::string &after) const
    {
        Json page{{"items", Json::array()}, {"hasMore", false}, {"currentRev", revision_}};
        for (const auto &[key, item] : items_) {
            if (key.starts_with(prefix) && key > after)
                page["items"].push_back(item);
        }
        return page;
    }

    [[nodiscard]] Json changes(const std::string &prefix, const std::string &after) const
    {
        Json news{{"events", Json::array()}, {"currentRev", revision_}};
        for (const Json &event : history_) {
            if (event["revision"].get<std::uint64_t>() > std::stoull(after)
                && event["key"].get<std::string>().starts_with(prefix))
                news["events"].push_back(event);
        }
        return news;
    }

    std::pair<int, Json> transact(const Json &call)
    {
        for (const Json &row : call["expect"]) {
            const auto found = items_.find(row["key"]);
            const Json revision = found == items_.end() ? Json(0) : found->second["revision"];
            if (revision != row["revision"])
                return {412, {{"items", Json::array()}}};
        }
        for (const Json &row : call["puts"]) {
            const std::uint64_t lease = row.value("lease", std::uint64_t{0});
            if (lease != 0 && !leases_.contains(lease))
                return {404, Json::object()};
            putEncoded(row["key"], row["value"], lease);
        }
        for (const Json &key : call["remove"])
            removeItem(key);
        return {200, {{"revision", revision_}}};
    }

    Address address_;
    std::mutex mutex_;
    std::map<std::string, Json> items_;
    std::vector<Json> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t lastLease_ = 0;
};

// A machine's way to the store: calls take the time there and back, and the bytes that come from
// there share the bandwidth of the machine's link.
class StoreLink
{
public:
    StoreLink(Address address, Address store, double megabitsPerSecond, Seconds roundTrip)
        : address_(std::move(address)), bytesPerSecond_(megabitsPerSecond * 1e6 / 8)
    {
        serve(address_, [this, store, roundTrip](Connection &caller) {
            const auto onward = Connection::to(store, 60s);
            if (!onward)
                return;
            std::thread calls([&caller, &onward, roundTrip] {
                for (std::string bytes = caller.readSome(pieceBytes); !bytes.empty();
                     bytes = caller.readSome(pieceBytes)) {
                    std::this_thread::sleep_for(roundTrip);
                    if (!onward->send(bytes))
                        break;
                }
                onward->limitReads(1ms);
            });
            for (std::string bytes = onward->readSome(pieceBytes); !bytes.empty();
                 bytes = onward->readSome(pieceBytes)) {
                wait(bytes.size());
                if (!caller.send(bytes))
                    break;
            }
            caller.limitReads(1ms);
            calls.join();
        });
    }

    [[nodiscard]] const Address &address() const { return address_; }

private:
    static constexpr std::size_t pieceBytes = 12500;

    // Waits until the link has carried so many bytes more.
    void wait(std::size_t bytes)
    {
        Clock::time_point carried;
        {
            const std::lock_guard lock(mutex_);
            const Seconds time(static_cast<double>(bytes) / bytesPerSecond_);
            free_ = std::max(free_, Clock::now())
                    + std::chrono::duration_cast<Clock::duration>(time);
            carried = free_;
        }
        std::this_thread::sleep_until(carried);
    }

    Address address_;
    double bytesPerSecond_;
    std::mutex mutex_;
    Clock::time_point free_;
};

// An upstream: registers itself, refuses what is for another one, and runs the rest.
class Upstream
{
public:
    // Answers a request that has begun to run. Returns the whole answer.
    using Work = std::function<std::string(const Upstream &, const Message &)>;

    Upstream(Store &store, Record &record, std::string id, std::string service,
             const std::string &ip, Work work)
        : store_(store), record_(record), id_(std::move(id)), service_(std::move(service)),
          address_(freeAddress(ip)), work_(std::move(work))
    {
        serve(address_, [this](Connection &connection) {
            while (auto request = connection.readHead()) {
                if (!serveRequest(connection, *request))
                    return;
            }
        });
        std::thread([this] {
            for (int sequence = 1;; ++sequence) {
                const Json entry{{"service", service_},  {"address", address_.text()},
                                 {"zone", "z1"},         {"version", "v1"},
                                 {"slots", 3},           {"state", "ready"},
                                 {"coldRemainingS", 0},  {"sequence", sequence},
                                 {"born", 1700000000000}};
                store_.put("servers/" + id_, entry.dump());
                std::this_thread::sleep_for(1500ms);
            }
        }).detach();
    }

    [[nodiscard]] const std::string &id() const { return id_; }

    // Sets a function that says whether the next request is answered before its body has been
    // read, which is read later on the same connection. Call it before there are requests.
    void setAnswersEarly(std::function<bool()> function) { answersEarly_ = std::move(function); }

    // The fields of an answer of its own.
    [[nodiscard]] std::string fields(const Message &request) const
    {
        return "Request-Id: " + request.field("request-id") + "\r\nInstance-Id: " + id_
                + "\r\nResponse-Seal: seal-" + id_ + "\r\n";
    }

    [[nodiscard]] int runsOf(const std::string &requestId) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(requestId);
        return found == runs_.end() ? 0 : found->second;
    }

    // The body that a request brought so far, by the request's id.
    [[nodiscard]] std::string bodyOf(const std::string &requestId) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = bodies_.find(requestId);
        return found == bodies_.end() ? std::string() : found->second;
    }

private:
    // Returns whether the connection can be used further.
    bool serveRequest(Connection &connection, Message &request)
    {
        const std::string requestId = request.field("request-id");
        const std::size_t size = request.bodySize();
        if (request.field("expected-instance") != id_)
            return connection.readBody(size).size() == size
                    && connection.send(answerText(
                            421, "Request-Id: " + requestId + "\r\nInstance-Id: " + id_ + "\r\n",
                            ""));
        const bool isEarly = answersEarly_ && answersEarly_();
        if (!isEarly) {
            request.body = connection.readBody(size);
            if (request.body.size() < size)
                return false;
        }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[requestId];
        }
        const std::string answer = work_(*this, request);
        record_.add("upstream " + id_ + " (" + service_ + ") ran " + requestId + " "
                    + request.startLine + " and answered " + answer.substr(0, answer.find("\r\n")));
        const bool isSent = connection.send(answer);
        if (isEarly) {
            std::this_thread::sleep_for(300ms);
            request.body = connection.readBody(size);
        }
        record_.add("upstream " + id_ + " has " + std::to_string(request.body.size()) + " of "
                    + std::to_string(size) + " bytes of the body of " + requestId);
        const bool isWhole = request.body.size() == size;
        const std::lock_guard lock(mutex_);
        bodies_[requestId] = std::move(request.body);
        return isSent && isWhole;
    }

    Store &store_;
    Record &record_;
    std::string id_;
    std::string service_;
    Address address_;
    Work work_;
    std::function<bool()> answersEarly_; // whether it answers the next request before its body
    mutable std::mutex mutex_; // guards what follows
    std::map<std::string, int> runs_;
    std::map<std::string, std::string> bodies_;
};

// A machine with the gateway's process, started with the command of the deploy file.
class Machine
{
public:
    Machine(Record &record, const std::string &id, std::string ip, Address store, int memoryMb)
        : record_(record), id_(id), ip_(std::move(ip)), store_(std::move(store)),
          memoryMb_(memoryMb), callers_(freeAddress(ip_)), readiness_(freeAddress(ip_)),
          directory_(freeAddress(ip_)), report_(freeAddress(ip_)), metrics_(freeAddress(ip_))
    {
        start();
    }
    ~Machine() { kill(); }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    [[nodiscard]] const Address &callers() const { return callers_; }
    [[nodiscard]] const Address &directory() const { return directory_; }
    [[nodiscard]] const std::string &id() const { return id_; }

    // Bounds, limits and times are those of the small deployments.
    void start()
    {
        std::vector<std::string> words{gatewayProgram,
                                       "--instance-id",
                                       id_,
                                       "--zone",
                                       "z1",
                                       "--zones",
                                       "z1=r1",
                                       "--caller-address",
                                       callers_.text(),
                                       "--readiness-address",
                                       readiness_.text(),
                                       "--directory-address",
                                       directory_.text(),
                                       "--report-address",
                                       report_.text(),
                                       "--metrics-address",
                                       metrics_.text(),
                                       "--store-url",
                                       "http://" + store_.text(),
                                       "--core-share",
                                       "0.2",
                                       "--memory-limit-mb",
                                       std::to_string(memoryMb_),
                                       "--descriptor-limit",
                                       "4100",
                                       "--stop-grace",
                                       "6",
                                       "--drain-time",
                                       "2.5",
                                       "--retry-ratio",
                                       "0.2",
                                       "--retry-slack",
                                       "56",
                                       "--retry-window",
                                       "10",
                                       "--cold-overshoot",
                                       "1.5",
                                       "--cold-slack",
                                       "5"};
        std::vector<char *> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        process_ = fork();
        if (process_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int nothing = open("/dev/null", O_WRONLY | O_CLOEXEC);
            dup2(nothing, STDOUT_FILENO);
            dup2(nothing, STDERR_FILENO);
            constexpr int firstOther = 3;
            close_range(firstOther, ~0U, 0);
            execv(gatewayProgram, arguments.data());
            _exit(statusNotRun);
        }
        record_.add(id_ + " started");
    }

    void kill()
    {
        if (process_ <= 0)
            return;
        const pid_t process = process_.exchange(0);
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }

    // The memory that the process holds, in bytes.
    [[nodiscard]] std::size_t residentBytes() const
    {
        constexpr std::size_t bytesPerKilobyte = 1024;
        std::ifstream status("/proc/" + std::to_string(process_) + "/status");
        for (std::string word; status >> word;) {
            if (std::size_t kilobytes = 0; word == "VmRSS:" && status >> kilobytes)
                return kilobytes * bytesPerKilobyte;
        }
        return 0;
    }

    [[nodiscard]] bool isReady() const
    {
        const auto connection = Connection::to(readiness_, 1s);
        if (!connection
            || !connection->send("GET /chestnutvane/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto answer = connection->read();
        return answer && answer->status() == 200;
    }

    void awaitReady() const
    {
        const auto until = Clock::now() + 15s;
        while (!isReady()) {
            if (Clock::now() > until)
                throw std::runtime_error(id_ + " is not ready");
            std::this_thread::sleep_for(50ms);
        }
        record_.add(id_ + " is ready");
    }

private:
    Record &record_;
    std::string id_;
    std::string ip_;
    Address store_;
    int memoryMb_;
    Address callers_;
    Address readiness_;
    Address directory_;
    Address report_;
    Address metrics_;
    std::atomic<pid_t> process_ = 0;
};

Json route(const std::string &prefix, const std::string &kind, const std::string &service)
{
    return Json{{"host", host},
                {"pathPrefix", prefix},
                {"kind", kind},
                {"timeoutS", 2.5},
                {"targetLatencyS", 0.4},
                {"priority", 1},
                {"service", service},
                {"maxAttempts", 2},
                {"sessionAffinity", true},
                {"homeRegions", Json::array()}};
}

std::string configuration(int version, const Json &routes)
{
    const Json service{{"healthCheckPath", "/health"},
                       {"maxConnections", 330},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"coldStartS", 3.0},
                       {"coldPerS", 4.9}};
    return Json{{"version", version},
                {"routes", routes},
                {"services", {{"boxoffice", service}, {"gallery", service}}},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 67108864},
                  {"headerTimeoutS", 3},
                  {"idleTimeoutS", 15}}}}
            .dump();
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
            + "\r\nRequest-Deadline: 2500\r\n"
            + (method == "GET" ? std::string()
                               : "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + "\r\n" + body;
}

// Sends a request on a connection of its own. Returns the answer, or nothing if none came.
std::optional<Message> ask(const Machine &machine, const std::string &method,
                           const std::string &path, const std::string &id,
                           const std::string &body = {})
{
    const auto connection = Connection::to(machine.callers(), 4s);
    if (!connection || !connection->send(requestText(method, path, id, body)))
        return std::nullopt;
    return connection->read();
}

std::string workUsually(const Upstream &upstream, const Message &request)
{
    std::this_thread::sleep_for(200ms);
    return answerText(200, upstream.fields(request), "done");
}

// A client as the pages describe it: after a promise that the request has not run and never will,
// it sends the order once more under a new id; after anything else it does not.
struct Checkout
{
    std::string order;
    std::vector<std::pair<std::string, int>> attempts; // request id, status; 0: no answer
};

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

Checkout buy(Record &record, const std::vector<std::unique_ptr<Machine>> &machines,
             const std::string &order, std::size_t number)
{
    constexpr int mostAttempts = 2; // one retry
    Checkout checkout{order, {}};
    for (int attempt = 1; attempt <= mostAttempts; ++attempt) {
        const std::string id = order + "-" + std::to_string(attempt);
        const Machine &machine =
                *machines[(number + static_cast<std::size_t>(attempt)) % machines.size()];
        const auto answer = ask(machine, "POST", "/checkout/" + order, id, "order=" + order);
        const int status = answer ? answer->status() : 0;
        record.add("client sent " + id + " to " + machine.id() + " and got "
                   + std::to_string(status)
                   + (answer && !answer->field("response-seal").empty() ? ", sealed" : ""));
        checkout.attempts.emplace_back(id, status);
        if (!isPromise(status))
            break;
        std::this_thread::sleep_for(100ms);
    }
    return checkout;
}

// Two of sixteen upstreams fail a part of their checkouts for some seconds, after they have begun
// to run them: they answer 503 with their seal, and do not say Not-Executed.
int refusedPromise(Record &record, bool trouble)
{
    constexpr int upstreamCount = 16;
    constexpr int greyCount = 2;
    constexpr unsigned failedPercent = 45;
    constexpr Seconds greyTime = 6.5s;
    constexpr std::size_t clients = 30;
    constexpr std::size_t ordersOfClient = 24;
    Store &store = *new Store(freeAddress("127.81.0.2")); // the stand-ins live to the end
    store.put("op/config",
              configuration(1, {{"checkout", route("/checkout/", "non_idempotent", "boxoffice")}}));
    std::atomic<bool> isGrey = false;
    std::atomic<unsigned> greyRequests = 0;
    const auto workBadly = [&](const Upstream &upstream, const Message &request) {
        const unsigned number = isGrey ? greyRequests++ : 0;
        // Evenly spread: 45 of each 100.
        if (!isGrey || (number + 1) * failedPercent / 100 == number * failedPercent / 100)
            return workUsually(upstream, request);
        std::this_thread::sleep_for(100ms);
        return answerText(503, upstream.fields(request), "the payment is away");
    };
    std::vector<Upstream *> upstreams;
    upstreams.reserve(upstreamCount);
    for (int i = 1; i <= upstreamCount; ++i) {
        Upstream::Work work = workUsually;
        if (i <= greyCount)
            work = workBadly;
        upstreams.push_back(new Upstream(store, record, "i-" + std::to_string(i), "boxoffice",
                                         "127.81.2." + std::to_string(i), std::move(work)));
    }
    std::vector<std::unique_ptr<Machine>> machines;
    for (const char *ip : {"127.81.1.1", "127.81.1.2"})
        machines.push_back(std::make_unique<Machine>(
                record, "front-" + std::to_string(machines.size() + 1), ip, store.address(), 260));
    for (const auto &machine : machines)
        machine->awaitReady();
    std::this_thread::sleep_for(5s); // stabilityWindowS is 4

    isGrey = trouble;
    const auto greyEnd = Clock::now() + std::chrono::duration_cast<Clock::duration>(greyTime);
    std::thread([&isGrey, greyEnd] {
        std::this_thread::sleep_until(greyEnd);
        isGrey = false;
    }).detach();
    std::mutex mutex;
    std::vector<Checkout> checkouts;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (std::size_t client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            for (std::size_t i = 0; i < ordersOfClient; ++i) {
                const std::size_t number = client * ordersOfClient + i;
                Checkout checkout = buy(record, machines, "o" + std::to_string(number), number);
                const std::lock_guard lock(mutex);
                checkouts.push_back(std::move(checkout));
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    std::this_thread::sleep_until(greyEnd + 500ms);

    std::size_t promised = 0;
    std::size_t promisedAndRan = 0;
    std::size_t ordersRunTwice = 0;
    std::size_t served = 0;
    for (const Checkout &checkout : checkouts) {
        int runsOfOrder = 0;
        for (const auto &[id, status] : checkout.attempts) {
            int runs = 0;
            for (const Upstream *upstream : upstreams)
                runs += upstream->runsOf(id);
            runsOfOrder += runs;
            served += status == 200 ? 1 : 0;
            promised += isPromise(status) ? 1 : 0;
            if (isPromise(status) && runs > 0) {
                ++promisedAndRan;
                record.add("BROKEN " + id + " was answered " + std::to_string(status)
                           + " and has run");
            }
        }
        ordersRunTwice += runsOfOrder > 1 ? 1 : 0;
    }
    record.add("orders " + std::to_string(checkouts.size()) + ", served " + std::to_string(served)
               + ", answers 408, 421, 429 or 503 " + std::to_string(promised)
               + ", of these have run " + std::to_string(promisedAndRan)
               + "; orders that ran twice " + std::to_string(ordersRunTwice));
    if (served * 2 < checkouts.size())
        throw std::runtime_error("less than half of the orders were served");
    return promisedAndRan > 0 ? statusBroken : statusHeld;
}

// Routes like those by which a configuration grows, under names that no two share.
void addRoutes(Json &routes, int count)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::uint64_t state = 88172645463325252 + routes.size();
    for (int i = 0; i < count; ++i) {
        std::string name;
        for (int j = 0; j < 7; ++j) {
            state ^= state << 13U;
            state ^= state >> 7U;
            state ^= state << 17U;
            name += letters[state % letters.size()];
        }
        routes["r-" + name] = route("/" + name + "/", "idempotent", "boxoffice");
    }
}

// What a machine makes of requests for a route, by status or by the service that ran them.
std::map<std::string, int> outcomes(Record &record, const Machine &machine,
                                    const std::string &prefix, const std::string &tag)
{
    constexpr int requests = 20;
    std::map<std::string, int> result;
    for (int i = 0; i < requests; ++i) {
        const std::string id = tag + "-" + machine.id() + "-" + std::to_string(i);
        const auto answer = ask(machine, "GET", prefix + "1", id);
        const std::string outcome = !answer ? "no answer"
                : answer->status() == 200   ? "run by " + answer->body
                                            : std::to_string(answer->status());
        record.add("client sent " + id + " (" + prefix + ") to " + machine.id() + ": " + outcome);
        ++result[outcome];
        std::this_thread::sleep_for(50ms);
    }
    return result;
}

// The configuration grows by many routes, four times. Machines have links of 10 Mbit/s, and the
// store stands in another region, 55 ms away. Then a route is added, and one moves to another
// service.
int grownConfiguration(Record &record, bool trouble)
{
    constexpr int growths[] = {1400, 1400, 1400, 700};
    constexpr double linkMbps = 10;
    constexpr Seconds roundTrip = 110ms;
    constexpr std::size_t valueBytes = 1048576;
    constexpr Seconds configurationApply = 4s;
    Store &store = *new Store(freeAddress("127.82.0.2")); // the stand-ins live to the end
    Json routes{{"seatmap", route("/seatmap/", "idempotent", "boxoffice")}};
    int version = 1;
    const auto publish = [&](const std::string &what) {
        const std::string text = configuration(version, routes);
        if (text.size() > valueBytes)
            throw std::runtime_error("the configuration exceeds valueBytes");
        store.put("op/config", text);
        record.add("the store has acknowledged version " + std::to_string(version) + ", " + what
                   + ": " + std::to_string(text.size()) + " bytes, " + std::to_string(routes.size())
                   + " routes");
        ++version;
    };
    publish("the first");
    for (const char *service : {"boxoffice", "gallery"}) {
        for (int i = 1; i <= 4; ++i) {
            const std::string number = std::to_string(i);
            const std::string ip =
                    std::string("127.82.") + (*service == 'b' ? "2." : "3.") + number;
            new Upstream(store, record, std::string("i-") + service + number, service, ip,
                         [service](const Upstream &upstream, const Message &request) {
                             std::this_thread::sleep_for(20ms);
                             return answerText(200, upstream.fields(request), service);
                         });
        }
    }
    std::vector<std::unique_ptr<Machine>> machines;
    for (const char *ip : {"127.82.1.1", "127.82.1.2"}) {
        const StoreLink &link =
                *new StoreLink(freeAddress(ip), store.address(), linkMbps, roundTrip);
        machines.push_back(std::make_unique<Machine>(
                record, "front-" + std::to_string(machines.size() + 1), ip, link.address(), 160));
    }
    for (const auto &machine : machines)
        machine->awaitReady();
    std::this_thread::sleep_for(5s); // stabilityWindowS is 4
    for (const int growth : growths) {
        addRoutes(routes, trouble ? growth : 1);
        publish("grown by routes");
        std::this_thread::sleep_for(6s);
    }
    routes["last"] = route("/last/", "idempotent", "boxoffice");
    publish("with the route /last/");
    std::this_thread::sleep_for(6s);
    routes["seatmap"] = route("/seatmap/", "idempotent", "gallery");
    publish("with /seatmap/ moved to gallery");
    std::this_thread::sleep_for(configurationApply + 2s);

    int stale = 0;
    for (const auto &machine : machines) {
        const auto added = outcomes(record, *machine, "/last/", "last");
        const auto moved = outcomes(record, *machine, "/seatmap/", "seatmap");
        const auto count = [](const auto &seen, const char *outcome) {
            const auto found = seen.find(outcome);
            return found == seen.end() ? 0 : found->second;
        };
        const int refused = count(added, "404");
        const int atOldService = count(moved, "run by boxoffice");
        record.add(machine->id() + ": of 20 requests each, 404 for the added route "
                   + std::to_string(refused) + ", run by the old service "
                   + std::to_string(atOldService));
        stale += refused + atOldService;
        if (count(added, "run by boxoffice") + count(moved, "run by gallery") + refused
                    + atOldService
            < 20)
            throw std::runtime_error("less than half of the requests had an outcome to judge");
    }
    if (stale > 0)
        record.add("BROKEN " + std::to_string(stale)
                   + " requests were handled as only an older version allows");
    return stale > 0 ? statusBroken : statusHeld;
}

std::string videoOf(const std::string &id, std::size_t bytes)
{
    std::string video;
    video.reserve(bytes);
    for (std::size_t part = 0; video.size() < bytes; ++part)
        video += id + " part " + std::to_string(part) + "\n";
    video.resize(bytes);
    return video;
}

// For some seconds half of the upstreams answer a part of their uploads before they have read the
// body, keep the connection and read on later.
int earlyAnswer(Record &record, bool trouble)
{
    constexpr int upstreamCount = 4;
    constexpr int earlyCount = 2;
    constexpr unsigned earlyPercent = 40;
    constexpr Seconds earlyTime = 6s;
    constexpr std::size_t uploadsOfClient = 12;
    constexpr std::size_t uploadBytes = 16U << 20U; // a quarter of maxBodyBytes
    Store &store = *new Store(freeAddress("127.83.0.2")); // the stand-ins live to the end
    store.put("op/config",
              configuration(1, {{"lookbook", route("/lookbook/", "upload", "gallery")}}));
    std::atomic<bool> isEarly = false;
    std::atomic<unsigned> requests = 0;
    const auto answersEarly = [&isEarly, &requests] {
        const unsigned number = isEarly ? requests++ : 0;
        // Evenly spread: 40 of each 100.
        return isEarly && (number + 1) * earlyPercent / 100 != number * earlyPercent / 100;
    };
    std::vector<Upstream *> upstreams;
    upstreams.reserve(upstreamCount);
    for (int i = 1; i <= upstreamCount; ++i) {
        upstreams.push_back(new Upstream(store, record, "i-" + std::to_string(i), "gallery",
                                         "127.83.2." + std::to_string(i), workUsually));
        if (i <= earlyCount)
            upstreams.back()->setAnswersEarly(answersEarly);
    }
    std::vector<std::unique_ptr<Machine>> machines;
    for (const char *ip : {"127.83.1.1", "127.83.1.2"})
        machines.push_back(std::make_unique<Machine>(
                record, "front-" + std::to_string(machines.size() + 1), ip, store.address(), 260));
    for (const auto &machine : machines)
        machine->awaitReady();
    std::this_thread::sleep_for(5s); // stabilityWindowS is 4

    isEarly = trouble;
    const auto earlyEnd = Clock::now() + std::chrono::duration_cast<Clock::duration>(earlyTime);
    std::mutex mutex;
    std::map<std::string, bool> uploads; // by request id: whether it was accepted
    std::vector<std::thread> threads;
    threads.reserve(machines.size());
    for (const auto &machine : machines)
        threads.emplace_back([&, client = machine->id()] {
            for (std::size_t i = 0; i < uploadsOfClient; ++i) {
                const std::string id = "video-" + client + "-" + std::to_string(i);
                const auto answer =
                        ask(*machine, "POST", "/lookbook/" + id, id, videoOf(id, uploadBytes));
                record.add("client sent " + id + " to " + client + " and got "
                           + (answer ? std::to_string(answer->status()) : "no answer"));
                const std::lock_guard lock(mutex);
                uploads[id] = answer && answer->status() == 200
                        && !answer->field("response-seal").empty() && answer->body == "done";
            }
        });
    std::this_thread::sleep_until(earlyEnd);
    isEarly = false;
    for (std::thread &thread : threads)
        thread.join();
    std::this_thread::sleep_for(2s); // the upstreams read on

    std::size_t accepted = 0;
    std::size_t cut = 0;
    for (const auto &[id, isAccepted] : uploads) {
        accepted += isAccepted ? 1 : 0;
        for (const Upstream *upstream : upstreams) {
            const std::string body = upstream->bodyOf(id);
            if (!isAccepted || upstream->runsOf(id) == 0 || body == videoOf(id, uploadBytes))
                continue;
            ++cut;
            record.add("BROKEN " + id + " was answered 200, and upstream " + upstream->id()
                       + " ran it with " + std::to_string(body.size()) + " of "
                       + std::to_string(uploadBytes) + " bytes");
        }
    }
    record.add("uploads " + std::to_string(uploads.size()) + ", accepted "
               + std::to_string(accepted) + ", of these cut " + std::to_string(cut));
    if (accepted * 2 < uploads.size())
        throw std::runtime_error("less than half of the uploads were accepted");
    return cut > 0 ? statusBroken : statusHeld;
}

// Whether the directory of a machine names an address beside that of the machine itself; nothing
// without an answer.
std::optional<bool> namesBeside(const Machine &machine, const Address &other)
{
    const auto connection = Connection::to(machine.directory(), 1s);
    if (!connection
        || !connection->send(
                "GET /chestnutvane/resolution?name=a.example&region=r1&zone=z1 HTTP/1.1"
                "\r\nHost: x\r\n\r\n"))
        return std::nullopt;
    const auto answer = connection->read();
    if (!answer || answer->status() != 200)
        return std::nullopt;
    const Json addresses = Json::parse(answer->body)["addresses"];
    const auto names = [&addresses](const Address &address) {
        return std::find(addresses.begin(), addresses.end(), Json(address.text()))
                != addresses.end();
    };
    return names(machine.callers()) && names(other);
}

// One of two machines is lost for good, again and again with a new start in between; the other one
// is asked for addresses all the while.
int lostMachine(Record &record, bool trouble)
{
    constexpr int rounds = 5;
    constexpr Seconds bound = 6s; // stabilityWindowS + 3 s
    constexpr Seconds watched = 9s;
    constexpr int tolerated = 3;
    Store &store = *new Store(freeAddress("127.84.0.2")); // the stand-ins live to the end
    store.put("op/config",
              configuration(1, {{"seatmap", route("/seatmap/", "idempotent", "boxoffice")}}));
    for (int i = 1; i <= 3; ++i)
        new Upstream(store, record, "i-" + std::to_string(i), "boxoffice",
                     "127.84.2." + std::to_string(i), workUsually);
    const Machine calm(record, "front-1", "127.84.1.1", store.address(), 260);
    calm.awaitReady();
    Machine lost(record, "front-2", "127.84.1.2", store.address(), 260);
    int stale = 0;
    int asked = 0;
    for (int round = 1; round <= rounds; ++round) {
        lost.awaitReady();
        std::this_thread::sleep_for(3500ms + round * 400ms); // losses come at any moment
        if (trouble) {
            lost.kill();
            record.add("front-2 killed");
        }
        const auto killedAt = Clock::now();
        double lastNamed = 0;
        while (Clock::now() < killedAt + watched) {
            const Seconds after = Clock::now() - killedAt;
            const auto isNamed = namesBeside(calm, lost.callers());
            asked += isNamed ? 1 : 0;
            if (isNamed.value_or(false) && trouble) {
                lastNamed = after.count();
                if (after > bound) {
                    ++stale;
                    record.add("BROKEN front-1 names front-2 " + std::to_string(after.count())
                               + " s after it was killed");
                }
            }
            std::this_thread::sleep_for(100ms);
        }
        if (trouble) {
            record.add("round " + std::to_string(round) + ": front-2 was named until "
                       + std::to_string(lastNamed) + " s after it was killed");
            lost.start();
        }
    }
    record.add("answers of the directory " + std::to_string(asked)
               + ", of these named a machine that was killed over 6 s before "
               + std::to_string(stale));
    if (asked < rounds * 30)
        throw std::runtime_error("the directory did not answer");
    return stale > tolerated ? statusBroken : statusHeld;
}

// Clients send single uploads just below maxBodyBytes to machines of 112 MB. The platform ends a
// process that holds more than its machine has, and starts it again.
int largeBody(Record &record, bool trouble)
{
    constexpr int memoryMb = 112;
    constexpr std::size_t memoryBytes = std::size_t{memoryMb} << 20U;
    constexpr int uploadsOfMachine = 4;
    constexpr int endsOfFault = 3;
    constexpr int machinesOfFault = 2;
    const std::size_t uploadBytes = trouble ? 64'000'000 : 360'000;
    Store &store = *new Store(freeAddress("127.85.0.2")); // the stand-ins live to the end
    store.put("op/config",
              configuration(1, {{"lookbook", route("/lookbook/", "upload", "gallery")}}));
    for (int i = 1; i <= 4; ++i)
        new Upstream(store, record, "i-" + std::to_string(i), "gallery",
                     "127.85.2." + std::to_string(i), workUsually);
    std::vector<std::unique_ptr<Machine>> machines;
    for (const char *ip : {"127.85.1.1", "127.85.1.2"})
        machines.push_back(std::make_unique<Machine>(record,
                                                     "front-" + std::to_string(machines.size() + 1),
                                                     ip, store.address(), memoryMb));
    for (const auto &machine : machines)
        machine->awaitReady();
    std::this_thread::sleep_for(5s); // stabilityWindowS is 4

    int faultyMachines = 0;
    int served = 0;
    for (const auto &machine : machines) {
        int ends = 0;
        for (int i = 0; i < uploadsOfMachine; ++i) {
            const std::string id = "video-" + machine->id() + "-" + std::to_string(i);
            std::atomic<bool> isAnswered = false;
            std::optional<Message> answer;
            std::thread client([&] {
                answer = ask(*machine, "POST", "/lookbook/" + id, id, videoOf(id, uploadBytes));
                isAnswered = true;
            });
            std::size_t most = 0;
            while (!isAnswered && most <= memoryBytes) {
                most = std::max(most, machine->residentBytes());
                std::this_thread::sleep_for(1ms);
            }
            const bool isOver = most > memoryBytes;
            if (isOver)
                machine->kill();
            client.join();
            record.add("client sent " + id + " with " + std::to_string(uploadBytes) + " bytes to "
                       + machine->id() + " and got "
                       + (answer ? std::to_string(answer->status()) : "no answer")
                       + "; the process held up to " + std::to_string(most) + " bytes");
            served += answer && answer->status() == 200 ? 1 : 0;
            if (!isOver)
                continue;
            ++ends;
            record.add("BROKEN the platform ended " + machine->id() + ", which held more than "
                       + std::to_string(memoryBytes) + " bytes");
            std::this_thread::sleep_for(500ms);
            machine->start();
            machine->awaitReady();
            std::this_thread::sleep_for(5s);
        }
        record.add(machine->id() + " was ended " + std::to_string(ends) + " times");
        faultyMachines += ends >= endsOfFault ? 1 : 0;
    }
    record.add("machines whose process was ended three times: " + std::to_string(faultyMachines)
               + " of 2; uploads served: " + std::to_string(served) + " of 8");
    return faultyMachines >= machinesOfFault ? statusBroken : statusHeld;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, int (*)(Record &, bool)> cases{
            {"refused-promise", refusedPromise}, {"grown-configuration", grownConfiguration},
            {"early-answer", earlyAnswer},       {"lost-machine", lostMachine},
            {"large-body", largeBody},
    };
    constexpr int words = 3;
    if (argc != words || !cases.contains(argv[1])) {
        std::cerr << "usage: standins CASE RECORD\n";
        return statusNotRun;
    }
    const char *trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    Record record(argv[2]);
    int status = statusNotRun;
    try {
        status = cases.at(argv[1])(record, trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception &failure) {
        record.add(std::string("could not run: ") + failure.what());
        std::cerr << failure.what() << "\n";
    }
    record.add("status " + std::to_string(status));
    std::cout.flush();
    std::_Exit(status); // threads of the stand-ins still run
}
