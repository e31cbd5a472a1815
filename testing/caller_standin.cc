// A stand-in for the callers of one region: asks for look-ups, caches them for their TTL, sends a
// mix of requests at a given rate and checks every answer. Prints one JSON report.
//
// --mix takes a JSON list of classes: [{"name", "service", "path", "share", "work-ms",
// "body-min", "body-max", "answer-bytes", "at-most-once"}]. Arrivals are a Poisson process with a
// fixed seed; they do not wait for answers. Latencies run from the arrival to the whole answer.
//
// Resends: an unanswered at-most-once request goes to another instance with the same key. An
// idempotent request goes to the next instance when it is unanswered, its outcome is unknown, or
// the instance itself does not serve. A request counts as not-run only if all its sends do.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/connection/http_client.h"
#include "testing/caller_results.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

constexpr int maxSends = 3;
constexpr int maxLookUps = 5;
constexpr Milliseconds lookUpTimeout{1000};
constexpr Milliseconds sendTimeout{35'000}; // above the longest deadline of a class
constexpr std::size_t randomBytes = 2'000'000;

struct ClassLoad
{
    std::string name;
    std::string service;
    std::string path;
    double share = 1;
    int workMs = 10; // mean; each request takes half to one and a half times as long
    int bodyMin = 0;
    int bodyMax = 0;
    int answerBytes = 0;
    bool atMostOnce = false;
};

struct Options
{
    std::vector<std::string> instances; // "IP:port"
    std::string name; // part of every tag
    std::string clientPrefix; // "10.1": the clients are 10.1.0.7, 10.1.1.7, ...
    int clients = 32;
    double seconds = 10;
    double rate = 10; // requests/s
    unsigned seed = 1;
    std::vector<ClassLoad> mix;
};

struct Entry
{
    std::string address;
    std::string keyPrefix;
    double weight = 0;
};

struct LookUp
{
    std::vector<Entry> entries;
    TimePoint expires;
};

struct Request
{
    const ClassLoad *load = nullptr;
    std::string client;
    std::string tag;
    std::string digest;
    std::string keyRandom;
    std::string key; // set at the first send
    std::shared_ptr<const std::string> body;
    int workMs = 0;
    double pick = 0; // in [0, 1): chooses the instance by weight
    TimePoint arrival;
    int sends = 0;
    bool mayHaveRun = false; // a send was unanswered or unknown
    std::size_t entry = 0; // index of the last instance sent to
};

class CallerStandin
{
public:
    CallerStandin(Options options, HttpClient &client)
        : options_(std::move(options)), client_(client), random_(options_.seed)
    {
        noise_.reserve(randomBytes);
        std::mt19937_64 noise(options_.seed);
        while (noise_.size() < randomBytes)
            noise_ += fmt::format("{:016x}", noise());
    }

    // Sends for the given time, waits for the last answer and returns the report.
    json run()
    {
        std::vector<double> shares;
        for (const auto &load : options_.mix)
            shares.push_back(load.share);
        std::discrete_distribution<std::size_t> pickClass(shares.begin(), shares.end());
        std::exponential_distribution<double> gap(options_.rate);
        const auto begin = Clock::now();
        double at = gap(random_);
        for (int number = 0; at < options_.seconds; ++number, at += gap(random_)) {
            auto request = makeRequest(options_.mix[pickClass(random_)], number);
            std::this_thread::sleep_until(
                    begin
                    + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
            request->arrival = Clock::now();
            const std::lock_guard lock(mutex_);
            ++open_;
            results_.onSent(request->load->name);
            route(request);
        }
        std::unique_lock lock(mutex_);
        ended_.wait(lock, [this] { return open_ == 0; });
        return results_.report();
    }

private:
    using RequestPtr = std::shared_ptr<Request>;

    struct Cached
    {
        LookUp answer;
        bool asking = false;
        std::vector<RequestPtr> waiting;
    };

    RequestPtr makeRequest(const ClassLoad &load, int number)
    {
        const auto uniform = [this](int low, int high) {
            return std::uniform_int_distribution<int>(low, std::max(low, high))(random_);
        };
        auto request = std::make_shared<Request>();
        request->load = &load;
        request->client =
                fmt::format("{}.{}.7", options_.clientPrefix, uniform(0, options_.clients - 1));
        request->tag = fmt::format("{}-{}-{}", options_.name, load.name, number);
        request->keyRandom = fmt::format("{:016x}{:016x}", random_(), random_());
        request->workMs = uniform(load.workMs / 2, load.workMs * 3 / 2);
        request->pick = std::uniform_real_distribution<double>(0, 1)(random_);
        const auto length = static_cast<std::size_t>(uniform(load.bodyMin, load.bodyMax));
        const auto offset = static_cast<std::size_t>(uniform(0, 1000));
        std::string body = length == 0 ? std::string() : request->tag;
        if (length > body.size())
            body += noise_.substr(offset, length - body.size());
        request->digest = fmt::format("{:016x}", hash64(body));
        request->body = std::make_shared<const std::string>(std::move(body));
        return request;
    }

    // All functions below are called under the mutex.

    void route(const RequestPtr &request)
    {
        auto &cached = cache_[{request->load->service, request->client}];
        if (Clock::now() < cached.answer.expires) {
            send(request, cached.answer);
            return;
        }
        cached.waiting.push_back(request);
        if (!cached.asking) {
            cached.asking = true;
            askLookUp(request->load->service, request->client, 1);
        }
    }

    void askLookUp(const std::string &service, const std::string &client, int attempt)
    {
        const auto &instance = options_.instances[lookUps_++ % options_.instances.size()];
        client_.send({.url = fmt::format("http://{}/v1/look-up?service={}&client={}", instance,
                                         service, client),
                      .timeout = lookUpTimeout},
                     [this, service, client, attempt](Result<HttpResponse, HttpError> result) {
                         const std::lock_guard lock(mutex_);
                         onLookUp(service, client, attempt, result);
                     });
    }

    void onLookUp(const std::string &service, const std::string &client, int attempt,
                  const Result<HttpResponse, HttpError> &result)
    {
        auto &cached = cache_[{service, client}];
        const auto body = isOk(result) && value(result).status == 200
                ? json::parse(value(result).body, nullptr, false)
                : json();
        LookUp answer;
        if (body.is_object()) {
            for (const auto &row : body.at("instances"))
                answer.entries.push_back(
                        {row.at("address"), row.at("key-prefix"), row.at("weight").get<double>()});
            answer.expires = Clock::now() + Milliseconds(body.at("ttl-ms").get<int>());
        }
        if (answer.entries.empty() && attempt < maxLookUps) {
            results_.onFailedLookUp();
            askLookUp(service, client, attempt + 1);
            return;
        }
        cached.answer = std::move(answer);
        cached.asking = false;
        for (const auto &request : std::exchange(cached.waiting, {})) {
            if (cached.answer.entries.empty())
                finish(request, refused(*request), "no-look-up");
            else
                send(request, cached.answer);
        }
    }

    static std::size_t pickByWeight(const LookUp &answer, double pick)
    {
        double total = 0;
        for (const auto &entry : answer.entries)
            total += entry.weight;
        double left = pick * total;
        for (std::size_t i = 0; i < answer.entries.size(); ++i) {
            left -= answer.entries[i].weight;
            if (left < 0)
                return i;
        }
        return 0;
    }

    void send(const RequestPtr &request, const LookUp &answer)
    {
        request->entry = request->sends == 0 ? pickByWeight(answer, request->pick)
                                             : (request->entry + 1) % answer.entries.size();
        const auto &entry = answer.entries[request->entry];
        ++request->sends;
        const auto &load = *request->load;
        HttpRequest http{.method = request->body->empty() && !load.atMostOnce ? "GET" : "POST",
                         .url = fmt::format("http://{}/s/{}{}?tag={}&work-ms={}&size={}",
                                            entry.address, load.service, load.path, request->tag,
                                            request->workMs, load.answerBytes),
                         .headers = {},
                         .body = request->body,
                         .timeout = sendTimeout};
        if (load.atMostOnce) {
            if (request->key.empty())
                request->key = entry.keyPrefix + "." + request->keyRandom;
            http.headers.push_back({"Vane-Key", request->key});
        }
        client_.send(std::move(http), [this, request](Result<HttpResponse, HttpError> result) {
            const std::lock_guard lock(mutex_);
            onAnswer(request, result);
        });
    }

    void onAnswer(const RequestPtr &request, const Result<HttpResponse, HttpError> &result)
    {
        const bool onceClass = request->load->atMostOnce;
        if (!isOk(result)) {
            request->mayHaveRun = request->mayHaveRun || error(result).mayHaveBeenSent;
            results_.onUnanswered();
            if (request->sends < maxSends)
                route(request);
            else
                finish(request, refused(*request), "unanswered");
            return;
        }
        const auto &response = value(result);
        const auto *outcomeHeader = findHeader(response.headers, "Vane-Outcome");
        const std::string outcome = outcomeHeader == nullptr ? "unknown" : *outcomeHeader;
        const auto *reasonHeader = findHeader(response.headers, "Vane-Reason");
        const std::string reason = reasonHeader == nullptr ? "none" : *reasonHeader;
        if (outcome == "ran" && response.status == 200) {
            results_.check({.tag = request->tag,
                            .bodyDigest = request->digest,
                            .answerBytes = static_cast<std::size_t>(request->load->answerBytes)},
                           response);
            return finish(request, CallerOutcome::Whole, reason);
        }
        const bool notRun = outcome == "not-run";
        request->mayHaveRun = request->mayHaveRun || !notRun;
        const bool elsewhere = !notRun || reason == "isolated" || reason == "no-configuration"
                || reason == "leaving";
        if (!onceClass && elsewhere && request->sends < maxSends)
            return route(request);
        finish(request, refused(*request), reason);
    }

    void finish(const RequestPtr &request, CallerOutcome outcome, const std::string &reason)
    {
        results_.onEnd(request->load->name, request->tag, outcome, reason,
                       Clock::now() - request->arrival);
        if (--open_ == 0)
            ended_.notify_all();
    }

    static CallerOutcome refused(const Request &request)
    {
        return request.mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
    }

    const Options options_;
    HttpClient &client_;
    std::mt19937_64 random_; // used by the thread of run() only
    std::string noise_;
    std::mutex mutex_; // guards all below
    std::condition_variable ended_;
    std::map<std::pair<std::string, std::string>, Cached> cache_;
    CallerResults results_;
    std::size_t lookUps_ = 0;
    int open_ = 0;
};

std::vector<ClassLoad> parseMix(const std::string &text)
{
    std::vector<ClassLoad> mix;
    for (const auto &row : json::parse(text))
        mix.push_back({.name = row.at("name"),
                       .service = row.at("service"),
                       .path = row.at("path"),
                       .share = row.value("share", 1.0),
                       .workMs = row.value("work-ms", 10),
                       .bodyMin = row.value("body-min", 0),
                       .bodyMax = row.value("body-max", 0),
                       .answerBytes = row.value("answer-bytes", 0),
                       .atMostOnce = row.value("at-most-once", false)});
    return mix;
}

int runCaller(int argc, char **argv)
{
    TCLAP::CmdLine command("A stand-in for callers", ' ', "1");
    const TCLAP::MultiArg<std::string> instances("", "instance", "Caller port of an instance", true,
                                                 "IP:port", command);
    const TCLAP::ValueArg<std::string> name("", "name", "Part of every tag", true, "", "name",
                                            command);
    const TCLAP::ValueArg<std::string> prefix("", "client-prefix", "First two parts of the clients",
                                              true, "", "A.B", command);
    const TCLAP::ValueArg<int> clients("", "clients", "Clients", false, 32, "count", command);
    const TCLAP::ValueArg<double> seconds("", "seconds", "Time to send", false, 10, "s", command);
    const TCLAP::ValueArg<double> rate("", "rate", "Requests/s", false, 10, "rate", command);
    const TCLAP::ValueArg<unsigned> seed("", "seed", "Seed", false, 1, "number", command);
    const TCLAP::ValueArg<std::string> mix("", "mix", "Classes", true, "", "JSON", command);
    command.parse(argc, argv);
    auto client = HttpClient::create({});
    if (!isOk(client)) {
        std::cerr << "caller_standin: " << error(client).detail << "\n";
        return 1;
    }
    CallerStandin caller({instances.getValue(), name.getValue(), prefix.getValue(),
                          clients.getValue(), seconds.getValue(), rate.getValue(), seed.getValue(),
                          parseMix(mix.getValue())},
                         *value(client));
    std::cout << caller.run().dump() << "\n";
    value(client).reset(); // its callbacks use the caller
    return 0;
}

} // namespace
} // namespace chestnutvane

int main(int argc, char **argv)
{
    try {
        return chestnutvane::runCaller(argc, argv);
    } catch (const nlohmann::json::exception &failure) {
        std::cerr << "caller_standin: --mix: " << failure.what() << "\n";
        return 2;
    }
}
