#include "chestnutvane/process/slot_policy_model.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a broker whose queueing and message delays raise p99 by more than 15% over the
// one-queue policy, and against any dispatch above slots.
TEST(SlotPolicyTest, BrokerIsCloseToOneQueueAt90Percent)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        ModelSettings settings;
        settings.seed = seed;
        const ModelResult oneQueue = runSlotPolicy(SlotPolicy::OneQueue, settings);
        const ModelResult broker = runSlotPolicy(SlotPolicy::Broker, settings);
        EXPECT_LE(broker.p99Ms, 1.15 * oneQueue.p99Ms) << "seed " << seed;
        EXPECT_EQ(broker.aboveSlots, 0U) << "seed " << seed;
        EXPECT_EQ(broker.classes[0].refused, 0U) << "seed " << seed;
    }
}

// Guards against a model that shows no difference between policies.
TEST(SlotPolicyTest, LeastReportedLoadGoesAboveSlots)
{
    ModelSettings settings;
    settings.durationMs = 20000;
    const ModelResult oneQueue = runSlotPolicy(SlotPolicy::OneQueue, settings);
    const ModelResult leastReported = runSlotPolicy(SlotPolicy::LeastReportedLoad, settings);
    EXPECT_GT(leastReported.p99Ms, 2 * oneQueue.p99Ms);
    EXPECT_GT(leastReported.aboveSlots, leastReported.dispatches / 2);
}

// Guards against overload that affects the most important class, lowers goodput, or is refused only
// after a wait.
TEST(SlotPolicyTest, OverloadIsRefusedAtOnceAndByImportance)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        ModelSettings settings = overloadSettings();
        settings.seed = seed;
        const ModelResult result = runSlotPolicy(SlotPolicy::Broker, settings);
        ModelSettings normalLoad;
        normalLoad.seed = seed;
        const ModelResult oneQueue = runSlotPolicy(SlotPolicy::OneQueue, normalLoad);
        EXPECT_GE(result.goodput, 0.9) << "seed " << seed;
        EXPECT_EQ(result.aboveSlots, 0U) << "seed " << seed;
        EXPECT_EQ(result.classes[0].refused, 0U) << "seed " << seed;
        EXPECT_LE(result.classes[0].p99Ms, 1.15 * oneQueue.p99Ms) << "seed " << seed;
        for (const ModelClassResult &it : result.classes)
            EXPECT_GE(it.refusedImmediately * 10, it.refused * 9) << "seed " << seed;
    }
}

// Guards against a goodput bound so low that a policy without refusals would reach it as well.
TEST(SlotPolicyTest, LeastReportedLoadLosesGoodputInOverload)
{
    const ModelResult leastReported =
            runSlotPolicy(SlotPolicy::LeastReportedLoad, overloadSettings());
    EXPECT_LT(leastReported.goodput, 0.9);
}

} // namespace
} // namespace chestnutvane
