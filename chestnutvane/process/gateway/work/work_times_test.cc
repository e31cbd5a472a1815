#include "chestnutvane/process/gateway/work/work_times.h"

#include <gtest/gtest.h>

#include <random>

#include "chestnutvane/process/gateway/target_registry.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Guards against averages that mix warm and cold runs because the LRU list of a target was wrong.
// Runs are classified by their run time instead.
TEST(RunTimeEstimatorTest, WarmAndColdRunsAreAveragedSeparately)
{
    RunTimeEstimator times;
    const Duration aim = 400ms;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> percent(0, 99);
    for (int i = 0; i < 200; ++i) {
        const Duration run = percent(random) < 70 ? 115ms : 360ms;
        const WorkEstimate work = times.estimate("r", "s", aim);
        times.learn("r", "s", RunTimeEstimator::isWarmRun(work, run), run);
    }
    const WorkEstimate work = times.estimate("r", "s", aim);
    EXPECT_TRUE(work.measured);
    EXPECT_NEAR(std::chrono::duration<double>(work.warm).count(), 0.115, 0.01);
    EXPECT_NEAR(std::chrono::duration<double>(work.cold).count(), 0.360, 0.01);
}

// Guards against costly requests that lengthen the usual run time, or that count as cold runs.
TEST(RunTimeEstimatorTest, CostlyRequestsLeaveTheUsualRunTimeAsItIs)
{
    RunTimeEstimator times;
    for (int i = 0; i < 400; ++i) {
        const bool cold = i % 10 == 0;
        const Duration usual = cold ? 550ms : 165ms;
        const Duration cost = i % 33 == 5 ? usual * 7 : usual;
        const auto warm = RunTimeEstimator::classifyRun(times.estimate("r", "s", 600ms), cost);
        times.learnCost("r", "s", warm.value_or(!cold), cost);
    }
    const WorkEstimate work = times.estimate("r", "s", 600ms);
    EXPECT_NEAR(std::chrono::duration<double>(work.warm).count(), 0.165, 0.03);
    EXPECT_NEAR(std::chrono::duration<double>(work.cold).count(), 0.550, 0.06);
    EXPECT_GT(work.mean, work.warm);
    ASSERT_NE(work.costs, nullptr);
    EXPECT_NEAR(work.costs->shareAbove(3), 0.03, 0.015);
    EXPECT_FALSE(RunTimeEstimator::classifyRun(work, 1200ms));
    EXPECT_EQ(RunTimeEstimator::classifyRun(work, 200ms), true);
    EXPECT_EQ(RunTimeEstimator::classifyRun(work, 500ms), false);
}

// Guards against a service that is placed by a distribution although its targets do not state their
// speed.
TEST(RunTimeEstimatorTest, RunTimesAloneGiveNoDistribution)
{
    RunTimeEstimator times;
    times.learn("r", "s", true, 165ms);
    EXPECT_EQ(times.estimate("r", "s", 600ms).costs, nullptr);
}

// Simulates a target that holds a number of objects, under requests about more objects than that.
// Returns the estimated capacity.
std::size_t learnCapacity(std::size_t actualCapacity, std::size_t initialCapacity)
{
    WarmCapacityEstimator estimator(initialCapacity);
    WarmObjects trackedObjects;
    WarmObjects heldObjects;
    std::mt19937 random(11);
    std::uniform_int_distribution<std::uint64_t> object(1, 80);
    for (int i = 0; i < 4000; ++i) {
        const std::uint64_t next = object(random);
        if (const auto depth = trackedObjects.depth(next))
            estimator.learn(*depth, heldObjects.contains(next));
        trackedObjects.touch(next, WarmCapacityEstimator::maxObjects);
        heldObjects.touch(next, actualCapacity);
    }
    return estimator.warmCapacity();
}

// Guards against an overestimated capacity: requests go to a target that does not hold the object,
// and take three times as long.
TEST(WarmCapacityEstimatorTest, TheCapacityIsLearnedFromRunTimes)
{
    for (const std::size_t actualCapacity : {12U, 22U, 40U}) {
        EXPECT_NEAR(static_cast<double>(learnCapacity(actualCapacity, 36)),
                    static_cast<double>(actualCapacity), 4);
        EXPECT_NEAR(static_cast<double>(learnCapacity(actualCapacity, 8)),
                    static_cast<double>(actualCapacity), 4);
    }
}

} // namespace
} // namespace chestnutvane
