#include "chestnutvane/process/broker_service.h"

#include <gtest/gtest.h>

#include <mutex>
#include <thread>

namespace chestnutvane {
namespace {

constexpr std::string_view rules = R"(
region north zones=n1 # asked by Mei
region south zones=s1 # asked by Mei
service shop # asked by Lin
class views service=shop path=/ repeat=idempotent deadline-ms=1000 # asked by Lin
target t1 service=shop zone=n1 address=127.0.0.1:1 slots=2 connections=10 # asked by Lin
)";

const std::string self(32, '1');
const std::string other(32, '2');

MemberRecord record(const std::string &id, const std::string &incarnation, const std::string &zone)
{
    MemberRecord member;
    member.id = id;
    member.incarnation = incarnation;
    member.zone = zone;
    member.peerAddress = "127.0.0.1:1"; // no listener on this port
    member.state = MemberState::Serving;
    return member;
}

// In-memory store in which role writes succeed and both instances have a lease.
class MemoryStore
{
public:
    Store functions()
    {
        Store store;
        store.list = [this](const std::string &prefix, const auto &callback) {
            callback(entries(prefix));
        };
        store.watch = [](const std::string &, std::uint64_t, Milliseconds, const auto &) {};
        store.compareAndSwap = [this](const CompareAndSwap &call, const auto &callback) {
            {
                const std::lock_guard lock(mutex_);
                role_ = {call.key, call.value, ++version_};
            }
            callback(Result<std::uint64_t, StoreError>(version_));
        };
        return store;
    }

private:
    Result<WatchResult, StoreError> entries(const std::string &prefix)
    {
        const std::lock_guard lock(mutex_);
        if (prefix.starts_with("instance/"))
            return WatchResult{1, {{"instance/a", self, 1}, {"instance/b", other, 1}}};
        return role_.version == 0 ? WatchResult{1, {}} : WatchResult{version_, {role_}};
    }

    std::mutex mutex_;
    StoreEntry role_;
    std::uint64_t version_ = 1;
};

// Guards against a new broker that issues grants before an instance of another region has reported.
// That instance may hold grants of the previous broker, so the total could exceed the target's
// slots.
TEST(BrokerServiceTest, RebuildWaitsForInstancesOfOtherRegions)
{
    MemoryStore store;
    Instance instance(Settings{.instanceId = "a", .zone = "n1"}, self, holderIdOf(self),
                      record("a", self, "n1"));
    instance.store = store.functions();
    instance.targets = value(HttpClient::create({}));
    instance.peers = value(PeerClient::create());
    instance.workers = std::make_unique<Workers>(2);
    instance.configuration.use(
            [](ConfigurationState &state) { state.version = value(compileVersion(1, rules)); });
    instance.membership.use([](MembershipState &state) {
        state.store.reachable = true;
        state.store.leaseEverHeld = true;
        state.store.renewalStart = Clock::now();
        state.table.receive({.sender = record("b", other, "s1")}, Clock::now());
    });
    BrokerService brokers(instance);
    brokers.start();
    while (brokers.reports().empty())
        std::this_thread::sleep_for(Milliseconds(10));
    std::this_thread::sleep_for(Milliseconds(600)); // three rounds of requests for lists
    EXPECT_TRUE(brokers.reports().front().status.rebuilding);
    instance.workers->stop();
}

} // namespace
} // namespace chestnutvane
