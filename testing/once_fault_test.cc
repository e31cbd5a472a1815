#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using std::this_thread::sleep_for;

// Guards against a second run of an at-most-once request that its caller sends again through other
// instances, and against a "not-run" answer for one that ran, while the instances that own the keys
// are paused past their lease or killed, the store is down and a target dies in mid-request.
TEST(OnceFaultTest, RunsAtMostOnceThroughAllFaults)
{
    FaultWorld world(60);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    // A third of the sends time out while the target works, so that keys come again in progress.
    Load load(deployment,
              {.path = "/orders",
               .query = "work-ms=40",
               .atMostOnce = true,
               .maxSends = 4,
               .sendTimeout = Milliseconds(45),
               .threads = 10});
    sleep_for(Milliseconds(1000));
    ASSERT_TRUE(deployment.sendSignal("i1", SIGSTOP));
    sleep_for(Milliseconds(1000));
    ASSERT_TRUE(deployment.sendSignal("t-4", SIGKILL));
    sleep_for(Milliseconds(500));
    ASSERT_TRUE(deployment.start("t-4"));
    ASSERT_TRUE(deployment.sendSignal("i3", SIGKILL));
    sleep_for(Milliseconds(1500));
    ASSERT_TRUE(deployment.start("i3"));
    sleep_for(Milliseconds(4000)); // the lease of i1 (5 s) has lapsed
    ASSERT_TRUE(deployment.sendSignal("i1", SIGCONT));
    sleep_for(Milliseconds(1000));
    ASSERT_TRUE(deployment.control("store", {{"down", true}}));
    ASSERT_TRUE(deployment.sendSignal("t-1", SIGKILL));
    sleep_for(Milliseconds(500));
    ASSERT_TRUE(deployment.sendSignal("i2", SIGKILL));
    ASSERT_TRUE(deployment.start("t-1"));
    sleep_for(Milliseconds(2000));
    ASSERT_TRUE(deployment.control("store", {{"down", false}}));
    ASSERT_TRUE(deployment.start("i2"));
    sleep_for(Milliseconds(1500));
    const auto calls = load.stop();

    int twice = 0;
    const auto runs = world.runsByTag();
    for (const auto &[tag, count] : runs)
        twice += count > 1 ? 1 : 0;
    int ran = 0;
    int sentAgain = 0;
    int wrongNotRun = 0;
    int wrongRan = 0;
    int crossed = 0;
    for (const auto &call : calls) {
        const bool hasRun = runs.contains(call.tag);
        ran += call.outcome == "ran" ? 1 : 0;
        sentAgain += call.sends > 1 ? 1 : 0;
        wrongNotRun += call.outcome == "not-run" && hasRun ? 1 : 0;
        wrongRan += call.outcome == "ran" && !hasRun ? 1 : 0;
        crossed += call.crossed ? 1 : 0;
    }
    RecordProperty("calls", static_cast<int>(calls.size()));
    RecordProperty("sent-again", sentAgain);
    std::cout << calls.size() << " calls, " << sentAgain << " sent again\n" << summary(calls);
    EXPECT_EQ(twice, 0);
    EXPECT_EQ(wrongNotRun, 0);
    EXPECT_EQ(wrongRan, 0);
    EXPECT_EQ(crossed, 0);
    EXPECT_GT(ran, 200) << "the load did not run";
    EXPECT_GT(sentAgain, 10) << "the faults met no request";
}

} // namespace
} // namespace chestnutvane
