// Placement at nine tenths of the slots, under requests of very different cost and targets of
// changing speed.

#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>

#include "chestnutvane/process/gateway/work/work_placement_simulation.h"

namespace chestnutvane {
namespace {

constexpr double costlyShare = 0.03;
constexpr double slowShare = 0.15;

using Outcomes = std::map<PlacementPolicy, SimulatedOutcome>;

Outcomes runAll(const std::string &title, const SimulatedLoad &load, int seconds)
{
    std::printf("%s, %zu targets, %zu instances\n", title.c_str(), load.targets, load.instances);
    Outcomes outcomes;
    for (const auto &[policy, name] : placementPolicyNames) {
        const auto outcome = WorkPlacementSimulation(load, policy).run(seconds);
        std::printf("  %-14s in aim %.3f, p50 %4d ms, p99 %4d ms\n", std::string(name).c_str(),
                    outcome.inAim, outcome.p50Ms, outcome.p99Ms);
        outcomes[policy] = outcome;
    }
    return outcomes;
}

// Callers are served no worse than by the other policies. The margin is what chance makes of runs
// of this length.
void expectBest(const Outcomes &outcomes)
{
    constexpr double chanceMargin = 0.01;
    const double byWork = outcomes.at(PlacementPolicy::ByWork).inAim;
    for (const auto &[policy, outcome] : outcomes)
        EXPECT_GE(byWork, outcome.inAim - chanceMargin) << enumName(placementPolicyNames, policy);
}

// Guards against a costly request that is charged to its target, so that other requests leave the
// targets that hold their objects.
TEST(WorkPlacementTest, AHeavyTailOfCosts)
{
    expectBest(runAll("heavy tail", {.costlyShare = costlyShare}, 12));
    expectBest(
            runAll("heavy tail", {.targets = 240, .instances = 61, .costlyShare = costlyShare}, 2));
}

TEST(WorkPlacementTest, TargetsThatChangeTheirSpeed)
{
    expectBest(runAll("changing speed", {.slowShare = slowShare}, 12));
    expectBest(
            runAll("changing speed", {.targets = 240, .instances = 61, .slowShare = slowShare}, 2));
}

TEST(WorkPlacementTest, AHeavyTailAndTargetsThatChangeTheirSpeed)
{
    const SimulatedLoad both{.costlyShare = costlyShare, .slowShare = slowShare};
    expectBest(runAll("both", both, 12));
    SimulatedLoad large = both;
    large.targets = 240;
    large.instances = 103;
    expectBest(runAll("both", large, 2));
}

// Guards against slots that stay unused, and others that are overbooked, where a large fleet
// reports rarely.
TEST(WorkPlacementTest, ReportsThatAreOlderThanMostRuns)
{
    expectBest(runAll("both, reports of 30 to 730 ms age",
                      {.targets = 240,
                       .instances = 103,
                       .costlyShare = costlyShare,
                       .slowShare = slowShare,
                       .reportPeriodMs = 700},
                      2));
}

TEST(WorkPlacementTest, EqualRequestsAndTargets)
{
    const Outcomes outcomes = runAll("equal", {}, 8);
    EXPECT_GE(outcomes.at(PlacementPolicy::ByWork).inAim, 0.99);
}

// Share of the requests that may miss their aim because of a fault that an instance cannot notice.
constexpr double faultMargin = 0.05;

TEST(WorkPlacementTest, ReportsThatAreLostAndAnInstanceThatIsCutOff)
{
    const SimulatedLoad both{.costlyShare = costlyShare, .slowShare = slowShare};
    const double usual = WorkPlacementSimulation(both, PlacementPolicy::ByWork).run(12).inAim;
    SimulatedLoad lossy = both;
    lossy.lostReportShare = 0.3;
    SimulatedLoad cut = both;
    cut.isOneInstanceCutOff = true;
    EXPECT_GE(runAll("3 in 10 reports lost", lossy, 12)[PlacementPolicy::ByWork].inAim,
              usual - faultMargin);
    EXPECT_GE(runAll("one instance cut off", cut, 12)[PlacementPolicy::ByWork].inAim,
              usual - faultMargin);
}

TEST(WorkPlacementTest, ATargetThatLiesAboutItsSpeed)
{
    const SimulatedLoad both{.costlyShare = costlyShare, .slowShare = slowShare};
    const double usual = WorkPlacementSimulation(both, PlacementPolicy::ByWork).run(12).inAim;
    SimulatedLoad lying = both;
    lying.doTargetsLie = true;
    EXPECT_GE(runAll("one target lies", lying, 12)[PlacementPolicy::ByWork].inAim,
              usual - faultMargin);
}

} // namespace
} // namespace chestnutvane
