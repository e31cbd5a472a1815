#include "chestnutvane/process/gateway/work/run_cost.h"

#include <gtest/gtest.h>

#include <random>

namespace chestnutvane {
namespace {

// 3 in 100 requests cost seven times as much as the others.
RunCostDistribution learnHeavyTail()
{
    RunCostDistribution costs;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> body(0.8, 1.2);
    std::bernoulli_distribution isCostly(0.03);
    for (int i = 0; i < 4000; ++i)
        costs.learn(body(random) * (isCostly(random) ? 7 : 1));
    return costs;
}

TEST(RunCostDistributionTest, TheTailIsLearned)
{
    const RunCostDistribution costs = learnHeavyTail();
    EXPECT_NEAR(costs.shareAbove(2), 0.03, 0.015);
    EXPECT_NEAR(costs.shareAbove(0.5), 1, 0.01);
    EXPECT_NEAR(costs.mean(), 1.18, 0.12);
    EXPECT_NEAR(costs.quantile(0.5), 1, 0.15);
    EXPECT_GT(costs.quantile(0.995), 5);
}

// Guards against the belief that a request which has run for long is about to end.
TEST(RunCostDistributionTest, ARequestThatHasRunForLongWillRunForLonger)
{
    const RunCostDistribution costs = learnHeavyTail();
    EXPECT_GT(costs.meanRemaining(2), 3);
    EXPECT_GT(costs.meanRemaining(2), 2 * costs.meanRemaining(0));
    EXPECT_GT(costs.meanRemaining(20), 1);
}

TEST(RunCostDistributionTest, ThePriorIsUsedUntilRequestsWereSeen)
{
    const RunCostDistribution costs;
    EXPECT_NEAR(costs.shareAbove(1), 0.5, 0.05);
    EXPECT_NEAR(costs.shareAbove(2), 0.02, 0.01);
    EXPECT_DOUBLE_EQ(costs.shareAbove(0), 1);
    EXPECT_DOUBLE_EQ(costs.shareAbove(1000), 0);
}

// Guards against a distribution that keeps the costs of an earlier release.
TEST(RunCostDistributionTest, AChangedServiceIsLearnedAnew)
{
    RunCostDistribution costs = learnHeavyTail();
    for (int i = 0; i < 2000; ++i)
        costs.learn(1);
    EXPECT_LT(costs.shareAbove(2), 0.005);
}

TEST(RunCostDistributionTest, OddRatiosAreBounded)
{
    RunCostDistribution costs;
    costs.learn(-5);
    costs.learn(1e30);
    EXPECT_GE(costs.shareAbove(11.9), 0);
    EXPECT_LE(costs.mean(), 12);
}

} // namespace
} // namespace chestnutvane
