#include "chestnutvane/process/slot_fault_model.h"

#include <gtest/gtest.h>

#include <tuple>

namespace chestnutvane {
namespace {

class SlotFaultTest : public testing::TestWithParam<std::tuple<ModelFault, std::uint64_t>>
{
protected:
    static FaultModelSettings settings()
    {
        const auto &[fault, seed] = GetParam();
        return {.fault = fault, .seed = seed};
    }
};

using SlotFaultReportTest = SlotFaultTest;

// Highest allowed p99 relative to that of the one-queue policy (design, section 7.1).
constexpr double maxP99Ratio = 1.15;

// Guards against dispatches above slots after any fault. The least-reported-load policy fails the
// same check, which shows that the model's load is high enough to detect them.
TEST_P(SlotFaultTest, BrokerStaysWithinSlots)
{
    const FaultModelResult broker = runUnderFault(SlotPolicy::Broker, settings());
    const FaultModelResult leastReported = runUnderFault(SlotPolicy::LeastReportedLoad, settings());
    EXPECT_GT(broker.dispatches, 0U);
    EXPECT_EQ(broker.aboveSlots, 0U);
    EXPECT_GT(leastReported.aboveSlots, 0U);
}

INSTANTIATE_TEST_SUITE_P(
        EveryFault, SlotFaultTest,
        testing::Combine(testing::Values(ModelFault::None, ModelFault::ReportsStop,
                                         ModelFault::ReportsIdle, ModelFault::HolderDies,
                                         ModelFault::BrokerDies, ModelFault::TargetRestarts,
                                         ModelFault::TargetsLeave, ModelFault::RegionFails),
                         testing::Values(1, 2)));

// Guards against decisions that take missing reports, or false reports of no load, for free slots.
// The least-reported-load policy fails the same check.
TEST_P(SlotFaultReportTest, BrokerKeepsLatencyAt90Percent)
{
    FaultModelSettings it = settings();
    it.offeredLoad = 0.9;
    const FaultModelResult oneQueue = runUnderFault(SlotPolicy::OneQueue, it);
    const FaultModelResult broker = runUnderFault(SlotPolicy::Broker, it);
    const FaultModelResult leastReported = runUnderFault(SlotPolicy::LeastReportedLoad, it);
    EXPECT_LE(broker.p99Ms, maxP99Ratio * oneQueue.p99Ms);
    EXPECT_EQ(broker.refused, 0U);
    EXPECT_GT(leastReported.p99Ms, maxP99Ratio * oneQueue.p99Ms);
}

INSTANTIATE_TEST_SUITE_P(FaultsOfReports, SlotFaultReportTest,
                         testing::Combine(testing::Values(ModelFault::None, ModelFault::ReportsStop,
                                                          ModelFault::ReportsIdle),
                                          testing::Values(1, 2)));

// Guards against a model whose result depends on anything other than its settings.
TEST(SlotFaultModelTest, SameSettingsGiveTheSameResult)
{
    const FaultModelSettings settings{.fault = ModelFault::BrokerDies, .durationMs = 12000};
    const FaultModelResult first = runUnderFault(SlotPolicy::Broker, settings);
    const FaultModelResult second = runUnderFault(SlotPolicy::Broker, settings);
    EXPECT_EQ(first.p999Ms, second.p999Ms);
    EXPECT_EQ(first.refused, second.refused);
    EXPECT_EQ(first.dispatches, second.dispatches);
}

} // namespace
} // namespace chestnutvane
