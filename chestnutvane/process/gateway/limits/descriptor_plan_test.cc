#include "chestnutvane/process/gateway/limits/descriptor_plan.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against callers who take the descriptors of targets, the store and other instances.
TEST(DescriptorPlanTest, EveryUseHasDescriptorsOfItsOwn)
{
    for (const std::size_t descriptors : {300U, 360U, 1024U, 2870U, 8192U, 1048576U}) {
        const auto [callers, directory, readiness, metrics] = descriptorPlan(descriptors);
        const std::size_t sockets = descriptors - 200;
        EXPECT_GE(callers, sockets / 2) << descriptors;
        EXPECT_GE(readiness, 1U) << descriptors;
        EXPECT_GE(metrics, 1U) << descriptors;
        EXPECT_GE(directory, 2U) << descriptors;
        EXPECT_LE(callers + directory + readiness + metrics, sockets * 3 / 4) << descriptors;
    }
}

// Guards against an instance that takes no connection under a small limit.
TEST(DescriptorPlanTest, ASmallLimitLeavesAPlaceToEachListener)
{
    const DescriptorPlan plan = descriptorPlan(64);
    EXPECT_GE(plan.callers, 16U);
    EXPECT_GE(plan.readiness, 1U);
}

TEST(DescriptorPlanTest, ASettingOnlyLowersTheLimitOfTheProcess)
{
    EXPECT_EQ(usableDescriptors(64), 64U);
    EXPECT_EQ(usableDescriptors(std::size_t{1} << 40U), usableDescriptors(0));
}

} // namespace
} // namespace chestnutvane
