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

// Guards against new work on a target that says itself that it is leaving, and against a stop of
// work that cuts what runs there.
TEST(ServiceFaultTest, TargetThatSaysItLeavesGetsNoNewWork)
{
    constexpr Milliseconds limit{3000}; // from section 2 of the design page
    FaultWorld world(83);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load views(deployment, {.query = "work-ms=50", .threads = 5, .prefix = "v"});
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=50",
                 .atMostOnce = true,
                 .threads = 3,
                 .prefix = "o"});
    sleep_for(Milliseconds(2000)); // the targets' cold start: one slot more per 500 ms with success
    // Work that is on the target when it begins to leave.
    Load reports(deployment,
                 {.path = "/reports",
                  .query = "work-ms=4000",
                  .sendTimeout = Milliseconds(21'000),
                  .threads = 6,
                  .prefix = "r"});
    sleep_for(Milliseconds(500));
    std::string leaving; // a target that runs a report
    for (const auto &line : world.targetLines())
        leaving = line.tag.starts_with("r-") ? line.target : leaving;
    ASSERT_FALSE(leaving.empty()) << "no report is running";
    const auto leavingAt = Clock::now();
    ASSERT_TRUE(deployment.control(leaving, {{"leaving", true}}));
    std::this_thread::sleep_until(leavingAt + limit + Milliseconds(3000));
    const auto viewCalls = views.stop();
    const auto orderCalls = orders.stop();
    const auto reportCalls = reports.stop();

    int before = 0;
    int late = 0;
    int others = 0;
    std::int64_t lastStartMs = 0;
    for (const auto &line : world.targetLines()) {
        const bool isLate = line.atMs > monotonicMs(leavingAt + limit);
        if (line.target != leaving) {
            others += isLate ? 1 : 0;
            continue;
        }
        before += line.atMs < monotonicMs(leavingAt) ? 1 : 0;
        late += isLate ? 1 : 0;
        lastStartMs = std::max(lastStartMs, line.atMs);
    }
    const auto records = deployment.records();
    const auto record = *std::find_if(records.begin(), records.end(),
                                      [&](const auto &found) { return found.name == leaving; });
    std::cout << before << " runs on " << leaving << " before, last work began "
              << lastStartMs - monotonicMs(leavingAt) << " ms after it said that it leaves, "
              << record.cancelled << " cancelled, last work ended "
              << record.lastEndMs - monotonicMs(leavingAt) << " ms after; " << viewCalls.size()
              << " views, " << orderCalls.size() << " orders, " << reportCalls.size()
              << " reports\n";
    EXPECT_GT(before, 20) << "the target had no work";
    EXPECT_EQ(late, 0);
    EXPECT_GT(others, 100);
    EXPECT_EQ(record.cancelled, 0U);
    EXPECT_GT(record.lastEndMs, lastStartMs + 1000) << "no report was on the target";
    EXPECT_EQ(countFailed(viewCalls), 0U) << summary(viewCalls);
    EXPECT_EQ(countFailed(orderCalls), 0U) << summary(orderCalls);
    EXPECT_EQ(countFailed(reportCalls), 0U) << summary(reportCalls);
}

} // namespace
} // namespace chestnutvane
