#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using std::this_thread::sleep_for;

void expectAllRan(const std::vector<CallRecord> &calls)
{
    const auto failed = std::count_if(calls.begin(), calls.end(), [](const CallRecord &call) {
        return call.outcome != "ran" || call.status != 200 || call.crossed;
    });
    EXPECT_EQ(failed, 0) << summary(calls);
    EXPECT_GT(calls.size(), 500U) << "the load did not run";
    std::cout << calls.size() << " calls, " << failed << " failed\n";
}

// Guards against a planned stop that cuts or refuses requests of callers that follow look-ups.
TEST(RestartFaultTest, PlannedRestartsFailNoRequest)
{
    FaultWorld world(61);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load views(deployment, {.query = "work-ms=30", .prefix = "v"});
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=30",
                 .atMostOnce = true,
                 .threads = 4,
                 .prefix = "o"});
    for (const auto *id : {"i1", "i2", "i3", "i4"}) {
        sleep_for(Milliseconds(500));
        ASSERT_TRUE(deployment.sendSignal(id, SIGTERM));
        ASSERT_EQ(deployment.waitForExit(id, Milliseconds(30'000)), 0) << id;
        ASSERT_TRUE(deployment.start(id));
        ASSERT_TRUE(deployment.waitUntilServing(Milliseconds(20'000))) << deployment.describeWait();
    }
    expectAllRan(views.stop());
    expectAllRan(orders.stop());
}

// Guards against new work on a target that is drained, and against a drain that cuts requests.
TEST(RestartFaultTest, DrainedTargetGetsNoNewWork)
{
    FaultWorld world(62);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load load(deployment, {.query = "work-ms=50"});
    sleep_for(Milliseconds(1000));
    const auto rules = deployment.rulesText() + "drain target=t-1 # asked by Ada\n";
    const auto answer = deployment.apply(rules, "i2");
    ASSERT_EQ(answer.outcome, "accepted") << answer.reason;
    const auto acceptedAt = Clock::now();
    sleep_for(Milliseconds(6000));
    expectAllRan(load.stop());

    const auto endMs = std::chrono::duration_cast<Milliseconds>(
                               (acceptedAt + Milliseconds(3000)).time_since_epoch())
                               .count();
    int before = 0;
    int after = 0;
    int others = 0;
    for (const auto &line : world.targetLines()) {
        if (line.target != "t-1")
            others += line.atMs > endMs ? 1 : 0;
        else
            (line.atMs > endMs ? after : before) += 1;
    }
    EXPECT_GT(before, 0) << "the target had no work before the drain";
    EXPECT_EQ(after, 0);
    EXPECT_GT(others, 100);
}

} // namespace
} // namespace chestnutvane
