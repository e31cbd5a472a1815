#include "chestnutvane/process/http_store.h"

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "chestnutvane/connection/query_string.h"

namespace chestnutvane {
namespace {

using Json = nlohmann::json;
using HttpResult = Result<HttpResponse, HttpError>;

constexpr std::size_t maxValueBytes = 1'000'000; // limit of the store interface

struct Context
{
    HttpStoreOptions options;
    HttpClient &client;
    HttpStoreCounters &counters;
};

// Maps a failed read to an error.
StoreError readError(const HttpResult &result)
{
    if (!isOk(result))
        return {StoreFailure::Unavailable, error(result).detail};
    const HttpResponse &response = value(result);
    const std::string detail = "HTTP status " + std::to_string(response.status);
    if (response.status == 404)
        return {StoreFailure::NotFound, detail};
    if (response.status >= 500)
        return {StoreFailure::Unavailable, detail};
    return {StoreFailure::InvalidResponse, detail};
}

// Maps a failed write to an error. Only an unsent request, or a response with the header
// Store-No-Effect, proves that the write had no effect.
StoreError writeError(const HttpResult &result)
{
    if (!isOk(result)) {
        const HttpError &failure = error(result);
        return {failure.mayHaveBeenSent ? StoreFailure::ResponseLost : StoreFailure::Unavailable,
                failure.detail};
    }
    const HttpResponse &response = value(result);
    const std::string detail = "HTTP status " + std::to_string(response.status);
    if (response.status == 404)
        return {StoreFailure::NotFound, detail};
    if (response.status == 409)
        return {StoreFailure::Conflict, detail};
    if (response.status == 413)
        return {StoreFailure::TooLarge, detail};
    const std::string *noEffect = findHeader(response.headers, "Store-No-Effect");
    if (response.status == 503 && noEffect != nullptr && *noEffect == "1")
        return {StoreFailure::Unavailable, detail};
    if (response.status >= 500)
        return {StoreFailure::ResponseLost, detail};
    return {StoreFailure::InvalidResponse, detail};
}

// Parses the body of a response with status 200. Returns nothing for another status, invalid JSON,
// or a field that is missing or has the wrong type.
template <class T, class Read>
std::optional<T> parse(const HttpResult &result, Read read)
{
    if (!isOk(result) || value(result).status != 200)
        return std::nullopt;
    try {
        return read(Json::parse(value(result).body));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

bool hasStatus200(const HttpResult &result)
{
    return isOk(result) && value(result).status == 200;
}

StoreEntry readEntry(const Json &json)
{
    return {json.at("key"), json.at("value"), json.at("version")};
}

WatchResult readEntries(const Json &json)
{
    WatchResult result;
    result.version = json.at("version");
    for (const Json &entry : json.at("entries"))
        result.entries.push_back(readEntry(entry));
    return result;
}

template <class T, class Read, class Callback>
void sendRead(Context &context, const std::string &path, Milliseconds wait, Read read,
              Callback callback)
{
    HttpRequest request;
    request.url = context.options.baseUrl + path;
    request.timeout = context.options.timeout + wait;
    context.client.send(std::move(request),
                        [read, callback = std::move(callback)](const HttpResult &result) {
                            if (auto parsed = parse<T>(result, read))
                                callback(std::move(*parsed));
                            else if (hasStatus200(result))
                                callback(StoreError{StoreFailure::InvalidResponse,
                                                    "response body is not the expected JSON"});
                            else
                                callback(readError(result));
                        });
}

template <class T, class Read, class Callback>
void sendWrite(Context &context, std::string method, const std::string &path, std::string body,
               Read read, Callback callback)
{
    HttpRequest request;
    request.method = std::move(method);
    request.url = context.options.baseUrl + path;
    request.timeout = context.options.timeout;
    request.freshConnection = true;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::make_shared<const std::string>(std::move(body));
    context.client.send(std::move(request),
                        [read, callback = std::move(callback)](const HttpResult &result) {
                            if (auto parsed = parse<T>(result, read))
                                callback(std::move(*parsed));
                            else if (hasStatus200(result)) // it took effect; version or id unknown
                                callback(StoreError{StoreFailure::ResponseLost,
                                                    "response body is not the expected JSON"});
                            else
                                callback(writeError(result));
                        });
}

template <class Callback>
void sendLeaseWrite(Context &context, std::string method, const std::string &path,
                    Callback callback)
{
    HttpRequest request;
    request.method = std::move(method);
    request.url = context.options.baseUrl + path;
    request.timeout = context.options.timeout;
    request.freshConnection = true;
    context.client.send(std::move(request),
                        [callback = std::move(callback)](const HttpResult &result) {
                            if (hasStatus200(result))
                                callback(Done{});
                            else
                                callback(writeError(result));
                        });
}

void sendCompareAndSwap(Context &context, const CompareAndSwap &swap,
                        std::function<void(Result<std::uint64_t, StoreError>)> callback)
{
    if (swap.value.size() > maxValueBytes)
        return callback(
                StoreError{StoreFailure::TooLarge, "the value exceeds the limit of 1000000 bytes"});
    const Json body{{"key", swap.key},
                    {"expected", swap.expectedVersion},
                    {"value", swap.value},
                    {"lease", swap.leaseId},
                    {"remove", swap.remove}};
    std::string text;
    try {
        text = body.dump();
    } catch (const Json::exception &failure) { // the key or the value is not valid UTF-8
        return callback(StoreError{StoreFailure::Unavailable, failure.what()});
    }
    ++context.counters.compareAndSwaps;
    sendWrite<std::uint64_t>(
            context, "POST", "/v1/cas", std::move(text),
            [](const Json &json) { return json.at("version").get<std::uint64_t>(); },
            std::move(callback));
}

} // namespace

Store makeHttpStore(HttpStoreOptions options, HttpClient &client, HttpStoreCounters &counters)
{
    const std::shared_ptr<Context> context(new Context{std::move(options), client, counters});
    Store store;
    store.get = [context](const std::string &key, auto callback) {
        ++context->counters.gets;
        sendRead<StoreEntry>(*context, "/v1/kv/" + encodePercent(key), Milliseconds{0}, readEntry,
                             std::move(callback));
    };
    store.list = [context](const std::string &prefix, auto callback) {
        ++context->counters.lists;
        sendRead<WatchResult>(*context, "/v1/list?prefix=" + encodePercent(prefix), Milliseconds{0},
                              readEntries, std::move(callback));
    };
    store.listStale = store.list;
    store.watch = [context](const std::string &prefix, std::uint64_t afterVersion,
                            Milliseconds maxWait, auto callback) {
        ++context->counters.watches;
        sendRead<WatchResult>(*context,
                              "/v1/watch?prefix=" + encodePercent(prefix)
                                      + "&after=" + std::to_string(afterVersion)
                                      + "&wait-ms=" + std::to_string(maxWait.count()),
                              maxWait, readEntries, std::move(callback));
    };
    store.compareAndSwap = [context](const CompareAndSwap &swap, auto callback) {
        sendCompareAndSwap(*context, swap, std::move(callback));
    };
    store.grantLease = [context](Milliseconds ttl, auto callback) {
        ++context->counters.leaseGrants;
        sendWrite<std::uint64_t>(
                *context, "POST", "/v1/leases", Json{{"ttl-ms", ttl.count()}}.dump(),
                [](const Json &json) { return json.at("lease").get<std::uint64_t>(); },
                std::move(callback));
    };
    store.keepAlive = [context](std::uint64_t leaseId, auto callback) {
        ++context->counters.keepAlives;
        sendLeaseWrite(*context, "POST", "/v1/leases/" + std::to_string(leaseId) + "/keep-alive",
                       std::move(callback));
    };
    store.revokeLease = [context](std::uint64_t leaseId, auto callback) {
        ++context->counters.leaseRevocations;
        sendLeaseWrite(*context, "DELETE", "/v1/leases/" + std::to_string(leaseId),
                       std::move(callback));
    };
    return store;
}

} // namespace chestnutvane
