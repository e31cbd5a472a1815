#include "chestnutvane/connection/http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace chestnutvane {
namespace internal {
namespace {

// libcurl measures the lifetime of connections in whole seconds. For this long after connections
// were abandoned, an exchange opens a new one, because the lifetime cannot tell them apart.
constexpr std::chrono::seconds abandonGuard{2};
constexpr int maxPollMs = 1000;
constexpr int silencePollMs = 20;

struct Exchange
{
    HttpClient::SendId id = 0;
    HttpRequest request;
    HttpClient::Callback callback;
    HttpResponse response;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    TimePoint requestStart{};
    bool requestStarted = false; // the connection is open; bytes of the request may have left
    bool reusedConnection = false;
    bool firstByteSeen = false;
    bool silenceReported = false;
    bool tooLarge = false;
    bool lengthKnown = false;

    ~Exchange()
    {
        curl_slist_free_all(headerList);
        if (easy != nullptr)
            curl_easy_cleanup(easy);
    }
};

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

int onRequestStart(void *context, char *, char *, int, int)
{
    auto *exchange = static_cast<Exchange *>(context);
    long newConnections = 0;
    curl_easy_getinfo(exchange->easy, CURLINFO_NUM_CONNECTS, &newConnections);
    exchange->requestStarted = true;
    exchange->reusedConnection = newConnections == 0;
    exchange->requestStart = Clock::now();
    return CURL_PREREQFUNC_OK;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *exchange = static_cast<Exchange *>(context);
    exchange->firstByteSeen = true;
    const std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) { // a new head, for example after 100 Continue
        exchange->response.headers.clear();
        exchange->lengthKnown = false;
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    const auto name = trim(line.substr(0, colon));
    if (equalsIgnoreCase(name, "content-length") || equalsIgnoreCase(name, "transfer-encoding"))
        exchange->lengthKnown = true;
    exchange->response.headers.push_back(
            {std::string(name), std::string(trim(line.substr(colon + 1)))});
    return line.size();
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *exchange = static_cast<Exchange *>(context);
    exchange->firstByteSeen = true;
    const std::size_t bytes = size * count;
    if (exchange->response.body.size() + bytes > exchange->request.maxResponseBytes) {
        exchange->tooLarge = true;
        return 0;
    }
    exchange->response.body.append(data, bytes);
    return bytes;
}

void setBody(Exchange &exchange)
{
    const auto &request = exchange.request;
    if (request.body && !request.body->empty()) {
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDS, request.body->data());
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body->size()));
    } else if (request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(0));
    } else if (request.method == "HEAD") {
        curl_easy_setopt(exchange.easy, CURLOPT_NOBODY, 1L);
        return;
    }
    curl_easy_setopt(exchange.easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void setHeaders(Exchange &exchange)
{
    // libcurl would otherwise wait for "100 Continue" before it sends larger bodies.
    exchange.headerList = curl_slist_append(nullptr, "Expect:");
    // libcurl adds a content type to each body; only the caller's own one is passed on.
    if (findHeader(exchange.request.headers, "Content-Type") == nullptr)
        exchange.headerList = curl_slist_append(exchange.headerList, "Content-Type:");
    for (const auto &[name, text] : exchange.request.headers) {
        const std::string line = text.empty() ? name + ";" : name + ": " + text;
        exchange.headerList = curl_slist_append(exchange.headerList, line.c_str());
    }
    curl_easy_setopt(exchange.easy, CURLOPT_HTTPHEADER, exchange.headerList);
}

bool prepare(Exchange &exchange, const HttpClientOptions &options)
{
    exchange.easy = curl_easy_init();
    if (exchange.easy == nullptr)
        return false;
    CURL *easy = exchange.easy;
    const auto &request = exchange.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     std::max<long>(1, request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(options.maxIdleAge.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    // A fresh connection that stays open would add up to more than a target accepts.
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onRequestStart);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &exchange);
    setBody(exchange);
    setHeaders(exchange);
    return true;
}

HttpFailure failureOf(CURLcode code, const Exchange &exchange)
{
    if (exchange.tooLarge)
        return HttpFailure::ResponseTooLarge;
    switch (code) {
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return HttpFailure::BadRequest;
    case CURLE_OPERATION_TIMEDOUT:
        return exchange.requestStarted ? HttpFailure::Timeout : HttpFailure::ConnectFailed;
    default:
        return exchange.requestStarted ? HttpFailure::ConnectionLost : HttpFailure::ConnectFailed;
    }
}

// A body that ends with the connection cannot be told from one that was cut.
bool hasProvableEnd(const Exchange &exchange, int status)
{
    return exchange.lengthKnown || status == 204 || status == 304
            || exchange.request.method == "HEAD";
}

HttpError errorOf(HttpFailure failure, const Exchange &exchange, std::string detail)
{
    return HttpError{.failure = failure,
                     .mayHaveBeenSent = exchange.requestStarted,
                     .reusedConnection = exchange.reusedConnection,
                     .detail = std::move(detail)};
}

Result<HttpResponse, HttpError> resultOf(CURLcode code, Exchange &exchange)
{
    if (code != CURLE_OK)
        return errorOf(failureOf(code, exchange), exchange, curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(exchange.easy, CURLINFO_RESPONSE_CODE, &status);
    exchange.response.status = static_cast<int>(status);
    exchange.response.reusedConnection = exchange.reusedConnection;
    if (!hasProvableEnd(exchange, exchange.response.status))
        return errorOf(HttpFailure::ConnectionLost, exchange, "the answer states no length");
    return std::move(exchange.response);
}

} // namespace
} // namespace internal

const std::string *findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (internal::equalsIgnoreCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

struct HttpClient::Impl
{
    using Exchange = internal::Exchange;

    HttpClientOptions options;
    CURLM *multi = nullptr;
    std::atomic<SendId> nextId{1};

    std::mutex mutex; // guards the members up to "stopping"
    std::deque<std::unique_ptr<Exchange>> added;
    std::deque<SendId> cancelled;
    std::unordered_map<std::string, TimePoint> abandonedAt; // by "host:port"
    bool stopping = false;

    std::unordered_map<SendId, std::unique_ptr<Exchange>> running; // the client's thread only
    std::thread thread;

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        if (thread.joinable()) {
            curl_multi_wakeup(multi);
            thread.join();
        }
        if (multi != nullptr)
            curl_multi_cleanup(multi);
    }

    void run()
    {
        while (takeCommands()) {
            int active = 0;
            curl_multi_perform(multi, &active);
            finishExchanges();
            const bool watching = reportSilence();
            curl_multi_poll(multi, nullptr, 0,
                            watching ? internal::silencePollMs : internal::maxPollMs, nullptr);
        }
        while (!running.empty())
            finish(running.begin()->first, [](Exchange &exchange) {
                return internal::errorOf(HttpFailure::ShuttingDown, exchange, "shutting down");
            });
    }

    // Starts and cancels what was asked for. Returns false when the client is being destroyed.
    bool takeCommands()
    {
        std::deque<std::unique_ptr<Exchange>> start;
        std::deque<SendId> stop;
        bool keepRunning = true;
        {
            const std::lock_guard lock(mutex);
            start.swap(added);
            stop.swap(cancelled);
            keepRunning = !stopping;
        }
        for (auto &exchange : start)
            begin(std::move(exchange));
        for (const SendId id : stop)
            finish(id, [](Exchange &exchange) {
                return internal::errorOf(HttpFailure::Cancelled, exchange, "cancelled");
            });
        return keepRunning;
    }

    void begin(std::unique_ptr<Exchange> exchange)
    {
        if (!internal::prepare(*exchange, options)) {
            exchange->callback(
                    internal::errorOf(HttpFailure::BadRequest, *exchange, "libcurl has no handle"));
            return;
        }
        applyAbandonment(*exchange);
        CURL *easy = exchange->easy;
        running.emplace(exchange->id, std::move(exchange));
        curl_multi_add_handle(multi, easy);
    }

    void applyAbandonment(Exchange &exchange)
    {
        const std::lock_guard lock(mutex);
        if (abandonedAt.empty())
            return;
        constexpr std::string_view scheme = "http://";
        const std::string_view rest = std::string_view(exchange.request.url).substr(scheme.size());
        const auto entry = abandonedAt.find(std::string(rest.substr(0, rest.find('/'))));
        if (entry == abandonedAt.end())
            return;
        const auto age = Clock::now() - entry->second;
        if (age > options.maxIdleAge + internal::abandonGuard) {
            abandonedAt.erase(entry);
        } else if (age < internal::abandonGuard) {
            curl_easy_setopt(exchange.easy, CURLOPT_FRESH_CONNECT, 1L);
        } else {
            const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(age).count() - 1;
            curl_easy_setopt(exchange.easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(lifetime));
        }
    }

    void finishExchanges()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Exchange *exchange = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
            const CURLcode code = message->data.result;
            finish(exchange->id, [code](Exchange &done) { return internal::resultOf(code, done); });
        }
    }

    template <class MakeResult>
    void finish(SendId id, MakeResult makeResult)
    {
        const auto entry = running.find(id);
        if (entry == running.end())
            return;
        const auto exchange = std::move(entry->second);
        running.erase(entry);
        Result<HttpResponse, HttpError> result = makeResult(*exchange);
        curl_multi_remove_handle(multi, exchange->easy);
        exchange->callback(std::move(result));
    }

    // Calls onSilence where it is due. Returns whether an exchange must still be watched.
    bool reportSilence()
    {
        bool watching = false;
        const auto now = Clock::now();
        for (auto &[id, exchange] : running) {
            if (exchange->request.silenceLimit.count() <= 0 || exchange->silenceReported
                || exchange->firstByteSeen)
                continue;
            watching = true;
            if (exchange->requestStarted
                && now - exchange->requestStart >= exchange->request.silenceLimit) {
                exchange->silenceReported = true;
                if (exchange->request.onSilence)
                    exchange->request.onSilence();
            }
        }
        return watching;
    }
};

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>, HttpClientError> HttpClient::create(HttpClientOptions options)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialised != CURLE_OK)
        return HttpClientError{curl_easy_strerror(initialised)};
    auto impl = std::make_unique<Impl>();
    impl->options = options;
    impl->multi = curl_multi_init();
    if (impl->multi == nullptr)
        return HttpClientError{"libcurl has no multi handle"};
    curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(options.maxIdleConnections));
    impl->thread = std::thread([raw = impl.get()] { raw->run(); });
    return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::SendId HttpClient::send(HttpRequest request, Callback callback)
{
    auto exchange = std::make_unique<internal::Exchange>();
    exchange->id = impl_->nextId++;
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    const SendId id = exchange->id;
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->added.push_back(std::move(exchange));
    }
    curl_multi_wakeup(impl_->multi);
    return id;
}

void HttpClient::cancel(SendId id)
{
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->cancelled.push_back(id);
    }
    curl_multi_wakeup(impl_->multi);
}

void HttpClient::abandonConnections(const std::string &authority)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->abandonedAt[authority] = Clock::now();
}

} // namespace chestnutvane
