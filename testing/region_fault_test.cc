#include <gtest/gtest.h>

#include <csignal>
#include <iostream>
#include <thread>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using std::this_thread::sleep_for;

// Guards against callers that are refused while the broker of their region is gone or counts the
// slots of its dead predecessor, although the other region could carry them. A caller sends again
// through other instances; with one region able to carry all, no view may end unserved.
TEST(RegionFaultTest, OtherRegionServesWhileABrokerIsGone)
{
    FaultWorld world(72);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load views(deployment, {.query = "work-ms=20", .maxSends = 4, .threads = 5});
    sleep_for(Milliseconds(3000));
    const auto killed = brokerOf(deployment, "north");
    ASSERT_FALSE(killed.empty());
    const auto killedAt = Clock::now();
    ASSERT_TRUE(deployment.sendSignal(killed, SIGKILL));
    sleep_for(Milliseconds(12'000)); // lease (5 s), takeover, and the longest deadline of a view
    const auto calls = views.stop();
    std::size_t refused = 0;
    std::size_t after = 0;
    for (const auto &call : calls) {
        if (call.startedAt < killedAt)
            continue;
        ++after;
        refused += call.outcome == "ran" && call.status == 200 ? 0 : 1;
    }
    std::cout << after << " views after the kill, " << refused << " not served\n" << summary(calls);
    EXPECT_GT(after, 0U);
    EXPECT_EQ(refused, 0U);
    EXPECT_FALSE(brokerOf(deployment, "north").empty()) << "no takeover";
}

} // namespace
} // namespace chestnutvane
