#include "chestnutvane/process/http_store.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <nlohmann/json.hpp>

#include "testing/store_routes.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

// Runs the adapter against a test server with the routes of the store, on loopback.
class HttpStoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto server = HttpServer::create({.address = address(), .port = port},
                                         [this](ServerRequest request, Responder respond) {
                                             if (const int status = overrideStatus_; status != 0)
                                                 respond = [status, respond = std::move(respond)](
                                                                   const ServerResponse &) {
                                                     respond({.status = status});
                                                 };
                                             routes_.handle(std::move(request), std::move(respond));
                                         });
        ASSERT_TRUE(isOk(server)) << error(server).detail;
        server_ = std::move(value(server));
        client_ = value(HttpClient::create({}));
        store_ = makeHttpStore({.baseUrl = url()}, *client_, counters_);
    }

    void TearDown() override
    {
        client_.reset();
        server_.reset();
    }

    // Loopback address derived from the process id, because CTest runs tests in parallel processes.
    static std::string address()
    {
        const auto id = static_cast<unsigned>(getpid());
        return "127." + std::to_string(64 + (id >> 16U) % 64) + "."
                + std::to_string((id >> 8U) % 256) + "." + std::to_string(id % 256);
    }

    static std::string url() { return "http://" + address() + ":" + std::to_string(port); }

    // Runs one call and waits for its result.
    template <class T, class Call>
    static Result<T, StoreError> wait(Call call)
    {
        std::promise<Result<T, StoreError>> promise;
        auto future = promise.get_future();
        call([&promise](Result<T, StoreError> result) { promise.set_value(std::move(result)); });
        return future.get();
    }

    Result<std::uint64_t, StoreError> swap(const CompareAndSwap &change)
    {
        return wait<std::uint64_t>(
                [&](auto reply) { store_.compareAndSwap(change, std::move(reply)); });
    }

    Result<StoreEntry, StoreError> get(const std::string &key)
    {
        return wait<StoreEntry>([&](auto reply) { store_.get(key, std::move(reply)); });
    }

    Result<WatchResult, StoreError> list(const std::string &prefix)
    {
        return wait<WatchResult>([&](auto reply) { store_.list(prefix, std::move(reply)); });
    }

    Result<WatchResult, StoreError> watch(std::uint64_t after, Milliseconds maxWait)
    {
        return wait<WatchResult>(
                [&](auto reply) { store_.watch("w/", after, maxWait, std::move(reply)); });
    }

    Result<std::uint64_t, StoreError> grantLease()
    {
        return wait<std::uint64_t>(
                [&](auto reply) { store_.grantLease(Milliseconds(60'000), std::move(reply)); });
    }

    json control(const std::string &path, const json &body)
    {
        std::promise<Result<HttpResponse, HttpError>> promise;
        HttpRequest request;
        request.method = "POST";
        request.url = url() + "/control/" + path;
        request.body = std::make_shared<const std::string>(body.dump());
        client_->send(std::move(request), [&promise](Result<HttpResponse, HttpError> result) {
            promise.set_value(std::move(result));
        });
        const auto result = promise.get_future().get();
        return json::parse(value(result).body, nullptr, false);
    }

    static constexpr std::uint16_t port = 24791;

    std::atomic<int> overrideStatus_{0}; // 0: none; else replaces the response, without headers
    StoreRoutes routes_;
    std::unique_ptr<HttpServer> server_;
    HttpStoreCounters counters_;
    std::unique_ptr<HttpClient> client_;
    Store store_;
};

template <class T>
StoreFailure failureOf(const Result<T, StoreError> &result)
{
    return error(result).failure;
}

// Guards against a lost update: only a write that expects the current version may take effect.
TEST_F(HttpStoreTest, WritesOnlyOverTheExpectedVersion)
{
    const auto first = swap({.key = "k", .value = "a"});
    ASSERT_TRUE(isOk(first));
    EXPECT_EQ(failureOf(swap({.key = "k", .value = "b"})), StoreFailure::Conflict);
    ASSERT_TRUE(isOk(swap({.key = "k", .expectedVersion = value(first), .value = "c"})));
    EXPECT_EQ(value(get("k")).value, "c");
    EXPECT_EQ(failureOf(get("absent")), StoreFailure::NotFound);
    EXPECT_EQ(failureOf(swap({.key = "k", .value = std::string(1'000'001, 'x')})),
              StoreFailure::TooLarge);
}

// Guards against keys with reserved characters that alter the path or the query of the URL.
TEST_F(HttpStoreTest, EncodesKeys)
{
    const std::string key = "a b/?&=%41#+\xC3\xA9";
    ASSERT_TRUE(isOk(swap({.key = key, .value = "v"})));
    const auto entry = get(key);
    ASSERT_TRUE(isOk(entry)) << error(entry).detail;
    EXPECT_EQ(value(entry).key, key);
    const auto entries = list(key);
    ASSERT_TRUE(isOk(entries));
    EXPECT_EQ(value(entries).entries.size(), 1U);
    EXPECT_TRUE(value(list("a c")).entries.empty());
}

// Guards against reporting a write as failed although it took effect and only the response was
// lost.
TEST_F(HttpStoreTest, LostResponseIsNotAFailedWrite)
{
    control("faults", {{"lose-answers", 1}});
    EXPECT_EQ(failureOf(swap({.key = "k", .value = "v"})), StoreFailure::ResponseLost);
    EXPECT_EQ(value(get("k")).value, "v");
    EXPECT_EQ(counters_.compareAndSwaps, 1U);
    EXPECT_EQ(control("counters", {}).at("compare-and-swap"), 1); // sent once
}

// Guards against reporting "no effect" after a 503 without Store-No-Effect, which may have taken
// effect, and "may have taken effect" after a 503 with it.
TEST_F(HttpStoreTest, Only503WithStoreNoEffectHadNoEffect)
{
    overrideStatus_ = 503;
    EXPECT_EQ(failureOf(swap({.key = "k", .value = "v"})), StoreFailure::ResponseLost);
    EXPECT_EQ(failureOf(grantLease()), StoreFailure::ResponseLost);
    EXPECT_EQ(failureOf(get("k")), StoreFailure::Unavailable);
    overrideStatus_ = 0;
    EXPECT_EQ(value(get("k")).value, "v");
    control("faults", {{"down", true}}); // answers 503 with Store-No-Effect
    EXPECT_EQ(failureOf(swap({.key = "k2", .value = "v"})), StoreFailure::Unavailable);
    control("faults", {{"down", false}});
    EXPECT_EQ(failureOf(get("k2")), StoreFailure::NotFound);
}

// Guards against reporting a write as accepted or as failed if its response is not JSON.
TEST_F(HttpStoreTest, InvalidResponseToAWriteCountsAsLost)
{
    overrideStatus_ = 200; // with an empty body
    EXPECT_EQ(failureOf(swap({.key = "k", .value = "v"})), StoreFailure::ResponseLost);
    EXPECT_EQ(failureOf(get("k")), StoreFailure::InvalidResponse);
}

// Guards against reporting "may have taken effect" for a write to an unreachable store.
TEST_F(HttpStoreTest, RefusedConnectionHadNoEffect)
{
    server_.reset();
    EXPECT_EQ(failureOf(swap({.key = "k", .value = "v"})), StoreFailure::Unavailable);
}

// Guards against a missed change: a watch returns after a write or removal above its version, also
// if that preceded the watch, and otherwise at the end of its wait.
TEST_F(HttpStoreTest, WatchReportsEachChange)
{
    const auto version = value(swap({.key = "w/1", .value = "a"}));
    const auto early = watch(0, Milliseconds(60'000));
    ASSERT_TRUE(isOk(early));
    EXPECT_EQ(value(early).entries.size(), 1U);
    EXPECT_GE(value(early).version, version);

    std::promise<Result<WatchResult, StoreError>> promise;
    store_.watch("w/", value(early).version, Milliseconds(60'000),
                 [&](Result<WatchResult, StoreError> r) { promise.set_value(std::move(r)); });
    ASSERT_TRUE(isOk(swap({.key = "other", .value = "x"})));
    ASSERT_TRUE(isOk(swap({.key = "w/1", .expectedVersion = version, .remove = true})));
    const auto removed = promise.get_future().get();
    ASSERT_TRUE(isOk(removed));
    EXPECT_TRUE(value(removed).entries.empty());
    EXPECT_TRUE(isOk(watch(value(removed).version, Milliseconds(50))));
    EXPECT_EQ(counters_.watches, 3U);
}

// Guards against keys that outlive their lease, and against a lost lease that is not reported.
TEST_F(HttpStoreTest, KeysAreRemovedWithTheirLease)
{
    const auto lease = value(grantLease());
    ASSERT_TRUE(isOk(swap({.key = "instance/1", .value = "v", .leaseId = lease})));
    const auto keepAlive = [&] {
        return wait<Done>([&](auto reply) { store_.keepAlive(lease, std::move(reply)); });
    };
    EXPECT_TRUE(isOk(keepAlive()));
    EXPECT_TRUE(isOk(wait<Done>([&](auto reply) { store_.revokeLease(lease, std::move(reply)); })));
    EXPECT_EQ(failureOf(get("instance/1")), StoreFailure::NotFound);
    EXPECT_EQ(failureOf(keepAlive()), StoreFailure::NotFound);
    EXPECT_EQ(failureOf(swap({.key = "instance/1", .value = "v", .leaseId = lease})),
              StoreFailure::NotFound);
}

// Guards against uncounted calls: the counters are used to check the limit on the store load.
TEST_F(HttpStoreTest, CountsEachCall)
{
    const auto lease = value(grantLease());
    ASSERT_TRUE(isOk(wait<Done>([&](auto reply) { store_.keepAlive(lease, reply); })));
    ASSERT_TRUE(isOk(wait<Done>([&](auto reply) { store_.revokeLease(lease, reply); })));
    (void)get("k");
    (void)list("k");
    (void)watch(0, Milliseconds(1));
    (void)swap({.key = "k", .value = "v"});
    const json expected{{"get", 1},   {"list", 1},       {"watch", 1}, {"compare-and-swap", 1},
                        {"lease", 1}, {"keep-alive", 1}, {"revoke", 1}};
    EXPECT_EQ(control("counters", {}), expected);
    const json counted{{"get", counters_.gets.load()},
                       {"list", counters_.lists.load()},
                       {"watch", counters_.watches.load()},
                       {"compare-and-swap", counters_.compareAndSwaps.load()},
                       {"lease", counters_.leaseGrants.load()},
                       {"keep-alive", counters_.keepAlives.load()},
                       {"revoke", counters_.leaseRevocations.load()}};
    EXPECT_EQ(counted, expected);
}

} // namespace
} // namespace chestnutvane
