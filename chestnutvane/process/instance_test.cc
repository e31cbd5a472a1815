#include "chestnutvane/process/instance.h"

#include <gtest/gtest.h>

#include "chestnutvane/process/broker_role.h"

namespace chestnutvane {
namespace {

const std::string self(32, '1');

using WatchCallback = std::function<void(Result<WatchResult, StoreError>)>;

// An instance that holds a role and watches a store whose watches the test ends.
class InstanceTest : public testing::Test
{
protected:
    InstanceTest()
        : instance(Settings{.instanceId = "a", .zone = "n1"}, self, holderIdOf(self),
                   MemberRecord{})
    {
        instance.store.list = [this](const std::string &, const auto &callback) {
            callback(news());
        };
        instance.store.watch = [this](const std::string &, std::uint64_t, Milliseconds,
                                      WatchCallback callback) { endWatch = std::move(callback); };
    }

    Result<WatchResult, StoreError> news() const { return WatchResult{1, {{"broker/x", "", 1}}}; }

    // Reads the prefix, then begins to watch it.
    void readAndWatch()
    {
        const auto ignore = [](const Result<WatchResult, StoreError> &) {};
        instance.watchStore("broker/", std::nullopt, ignore);
        instance.watchStore("broker/", 1, ignore);
    }

    bool isReachable()
    {
        return instance.membership.use(
                [](MembershipState &state) { return state.store.reachable; });
    }

    // Returns until when the held role may grant while no instance has renewed its lease lately.
    TimePoint grantUntil(TimePoint now)
    {
        constexpr Milliseconds outage{8000};
        RoleInput input{.selfId = "a",
                        .selfIncarnation = holderIdOf(self),
                        .entry = RoleEntry{3, {holderIdOf(self), "a", 5}},
                        .storeReachable = isReachable(),
                        .leaseRenewalStart = now - outage,
                        .leaseEverHeld = true};
        input.contacts = {.everKnewPeer = true, .peers = {{Milliseconds(200), outage}}};
        return decideBrokerRole(input, now).grantUntil;
    }

    Instance instance;
    WatchCallback endWatch;
};

// Guards against a broker that stops granting in an outage because a watch sent before it ends.
TEST_F(InstanceTest, WatchWithoutChangesDoesNotEndAnOutage)
{
    readAndWatch();
    EXPECT_TRUE(isReachable());
    const auto now = Clock::now();
    instance.recordStoreCall(false, now);
    EXPECT_EQ(grantUntil(now), now + outageGrantTime);
    endWatch(news());
    EXPECT_FALSE(isReachable());
    EXPECT_EQ(grantUntil(now), now + outageGrantTime);
}

// Guards against a store that is back and counts as unreachable until another call ends.
TEST_F(InstanceTest, ChangesAndOtherAnswersEndAnOutage)
{
    readAndWatch();
    instance.recordStoreCall(false, Clock::now());
    endWatch(WatchResult{2, {{"broker/x", "", 2}}});
    EXPECT_TRUE(isReachable());
    const auto now = Clock::now();
    instance.recordStoreCall(false, now);
    instance.recordStoreCall(true, now);
    EXPECT_TRUE(isReachable());
    EXPECT_LT(grantUntil(now), now) << "another instance may acquire the role";
}

// Guards against a takeover that waits for the end of an outage that is over: a watch sent before
// or in it fails up to 12 s later, when other calls have long been answered again.
TEST_F(InstanceTest, WatchThatFailsLateDoesNotBeginAnOutage)
{
    readAndWatch();
    const auto answeredAt = Clock::now() + Milliseconds(1);
    instance.recordStoreCall(false, answeredAt);
    instance.recordStoreCall(true, answeredAt);
    endWatch(StoreError{});
    EXPECT_TRUE(isReachable());
    const auto since = instance.membership.use(
            [](MembershipState &state) { return state.store.reachableSince; });
    EXPECT_EQ(since, answeredAt);
}

// Guards against an outage that only watches have noticed so far.
TEST_F(InstanceTest, WatchThatFailsWithoutAnswersSinceItsStartBeginsAnOutage)
{
    readAndWatch();
    endWatch(StoreError{});
    EXPECT_FALSE(isReachable());
}

} // namespace
} // namespace chestnutvane
