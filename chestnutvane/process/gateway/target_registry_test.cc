#include "chestnutvane/process/gateway/target_registry.h"

#include <gtest/gtest.h>

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
