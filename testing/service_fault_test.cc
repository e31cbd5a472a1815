#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <thread>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using std::this_thread::sleep_for;

// Returns when an instance that lacks a revision was last seen, or nothing if one still lacks it at
// the end.
std::optional<TimePoint> waitForRevision(Deployment &deployment, std::uint64_t revision,
                                         TimePoint end)
{
    const auto &all = deployment.instances();
    for (;;) {
        const auto asked = Clock::now();
        if (std::all_of(all.begin(), all.end(), [&](const InstanceSpec &instance) {
                return deployment.status(instance.id).value("revision", std::uint64_t{0})
                        >= revision;
            }))
            return asked;
        if (asked >= end)
            return std::nullopt;
        sleep_for(Milliseconds(10));
    }
}

// Guards against requests that wait for the store, a group that stops granting because its leases
// are renewed late, and a change that is accepted by a slow store and stays unknown to instances.
// The delays are the whole time of a call: the first is below the time limit of a call of 2 s, the
// second is above it, so that each call times out at the instance and takes effect at the store.
TEST(ServiceFaultTest, SlowStoreDelaysChangesOnly)
{
    constexpr Milliseconds limit{5000}; // in force everywhere under one fault
    FaultWorld world(82);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    ASSERT_TRUE(deployment.control("store", {{"delay-ms", 1000}}));
    Load views(deployment, {.prefix = "v"});
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=20",
                 .atMostOnce = true,
                 .threads = 3,
                 .prefix = "o"});
    sleep_for(Milliseconds(2000));
    const auto sentAt = Clock::now();
    const auto change =
            deployment.apply(deployment.rulesText() + "drain target=t-1 # asked by Ada\n", "i3");
    const auto answeredAt = Clock::now();
    ASSERT_EQ(change.outcome, "accepted") << change.reason;
    const auto inForceAt = waitForRevision(deployment, change.revision, sentAt + limit);
    sleep_for(Milliseconds(500));
    ASSERT_TRUE(deployment.control("store", {{"delay-ms", 3000}}));
    sleep_for(Milliseconds(7000)); // longer than a lease of 5 s
    const auto viewCalls = views.stop();
    const auto orderCalls = orders.stop();

    std::cout << viewCalls.size() << " views, " << countFailed(viewCalls) << " failed; "
              << orderCalls.size() << " orders, " << countFailed(orderCalls)
              << " failed; change answered after " << monotonicMs(answeredAt) - monotonicMs(sentAt)
              << " ms, in force on all after "
              << (inForceAt ? monotonicMs(*inForceAt) - monotonicMs(sentAt) : -1) << " ms\n";
    EXPECT_TRUE(inForceAt.has_value()) << "not in force on all instances within 5 s";
    EXPECT_EQ(countFailed(viewCalls), 0U) << summary(viewCalls);
    EXPECT_EQ(countFailed(orderCalls), 0U) << summary(orderCalls);
    EXPECT_GT(viewCalls.size() + orderCalls.size(), 500U) << "the load did not run";
}

} // namespace
} // namespace chestnutvane
