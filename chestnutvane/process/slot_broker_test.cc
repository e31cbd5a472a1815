#include "chestnutvane/process/slot_broker.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

constexpr HolderId holderA{1, 1};

class SlotBrokerTest : public testing::Test
{
protected:
    SlotBrokerTest()
    {
        broker.allowGrantsUntil(TimePoint::max());
        setTargets({{1, 2, false, false}, {2, 2, false, false}});
        broker.startRebuild({}, now, 0, effects);
    }

    void setTargets(const std::vector<BrokerTarget> &targets)
    {
        broker.setTargets(targets, now, 0, effects);
    }

    // Sends one grant request and returns its effects.
    BrokerEffects requestGrant(int importance = 5, SuspectVerdict verdict = SuspectVerdict::Allowed,
                               TriedTargets tried = {}, std::uint64_t fingerprint = 0)
    {
        GrantRequest request{.holder = holderA,
                             .sequence = ++sequence,
                             .importance = importance,
                             .queueLimit = Milliseconds(25),
                             .remaining = Milliseconds(5000),
                             .fingerprint = fingerprint,
                             .tried = tried};
        BrokerEffects result;
        broker.request(request, verdict, now, sequence, result);
        return result;
    }

    BrokerEffects release(const BrokerEffects &grantEffects, GrantResult result)
    {
        const auto &grant = std::get<GrantEffect>(grantEffects.at(0));
        BrokerEffects releaseEffects;
        broker.release(grant.holder, grant.id, result, Milliseconds(20), now, 0, releaseEffects);
        return releaseEffects;
    }

    static TargetId targetOf(const BrokerEffects &grantEffects)
    {
        return std::get<GrantEffect>(grantEffects.at(0)).target;
    }

    static Reason reasonOf(const BrokerEffects &refusalEffects)
    {
        return std::get<RefusalEffect>(refusalEffects.at(0)).reason;
    }

    BrokerEffects effects;
    TimePoint now;
    std::uint64_t sequence = 0;
    SlotBroker broker{2, BrokerSettings{.warmStart = true}};
};

// Guards against a queued request that is not evicted although more important ones delay it past
// its limit, and against one that is queued although its estimated wait exceeds the limit.
TEST_F(SlotBrokerTest, ImportantRequestEvictsAndLongWaitIsRefusedAtOnce)
{
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(std::holds_alternative<GrantEffect>(requestGrant().at(0)));
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(requestGrant().empty()); // each waits 5 ms longer; the limit is 25 ms
    EXPECT_EQ(reasonOf(requestGrant()), Reason::Overloaded);
    BrokerEffects evictionEffects;
    for (int i = 0; i < 3 && evictionEffects.empty(); ++i)
        evictionEffects = requestGrant(0);
    EXPECT_EQ(reasonOf(evictionEffects), Reason::Overloaded);
    EXPECT_EQ(std::get<RefusalEffect>(evictionEffects.at(0)).sequence, 9U);
}

// Guards against a retry on a target on which the request failed before.
TEST_F(SlotBrokerTest, RetryAvoidsTriedTargets)
{
    TriedTargets tried;
    tried.add(1);
    EXPECT_EQ(targetOf(requestGrant(5, SuspectVerdict::Allowed, tried)), 2U);
    EXPECT_EQ(targetOf(requestGrant(5, SuspectVerdict::Allowed, tried)), 2U);
    // The next retry is queued although target 1 is free, and does not block later requests.
    EXPECT_TRUE(requestGrant(5, SuspectVerdict::Allowed, tried).empty());
    EXPECT_EQ(targetOf(requestGrant()), 1U);
}

// Guards against grants for drained or leaving targets, and against queueing without any target.
TEST_F(SlotBrokerTest, DrainedAndLeavingTargetsGetNoGrants)
{
    setTargets({{1, 2, true, false}, {2, 2, false, false}});
    EXPECT_EQ(targetOf(requestGrant()), 2U);
    broker.targetReport({.target = 2, .leaving = true}, now, 0, effects);
    EXPECT_EQ(reasonOf(requestGrant()), Reason::NoTarget);
    EXPECT_EQ(broker.headroom(), 0);
}

// Guards against load on a target that refuses connections, and against a target that is never used
// again after it has recovered.
TEST_F(SlotBrokerTest, ConnectFailuresLeaveOneProbeEachSecond)
{
    setTargets({{1, 2, false, false}});
    for (int i = 0; i < 3; ++i)
        release(requestGrant(), GrantResult::ConnectFailed);
    BrokerEffects probe = requestGrant();
    EXPECT_TRUE(std::get<GrantEffect>(probe.at(0)).probe);
    EXPECT_EQ(reasonOf(requestGrant()), Reason::NoTarget);
    release(probe, GrantResult::ConnectFailed);
    now += Milliseconds(900);
    EXPECT_EQ(reasonOf(requestGrant()), Reason::NoTarget);
    now += Milliseconds(100);
    probe = requestGrant();
    release(probe, GrantResult::Succeeded);
    EXPECT_EQ(broker.status().effectiveSlots, 1); // ramps up from one slot
    now += Milliseconds(500);
    release(requestGrant(), GrantResult::Succeeded);
    EXPECT_EQ(broker.status().effectiveSlots, 2);
}

// Guards against a target that sheds load and still gets grants for all its slots, and against
// halving its slots again for requests that were sent before the first shed response.
TEST_F(SlotBrokerTest, ShedHalvesOnceAndSuccessRaises)
{
    setTargets({{1, 8, false, false}});
    now += Milliseconds(1);
    const BrokerEffects first = requestGrant();
    const BrokerEffects second = requestGrant();
    now += Milliseconds(1);
    release(first, GrantResult::Shed);
    release(second, GrantResult::Shed);
    EXPECT_EQ(broker.status().effectiveSlots, 4);
    now += Milliseconds(1000);
    release(requestGrant(), GrantResult::Succeeded);
    EXPECT_EQ(broker.status().effectiveSlots, 5);
}

// Guards against a suspect request that shares its target with others, and against its starvation.
TEST_F(SlotBrokerTest, SuspectRunsAloneAndIsCleared)
{
    const BrokerEffects first = requestGrant();
    const BrokerEffects second = requestGrant();
    EXPECT_TRUE(
            requestGrant(5, SuspectVerdict::Exclusive, {}, 77).empty()); // both targets are in use
    EXPECT_FALSE(requestGrant().empty()); // uses a free slot of the target that is not reserved
    BrokerEffects aloneGrant = release(first, GrantResult::Succeeded);
    if (aloneGrant.empty())
        aloneGrant = release(second, GrantResult::Succeeded);
    ASSERT_FALSE(aloneGrant.empty());
    EXPECT_TRUE(std::get<GrantEffect>(aloneGrant.at(0)).alone);
    int grantCount = 0;
    for (BrokerEffects more = requestGrant(); !more.empty(); more = requestGrant(), ++grantCount)
        EXPECT_NE(targetOf(more), targetOf(aloneGrant));
    EXPECT_LE(grantCount, 1); // then the other target is full, and the next request is queued
    const BrokerEffects completionEffects = release(aloneGrant, GrantResult::Succeeded);
    EXPECT_EQ(std::get<ClearSuspectEffect>(completionEffects.at(0)).fingerprint, 77U);
    EXPECT_EQ(reasonOf(requestGrant(5, SuspectVerdict::Refused)), Reason::CrashSuspect);
}

// Guards against a crash that is not charged to all requests in flight on the target, or twice to
// one of them.
TEST_F(SlotBrokerTest, CrashIsChargedOnceToAllInFlight)
{
    setTargets({{1, 3, false, false}});
    broker.targetReport({.target = 1, .startId = 5}, now, 0, effects);
    now += Milliseconds(1000);
    const BrokerEffects first = requestGrant(5, SuspectVerdict::Allowed, {}, 11);
    const BrokerEffects second = requestGrant(5, SuspectVerdict::Allowed, {}, 12);
    EXPECT_TRUE(release(first, GrantResult::ConnectionLost).empty());
    now += Milliseconds(1);
    BrokerEffects crash;
    broker.targetReport({.target = 1, .startId = 6}, now, 0, crash);
    ASSERT_EQ(crash.size(), 1U);
    EXPECT_EQ(std::get<ChargeCrashEffect>(crash[0]).fingerprint, 11U);
    crash = release(second, GrantResult::ConnectionLost); // the broker learns of this loss later
    ASSERT_EQ(crash.size(), 1U);
    EXPECT_EQ(std::get<ChargeCrashEffect>(crash[0]).fingerprint, 12U);
    broker.targetReport({.target = 1, .startId = 6}, now, 0, effects);
}

// Guards against a crash that is detected only after the target has restarted: until then the
// request that caused it would be retried on the next target.
TEST_F(SlotBrokerTest, RefusedProbeProvesTheCrash)
{
    setTargets({{1, 3, false, false}});
    now += Milliseconds(1000);
    const BrokerEffects grantEffects = requestGrant(5, SuspectVerdict::Allowed, {}, 7);
    BrokerEffects crash;
    broker.probeRefused(1, now, crash);
    EXPECT_TRUE(crash.empty()) << "no connection was lost yet";
    now += Milliseconds(1);
    const BrokerEffects second = requestGrant(5, SuspectVerdict::Allowed, {}, 8);
    EXPECT_TRUE(release(second, GrantResult::ConnectionLost).empty());
    broker.probeRefused(1, now, crash);
    ASSERT_EQ(crash.size(), 1U);
    EXPECT_EQ(std::get<ChargeCrashEffect>(crash[0]).fingerprint, 8U);
    // The broker learns later that the first request lost its connection too.
    EXPECT_EQ(release(grantEffects, GrantResult::ConnectionLost).size(), 1U);
}

// Returns a broker of one target with two slots whose rebuild awaits reports of the given holders.
SlotBroker makeRebuildingBroker(const std::vector<HolderId> &holders, TimePoint now)
{
    BrokerEffects effects;
    SlotBroker broker(2, BrokerSettings{.longestGrantTime = Milliseconds(3000), .warmStart = true});
    broker.allowGrantsUntil(TimePoint::max());
    const std::vector<BrokerTarget> targets{{1, 2, false, false}};
    broker.setTargets(targets, now, 0, effects);
    broker.startRebuild(holders, now, 0, effects);
    EXPECT_TRUE(effects.empty());
    return broker;
}

// Guards against a new broker that, while it waits for a dead holder's grants to expire, withholds
// slots that another holder has released.
TEST(SlotBrokerRebuildTest, SlotsReleasedByReportingHolderAreGranted)
{
    BrokerEffects effects;
    const TimePoint now;
    const HolderId deadHolder{1, 9};
    auto broker = makeRebuildingBroker({holderA, deadHolder}, now);
    broker.holderDied(deadHolder, now, 0, effects);
    const GrantsHeld heldList{.holder = holderA,
                              .number = 1,
                              .epoch = 2,
                              .held = {{{1, 4}, 1, Milliseconds(9), 1}},
                              .waiting = {}};
    broker.heldReport(heldList, now, 0, effects);
    const GrantRequest request{.holder = holderA,
                               .sequence = 2,
                               .queueLimit = Milliseconds(9000),
                               .remaining = Milliseconds(9000),
                               .tried = {}};
    broker.request(request, SuspectVerdict::Allowed, now, 0, effects);
    EXPECT_TRUE(effects.empty());
    broker.release(holderA, {1, 4}, GrantResult::Succeeded, {}, now, 0, effects);
    EXPECT_EQ(effects.size(), 1U);
    EXPECT_EQ(broker.status().inUse, 2); // the dead holder may still use the other slot
    broker.tick(now + Milliseconds(3200), 0, effects);
    EXPECT_EQ(broker.status().inUse, 1);
    EXPECT_FALSE(broker.status().rebuilding);
}

// Guards against requests that wait up to their limit for slots of a dead holder and only then fall
// back to a region that could have served them at once.
TEST(SlotBrokerRebuildTest, RequestThatCannotWaitForDeadHolderIsRefusedAtOnce)
{
    BrokerEffects effects;
    const TimePoint now;
    const HolderId deadHolder{1, 9};
    auto broker = makeRebuildingBroker({deadHolder}, now);
    GrantRequest request{.holder = holderA,
                         .sequence = 1,
                         .queueLimit = Milliseconds(500),
                         .remaining = Milliseconds(9000),
                         .tried = {}};
    broker.request(request, SuspectVerdict::Allowed, now, 0, effects);
    EXPECT_TRUE(effects.empty()) << "the holder may still report";
    broker.holderDied(deadHolder, now, 0, effects);
    request.sequence = 2;
    broker.request(request, SuspectVerdict::Allowed, now, 0, effects);
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<RefusalEffect>(effects[0]).reason, Reason::Overloaded);
    effects.clear();
    request.sequence = 3;
    request.queueLimit = Milliseconds(4000);
    broker.request(request, SuspectVerdict::Allowed, now, 0, effects);
    EXPECT_TRUE(effects.empty()) << "the grants of the dead holder end within the queue limit";
}

} // namespace
} // namespace chestnutvane
