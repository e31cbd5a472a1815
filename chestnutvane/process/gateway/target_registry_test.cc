#include "chestnutvane/process/gateway/target_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chestnutvane/process/gateway/store/feed_change.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const TimePoint start = TimePoint{} + 1h;

TargetEntry entry(std::string id, std::uint64_t sequence = 1)
{
    TargetEntry result;
    result.id = std::move(id);
    result.service = "s";
    result.address = "10.0.0.1:80";
    result.zone = "tpe-a";
    result.sequence = sequence;
    result.startedAt = 1000;
    return result;
}

TargetRegistry registryWith(const std::vector<TargetEntry> &entries)
{
    const std::map<std::string, std::string> zones{{"tpe-a", "taipei"}};
    TargetRegistry registry(zones);
    registry.replaceAll(entries, start, RemovalPolicy::Immediate);
    return registry;
}

// Guards against requests to a target that was removed, and against the loss of a target that is
// still running.
TEST(TargetRegistryTest, RemovalFollowsThePolicy)
{
    TargetRegistry registry = registryWith({entry("a"), entry("b")});
    const auto b = registry.targetsOf("s")[1];
    registry.replaceAll({entry("a", 2)}, start, RemovalPolicy::Keep);
    EXPECT_EQ(registry.targetsOf("s").size(), 2U);
    EXPECT_TRUE(registry.isEligible(*b));
    registry.replaceAll({entry("a", 3)}, start, RemovalPolicy::Immediate);
    EXPECT_EQ(registry.targetsOf("s").size(), 1U);
    EXPECT_FALSE(registry.isEligible(*b));
}

// Guards against new requests to draining targets and to evacuated zones.
TEST(TargetRegistryTest, DrainingAndEvacuatedTargetsAreNotEligible)
{
    TargetRegistry registry = registryWith({entry("a")});
    const auto target = registry.targetsOf("s")[0];
    EXPECT_TRUE(registry.isEligible(*target));
    registry.setEvacuatedZones({"tpe-a"});
    EXPECT_FALSE(registry.isEligible(*target));
    registry.setEvacuatedZones({});
    TargetEntry draining = entry("a", 2);
    draining.draining = true;
    registry.replaceAll({draining}, start, RemovalPolicy::Immediate);
    EXPECT_FALSE(registry.isEligible(*target));
}

// Guards against a restarted target that is treated as the earlier incarnation with the same id.
TEST(TargetRegistryTest, ANewIncarnationResetsTheStateOfTheTarget)
{
    TargetRegistry registry = registryWith({entry("a", 50)});
    const auto target = registry.targetsOf("s")[0];
    target->warmObjects.touch(7, 10);
    target->runTimeFactor = 4;
    TargetEntry restarted = entry("a", 1);
    restarted.startedAt = 2000;
    restarted.coldRemaining = 3000ms;
    registry.replaceAll({restarted}, start, RemovalPolicy::Immediate);
    EXPECT_FALSE(target->warmObjects.contains(7));
    EXPECT_DOUBLE_EQ(target->runTimeFactor, 1);
    EXPECT_GT(target->coldStartUntil, start);
}

// Guards against a cold start that is extended because the same entry is read repeatedly.
TEST(TargetRegistryTest, ColdTimeIsNotExtendedByTheSameEntry)
{
    TargetEntry cold = entry("a");
    cold.coldRemaining = 3000ms;
    TargetRegistry registry = registryWith({cold});
    const auto target = registry.targetsOf("s")[0];
    registry.replaceAll({cold}, start + 2s, RemovalPolicy::Immediate);
    EXPECT_EQ(target->coldStartUntil, start + 3s);
}

// Guards against full load on a target that has just started again, because its counts start anew
// and its first entry has the sequence that was known before (review/3).
TEST(TargetRegistryTest, ANewIncarnationWithTheSameSequenceIsCold)
{
    TargetRegistry registry = registryWith({entry("a")});
    const auto target = registry.targetsOf("s")[0];
    TargetEntry again = entry("a");
    again.startedAt = 2000;
    again.coldRemaining = 3s;
    registry.replaceAll({again}, start + 10s, RemovalPolicy::Immediate);
    EXPECT_EQ(target->coldStartUntil, start + 13s);
}

// Guards against new requests to a target that leaves, because a stale read or the content of
// another instance still says "ready".
TEST(TargetRegistryTest, AnOlderEntryDoesNotUndoWhatTheTargetSaid)
{
    TargetRegistry registry = registryWith({entry("a", 7)});
    const auto target = registry.targetsOf("s")[0];
    target->leavingSince = start;
    target->pausedUntil = start + 5s;
    EXPECT_TRUE(registry.replaceAll({entry("a", 6)}, start, RemovalPolicy::Immediate).empty());
    registry.replaceAll({entry("a", 8)}, start, RemovalPolicy::Immediate);
    EXPECT_TRUE(target->leavingSince);
    EXPECT_EQ(target->pausedUntil, start + 5s);
    TargetEntry draining = entry("a", 9);
    draining.draining = true;
    registry.replaceAll({draining}, start, RemovalPolicy::Immediate);
    registry.replaceAll({entry("a", 8)}, start, RemovalPolicy::Immediate);
    EXPECT_FALSE(registry.isEligible(*target));
}

// Guards against a target whose entry was lost with the store for a moment, and that is then taken
// for one that never said anything.
TEST(TargetRegistryTest, AnIncarnationThatComesBackIsTheSameTarget)
{
    TargetRegistry registry = registryWith({entry("a")});
    const auto target = registry.targetsOf("s")[0];
    target->pausedUntil = start + 5s;
    registry.replaceAll({}, start + 1s, RemovalPolicy::Immediate);
    EXPECT_FALSE(registry.isEligible(*target));
    registry.replaceAll({entry("a", 3)}, start + 3s, RemovalPolicy::Immediate);
    EXPECT_EQ(registry.targetsOf("s")[0], target);
    EXPECT_TRUE(registry.isEligible(*target));
    EXPECT_EQ(target->pausedUntil, start + 5s);
    registry.replaceAll({}, start + 4s, RemovalPolicy::Immediate);
    TargetEntry again = entry("a");
    again.startedAt = 2000;
    registry.replaceAll({again}, start + 5s, RemovalPolicy::Immediate);
    EXPECT_EQ(registry.targetsOf("s")[0]->pausedUntil, TimePoint{});
}

// Guards against a crash that is not noticed because the next process at the address has another
// id.
TEST(TargetRegistryTest, ANewTargetAtAnAddressEndsTheOneBefore)
{
    TargetRegistry registry = registryWith({entry("a"), entry("b")});
    TargetEntry next = entry("c");
    next.startedAt = 2000;
    const auto changes =
            registry.replaceAll({entry("a", 2), next}, start + 1s, RemovalPolicy::Keep);
    std::set<std::string> superseded;
    for (const auto &change : changes) {
        if (change.changeKind == TargetChangeKind::Superseded)
            superseded.insert(change.targetId);
    }
    EXPECT_EQ(superseded, (std::set<std::string>{"a", "b"}));
    EXPECT_TRUE(
            registry.replaceAll({entry("a", 3), next}, start + 1s, RemovalPolicy::Keep).empty());
}

// A target that restarts under its id and turns cold at any moment, and its entry in the store.
struct ColdTarget
{
    TargetEntry written = entry("a");
    TimePoint coldUntil;

    // The entry as the target writes it at the time.
    const TargetEntry &write(TimePoint now)
    {
        ++written.sequence;
        ++written.revision;
        written.coldRemaining = std::chrono::duration_cast<Milliseconds>(
                std::max<Duration>(coldUntil - now, Duration{0}));
        return written;
    }
};

// Guards against an instance that takes a target for warm while it is cold, in any order of starts,
// heartbeats and stale reads: both those that read the store and those that get only the entries
// whose content differs.
RC_GTEST_PROP(TargetRegistryTest, ATargetIsBelievedColdForAsLongAsItIs, ())
{
    enum class Step { Heartbeat, Restart, TurnCold, StaleRead, Wait };
    ColdTarget cold;
    TimePoint now = start;
    TargetRegistry reader = registryWith({cold.written});
    TargetRegistry follower = registryWith({cold.written});
    std::uint64_t followerHash = contentHash(cold.written);
    std::vector<TargetEntry> history{cold.written};
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::element(
            Step::Heartbeat, Step::Restart, Step::TurnCold, Step::StaleRead, Step::Wait));
    for (const Step step : steps) {
        if (step == Step::Wait) {
            now += 700ms;
            continue;
        }
        if (step == Step::StaleRead) {
            const auto index = *rc::gen::inRange<std::size_t>(0, history.size());
            reader.replaceAll({history[index]}, now, RemovalPolicy::Immediate);
            if (contentHash(history[index]) != followerHash)
                follower.replaceAll({history[index]}, now, RemovalPolicy::Immediate);
        }
        if (step == Step::Restart) {
            cold.written.startedAt += 1000;
            cold.written.sequence = 0;
        }
        if (step == Step::Restart || step == Step::TurnCold)
            cold.coldUntil = now + 3s;
        const TargetEntry &current = cold.write(now);
        history.push_back(current);
        reader.replaceAll({current}, now, RemovalPolicy::Immediate);
        if (contentHash(current) != followerHash || step == Step::StaleRead)
            follower.replaceAll({current}, now, RemovalPolicy::Immediate);
        followerHash = contentHash(current);
        for (const TargetRegistry *registry : {&reader, &follower}) {
            const auto &target = registry->targetsOf("s")[0];
            RC_ASSERT(std::max(target->coldStartUntil, now) >= std::max(cold.coldUntil, now));
        }
    }
}

// Guards against a list of more warm objects than the target holds.
TEST(WarmObjectsTest, TheLeastRecentlyServedObjectIsEvictedFirst)
{
    WarmObjects warm;
    warm.touch(1, 2);
    warm.touch(2, 2);
    warm.touch(1, 2);
    warm.touch(3, 2);
    EXPECT_TRUE(warm.contains(1));
    EXPECT_FALSE(warm.contains(2));
    EXPECT_TRUE(warm.contains(3));
}

} // namespace
} // namespace chestnutvane
