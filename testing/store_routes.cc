#include "testing/store_routes.h"

#include <map>
#include <mutex>
#include <string_view>

#include <nlohmann/json.hpp>

#include "chestnutvane/process/workers.h"
#include "testing/kv_store.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

constexpr Milliseconds expiryInterval{20};

ServerResponse jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

json toJson(const StoreEntry &entry)
{
    return {{"key", entry.key}, {"value", entry.value}, {"version", entry.version}};
}

json toJson(const WatchResult &result)
{
    json entries = json::array();
    for (const auto &entry : result.entries)
        entries.push_back(toJson(entry));
    return {{"version", result.version}, {"entries", std::move(entries)}};
}

std::string decodeUrl(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded +=
                    static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return decodeUrl(query.substr(begin, query.find('&', begin) - begin));
}

} // namespace

class StoreRoutes::Impl
{
public:
    Impl()
    {
        workers_.every(expiryInterval, [this] {
            const std::lock_guard lock(mutex_);
            store_.expire(Clock::now());
        });
    }

    void handle(ServerRequest request, Responder respond)
    {
        if (request.path.starts_with("/control/")) {
            respond(control(request));
            return;
        }
        Milliseconds delay{0};
        {
            const std::lock_guard lock(mutex_);
            if (faults_.down) {
                ++counters_["refused"];
                respond({.status = 503, .headers = {{"Store-No-Effect", "1"}}});
                return;
            }
            delay = faults_.delay;
            if (const auto entry = faults_.delayByAddress.find(request.remoteAddress);
                entry != faults_.delayByAddress.end())
                delay += entry->second;
        }
        if (delay.count() == 0)
            serve(request, respond);
        else // half before the effect and half after it, as on a long path
            workers_.after(
                    delay / 2,
                    [this, request = std::move(request), delay, respond = std::move(respond)] {
                        serve(request, [this, delay, respond](const ServerResponse &response) {
                            workers_.after(delay / 2, [respond, response] { respond(response); });
                        });
                    });
    }

private:
    struct Faults
    {
        bool down = false;
        Milliseconds delay{0};
        int loseAnswers = 0;
        std::map<std::string, Milliseconds> delayByAddress;
    };

    ServerResponse control(const ServerRequest &request)
    {
        const std::lock_guard lock(mutex_);
        if (request.path == "/control/counters")
            return jsonResponse(200, counters_);
        const auto change = json::parse(request.body, nullptr, false);
        if (!change.is_object())
            return {.status = 400};
        faults_.down = change.value("down", faults_.down);
        faults_.delay = Milliseconds(change.value("delay-ms", faults_.delay.count()));
        faults_.loseAnswers = change.value("lose-answers", faults_.loseAnswers);
        if (const auto delays = change.find("delay-by-address"); delays != change.end()) {
            faults_.delayByAddress.clear();
            for (const auto &[address, ms] : delays->items())
                faults_.delayByAddress[address] = Milliseconds(ms.get<int>());
        }
        return {.status = 204};
    }

    void serve(const ServerRequest &request, const Responder &respond)
    {
        if (request.path.starts_with("/v1/kv/"))
            respond(get(decodeUrl(request.path.substr(7))));
        else if (request.path == "/v1/list")
            respond(list(queryValue(request.query, "prefix")));
        else if (request.path == "/v1/watch")
            watch(request, respond);
        else
            respond(write(request));
    }

    ServerResponse get(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        ++counters_["get"];
        const auto *entry = store_.get(key);
        return entry == nullptr ? ServerResponse{.status = 404} : jsonResponse(200, toJson(*entry));
    }

    ServerResponse list(const std::string &prefix)
    {
        const std::lock_guard lock(mutex_);
        ++counters_["list"];
        return jsonResponse(200, toJson(store_.list(prefix)));
    }

    void watch(const ServerRequest &request, const Responder &respond)
    {
        const std::lock_guard lock(mutex_);
        ++counters_["watch"];
        const auto wait = Milliseconds(std::stol("0" + queryValue(request.query, "wait-ms")));
        store_.watch(queryValue(request.query, "prefix"),
                     std::stoull("0" + queryValue(request.query, "after")), Clock::now() + wait,
                     [this, respond](const WatchResult &result) { // runs under the lock
                         // A lease that lapses in an outage must not give waiting watches news.
                         respond(faults_.down ? ServerResponse{.abort = true}
                                              : jsonResponse(200, toJson(result)));
                     });
    }

    ServerResponse write(const ServerRequest &request)
    {
        const std::lock_guard lock(mutex_);
        auto response = applyWrite(request);
        if (faults_.loseAnswers > 0) {
            --faults_.loseAnswers;
            ++counters_["lost-answers"];
            response = {.abort = true};
        }
        return response;
    }

    ServerResponse applyWrite(const ServerRequest &request)
    {
        constexpr std::string_view leases = "/v1/leases/";
        const auto body = json::parse(request.body, nullptr, false);
        if (request.path == "/v1/cas" && body.is_object()) {
            ++counters_["compare-and-swap"];
            const auto result = store_.compareAndSwap({.key = body.at("key"),
                                                       .expectedVersion = body.at("expected"),
                                                       .value = body.value("value", ""),
                                                       .leaseId = body.value("lease", 0ULL),
                                                       .remove = body.value("remove", false)});
            if (isOk(result))
                return jsonResponse(200, {{"version", value(result)}});
            const auto &refusal = error(result);
            const int status = refusal.failure == StoreFailure::TooLarge ? 413
                    : refusal.failure == StoreFailure::NotFound          ? 404
                                                                         : 409;
            return jsonResponse(status, {{"version", refusal.version}});
        }
        if (request.path == "/v1/leases" && body.is_object()) {
            ++counters_["lease"];
            const Milliseconds ttl(body.at("ttl-ms").get<std::int64_t>());
            return jsonResponse(200, {{"lease", store_.grantLease(ttl, Clock::now())}});
        }
        if (!request.path.starts_with(leases))
            return {.status = 404};
        const auto id = std::stoull("0" + request.path.substr(leases.size()));
        const bool renew = request.path.ends_with("/keep-alive");
        ++counters_[renew ? "keep-alive" : "revoke"];
        const bool found = renew ? store_.keepAlive(id, Clock::now()) : store_.revokeLease(id);
        return jsonResponse(found ? 200 : 404, json::object());
    }

    std::mutex mutex_; // guards all but the workers
    KvStore store_;
    Faults faults_;
    std::map<std::string, std::uint64_t> counters_;
    Workers workers_{2};
};

StoreRoutes::StoreRoutes() : impl_(std::make_unique<Impl>()) { }

StoreRoutes::~StoreRoutes() = default;

void StoreRoutes::handle(ServerRequest request, Responder respond)
{
    impl_->handle(std::move(request), std::move(respond));
}

} // namespace chestnutvane
