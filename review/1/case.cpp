// A stop of a gateway: requests that clients send to it later than 3 s after the SIGTERM.

#include "review/common/standins.hpp"

using namespace review;

namespace {

constexpr const char *host = "fixtures.example";
constexpr int archiveDeadlineMs = 10000;
constexpr int confirmDeadlineMs = 3000;
constexpr double archiveTimeoutSeconds = 3;
constexpr double confirmTimeoutSeconds = 1;

Json configuration()
{
    const auto route = [](const std::string &prefix, const std::string &kind, double timeout,
                          double aim, int priority, const std::string &service) {
        return Json{{"host", host},        {"pathPrefix", prefix},  {"kind", kind},
                    {"timeoutS", timeout}, {"targetLatencyS", aim}, {"priority", priority},
                    {"service", service},  {"maxAttempts", 2},      {"sessionAffinity", true}};
    };
    const auto service = [] {
        return Json{{"healthCheckPath", "/health"},
                    {"maxConnections", 360},
                    {"coldStartS", 3.0},
                    {"coldPerS", 4.9}};
    };
    return {{"version", 3},
            {"routes",
             {{"archive",
               route("/archive/", "idempotent", archiveTimeoutSeconds, 1.2, 2, "records")},
              {"confirm",
               route("/confirm/", "non_idempotent", confirmTimeoutSeconds, 0.4, 1, "booking")}}},
            {"services", {{"records", service()}, {"booking", service()}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutS", 5},
              {"idleTimeoutS", 15}}}};
}

// The work of a request stands in its path: /archive/WORK/OBJECT, in ms.
Ms workOf(const Message &request)
{
    const std::string path = request.word(1);
    return Ms(std::stoi(path.substr(path.find('/', 1) + 1)));
}

struct Sent
{
    Attempt attempt;
    std::string kind;
    double timeoutSeconds = 0;
};

bool isHeld(Record &record)
{
    const Site site;
    Store store(site.at(2, 8142));
    std::vector<std::unique_ptr<Target>> targets;
    for (int i = 0; i < 8; ++i) {
        const std::string service = i < 4 ? "records" : "booking";
        Target::Options options;
        options.id = "i-" + std::to_string(i);
        options.service = service;
        options.address = site.at(100 + i, 8500);
        options.zone = "z1";
        targets.push_back(std::make_unique<Target>(options, store, record, workOf));
    }
    store.put("op/config", configuration());
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < 2; ++i)
        gateways.push_back(std::make_unique<Gateway>(site, i, "z1", store.address(), record));
    waitUntilReady(gateways);

    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    std::atomic<int> number{0};
    const auto send = [&](const std::string &address, const std::string &kind, int workMs) {
        const bool isArchive = kind == "archive";
        const int deadline = isArchive ? archiveDeadlineMs : confirmDeadlineMs;
        const int index = ++number;
        const std::string id = kind + "-" + std::to_string(index);
        const std::string path =
                "/" + kind + "/" + std::to_string(workMs) + "/" + std::to_string(index % 24);
        const std::string text =
                requestText(isArchive ? "GET" : "POST", host, path, id, deadline,
                            std::to_string(index % 24), isArchive ? "" : std::string(4000, 'x'));
        record.line("send      " + id + " to " + address);
        const Attempt result = attempt(address, id, text, deadline);
        record.line("client    " + id + ": " + result.end + " " + std::to_string(result.status));
        const std::lock_guard lock(mutex);
        sent.push_back({result, kind, isArchive ? archiveTimeoutSeconds : confirmTimeoutSeconds});
    };
    const auto later = [&](Time when, const std::string &kind, int workMs) {
        clients.emplace_back([&, when, kind, workMs] {
            std::this_thread::sleep_until(when);
            send(gateways[0]->front(), kind, workMs);
        });
    };

    // Usual traffic for 10 s at both gateways, so that they know how long the work takes: means of
    // 1.92 s and 0.64 s.
    const Time begin = Clock::now();
    for (int client = 0; client < 8; ++client) {
        clients.emplace_back([&, client] {
            int step = client;
            while (secondsBetween(begin, Clock::now()) < 10) {
                const int spread = step++ % 5 - 2; // -2 to 2
                if (client < 4)
                    send(gateways[static_cast<std::size_t>(client % 2)]->front(), "archive",
                         1920 + 140 * spread);
                else
                    send(gateways[static_cast<std::size_t>(client % 2)]->front(), "confirm",
                         640 + 45 * spread);
            }
        });
    }
    for (std::thread &client : clients)
        client.join();
    clients.clear();

    // A client takes the directory's answer just before the stop. Its time to live is 2 s, and some
    // clients use an answer for three times as long.
    double ttl = 0;
    const auto addresses = gateways[0]->resolve(host, "r1", "z1", ttl);
    const bool isNamed =
            std::find(addresses.begin(), addresses.end(), gateways[0]->front()) != addresses.end();
    record.line("directory names " + std::to_string(addresses.size()) + " gateways, ttl "
                + std::to_string(ttl) + " s");
    if (!isNamed || ttl * 3 < 5)
        throw CannotRun("the directory does not name the gateway for long enough");
    const Time stop = Clock::now();
    if (hasTrouble())
        gateways[0]->signal(SIGTERM);
    for (int i = 0; i < 3; ++i)
        later(stop + Ms(3050 + 50 * i), "archive", 2700);
    for (int i = 0; i < 3; ++i)
        later(stop + Ms(4560 + 40 * i), "confirm", 960);
    for (std::thread &client : clients)
        client.join();
    clients.clear();

    // LOST: a request that was passed on to an upstream, and whose connection ends without an
    // answer. Not counted if its time was over, or if it was sent no later than 3 s after the
    // SIGTERM.
    std::map<std::string, std::string> passedOn;
    for (const auto &target : targets) {
        for (const Run &run : target->runs())
            passedOn[run.requestId] = run.end;
    }
    int lost = 0;
    int answered = 0;
    for (const Sent &one : sent) {
        answered += one.attempt.status == 200 ? 1 : 0;
        const double lasted = secondsBetween(one.attempt.sent, one.attempt.ended);
        const bool isCut = one.attempt.end == "closed without an answer"
                && passedOn.count(one.attempt.requestId) != 0;
        if (!isCut || lasted >= one.timeoutSeconds)
            continue;
        const double afterStop = secondsBetween(stop, one.attempt.sent);
        const bool isExcused = afterStop <= 3;
        lost += isExcused ? 0 : 1;
        record.line("LOST      " + one.attempt.requestId + " sent " + std::to_string(afterStop)
                    + " s after the SIGTERM, cut " + std::to_string(lasted)
                    + " s later; upstream: " + passedOn[one.attempt.requestId]
                    + (isExcused ? " (excused: sent within 3 s)" : ""));
    }
    record.line(std::to_string(sent.size()) + " sent, " + std::to_string(answered)
                + " answered with 200, " + std::to_string(lost) + " lost");
    return lost == 0;
}

} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], isHeld);
}
