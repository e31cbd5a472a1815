#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using std::this_thread::sleep_for;

// After this time without a region no caller uses it: a silent instance is left out of look-up
// answers after 1.5 s, and an answer may be used for its time-to-live of 2 s.
constexpr Milliseconds regionLossTime{3500};

constexpr const char *northProcesses[] = {"i1", "i2", "t-1", "t-2", "t-3"};

bool isNorth(const TargetLine &line)
{
    return line.target < "t-4";
}

std::ptrdiff_t countNorthRunsSince(const std::vector<TargetLine> &lines, TimePoint time)
{
    return std::count_if(lines.begin(), lines.end(), [&](const TargetLine &line) {
        return isNorth(line) && line.atMs >= monotonicMs(time);
    });
}

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

// Guards against callers of a failed region that the other region does not serve, against a second
// run of their at-most-once requests there, and against a region that stays unused when it is back.
TEST(RegionFaultTest, OtherRegionServesAfterAWholeRegionFails)
{
    FaultWorld world(80);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    // At most 6 requests are in flight; south has 9 slots.
    Load views(deployment, {.maxSends = 4, .threads = 3, .prefix = "v"});
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=20",
                 .atMostOnce = true,
                 .maxSends = 4,
                 .threads = 3,
                 .prefix = "o"});
    sleep_for(Milliseconds(1500));
    const auto killedAt = Clock::now();
    for (const auto *name : northProcesses)
        ASSERT_TRUE(deployment.sendSignal(name, SIGKILL)) << name;
    sleep_for(regionLossTime + Milliseconds(2500));
    for (const auto *name : northProcesses) {
        ASSERT_EQ(deployment.waitForExit(name, Milliseconds(1000)), 128 + SIGKILL) << name;
        ASSERT_TRUE(deployment.start(name)) << name;
    }
    const auto startedAt = Clock::now();
    const bool serving = deployment.waitUntilServing(Milliseconds(20'000));
    const auto servingAt = Clock::now();
    sleep_for(Milliseconds(2000)); // the time-to-live of look-up answers
    const auto viewCalls = views.stop();
    const auto orderCalls = orders.stop();

    const auto viewsAfter = startedSince(viewCalls, killedAt + regionLossTime);
    const auto ordersAfter = startedSince(orderCalls, killedAt + regionLossTime);
    const auto runs = world.runsByTag();
    const auto wrongNotRun =
            std::count_if(orderCalls.begin(), orderCalls.end(), [&](const CallRecord &call) {
                return call.outcome == "not-run" && runs.contains(call.tag);
            });
    const auto lines = world.targetLines();
    const auto northRuns = countNorthRunsSince(lines, servingAt);
    std::cout << viewsAfter.size() << " views 3.5 s after the loss, " << countFailed(viewsAfter)
              << " not served; " << ordersAfter.size() << " orders, " << countFailed(ordersAfter)
              << " not served; " << world.countRepeatedRuns("o-") << " orders ran twice; serving "
              << monotonicMs(servingAt) - monotonicMs(startedAt) << " ms after the start, "
              << northRuns << " runs in north since\nall views:\n"
              << summary(viewCalls) << "all orders:\n"
              << summary(orderCalls);
    EXPECT_GT(countNorthRunsSince(lines, TimePoint()), northRuns) << "north had no work";
    EXPECT_GT(viewsAfter.size(), 100U) << "the load did not run";
    EXPECT_EQ(countFailed(viewsAfter), 0U);
    EXPECT_EQ(world.countRepeatedRuns("o-"), 0);
    EXPECT_EQ(wrongNotRun, 0);
    EXPECT_TRUE(serving) << deployment.describeWait();
    EXPECT_GT(northRuns, 0) << "north does not serve again";
}

// Guards against a planned drain of a whole region that cuts or refuses requests, or that leaves
// work on its targets. South carries the load alone; half of the callers belong to north.
TEST(RegionFaultTest, DrainOfARegionFailsNoRequest)
{
    constexpr Milliseconds drainLimit{3000}; // from section 2 of the design page
    FaultWorld world(81);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load views(deployment, {.query = "work-ms=30", .threads = 3, .prefix = "v"});
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=30",
                 .atMostOnce = true,
                 .threads = 2,
                 .prefix = "o"});
    // Work that is on its targets when the drain begins, longer than the drain limit.
    Load reports(deployment,
                 {.path = "/reports",
                  .query = "work-ms=4000",
                  .sendTimeout = Milliseconds(21'000),
                  .threads = 4,
                  .prefix = "r"});
    sleep_for(Milliseconds(1500));
    const auto drainedAt = Clock::now();
    const auto answer =
            deployment.apply(deployment.rulesText() + "drain region=north # asked by Ada\n", "i2");
    ASSERT_EQ(answer.outcome, "accepted") << answer.reason;
    std::this_thread::sleep_until(drainedAt + drainLimit + Milliseconds(4000));
    const auto viewCalls = views.stop();
    const auto orderCalls = orders.stop();
    const auto reportCalls = reports.stop();

    const auto lines = world.targetLines();
    const auto northRuns = countNorthRunsSince(lines, TimePoint());
    const auto late = countNorthRunsSince(lines, drainedAt + drainLimit);
    std::int64_t lastEndMs = 0;
    for (const auto &record : deployment.records())
        lastEndMs = std::max(lastEndMs, record.name < "t-4" ? record.lastEndMs : 0);
    std::int64_t lastStartMs = 0;
    for (const auto &line : lines)
        lastStartMs = std::max(lastStartMs, isNorth(line) ? line.atMs : 0);
    std::cout << viewCalls.size() << " views, " << orderCalls.size() << " orders, "
              << reportCalls.size() << " reports; last work in north began "
              << lastStartMs - monotonicMs(drainedAt) << " ms after the drain, drain time "
              << lastEndMs - monotonicMs(drainedAt) << " ms\n";
    EXPECT_EQ(countFailed(viewCalls), 0U) << summary(viewCalls);
    EXPECT_EQ(countFailed(orderCalls), 0U) << summary(orderCalls);
    EXPECT_EQ(countFailed(reportCalls), 0U) << summary(reportCalls);
    EXPECT_GT(viewCalls.size() + orderCalls.size(), 500U) << "the load did not run";
    EXPECT_GT(northRuns, 50) << "north had no work before the drain";
    EXPECT_GT(lastEndMs, monotonicMs(drainedAt + Milliseconds(1000)))
            << "no report was on its target when the drain began";
    EXPECT_EQ(late, 0);
}

// Guards against a region whose instances all wake after their leases have lapsed and then send
// what they held: at-most-once requests that their callers have sent again, and requests under
// grants that have ended.
TEST(RegionFaultTest, PausedRegionRunsNothingTwice)
{
    FaultWorld world(85);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    Load views(deployment,
               {.query = "work-ms=40",
                .maxSends = 4,
                .sendTimeout = Milliseconds(500),
                .threads = 10,
                .prefix = "v"});
    sleep_for(Milliseconds(1500));
    // Work that is on targets of north from before the pause until after the wake-up, when the role
    // of the broker is taken anew.
    std::atomic<int> reportsRan{0};
    std::vector<std::thread> reports;
    reports.reserve(4);
    for (int i = 0; i < 4; ++i)
        reports.emplace_back([&, i] {
            const auto answer = sendTo(
                    deployment, deployment.callerAddress(i % 2 == 0 ? "i1" : "i2"),
                    "/reports?work-ms=11000&tag=r-" + std::to_string(i), {}, Milliseconds(21'000));
            reportsRan += isOk(answer) && value(answer).status == 200 ? 1 : 0;
        });
    sleep_for(Milliseconds(200)); // before the orders, which would take the slots first
    // A third of the sends time out while the target works, so that keys come again in progress.
    Load orders(deployment,
                {.path = "/orders",
                 .query = "work-ms=40",
                 .atMostOnce = true,
                 .maxSends = 4,
                 .sendTimeout = Milliseconds(45),
                 .threads = 10,
                 .prefix = "o"});
    sleep_for(Milliseconds(500));
    for (const auto *id : {"i1", "i2"})
        EXPECT_TRUE(deployment.sendSignal(id, SIGSTOP)) << id;
    sleep_for(Milliseconds(8000)); // leases last 5 s
    const auto wokenAt = Clock::now();
    for (const auto *id : {"i1", "i2"})
        EXPECT_TRUE(deployment.sendSignal(id, SIGCONT)) << id;
    sleep_for(Milliseconds(3500));
    for (auto &report : reports)
        report.join();
    const auto viewCalls = views.stop();
    const auto orderCalls = orders.stop();

    const auto runs = world.runsByTag();
    int wrongNotRun = 0;
    int wrongRan = 0;
    int sentAgain = 0;
    for (const auto &call : orderCalls) {
        const bool hasRun = runs.contains(call.tag);
        wrongNotRun += call.outcome == "not-run" && hasRun ? 1 : 0;
        wrongRan += call.outcome == "ran" && !hasRun ? 1 : 0;
        sentAgain += call.sends > 1 ? 1 : 0;
    }
    std::uint64_t above = 0;
    int mostRunning = 0;
    for (const auto &record : deployment.records()) {
        above += record.aboveSlots;
        mostRunning = std::max(mostRunning, record.mostRunning);
    }
    const auto lines = world.targetLines();
    const auto northRuns = countNorthRunsSince(lines, wokenAt);
    const auto northReports = std::count_if(lines.begin(), lines.end(), [](const TargetLine &line) {
        return isNorth(line) && line.tag.starts_with("r-");
    });
    std::cout << orderCalls.size() << " orders, " << sentAgain << " sent again, "
              << world.countRepeatedRuns("o-") << " ran twice; " << above << " above slots; "
              << northRuns << " runs in north after the wake-up, " << reportsRan
              << " of 4 reports ran, " << northReports << " began in north\nviews:\n"
              << summary(viewCalls) << "orders:\n"
              << summary(orderCalls);
    EXPECT_EQ(world.countRepeatedRuns("o-"), 0);
    EXPECT_EQ(wrongNotRun, 0);
    EXPECT_EQ(wrongRan, 0);
    EXPECT_EQ(above, 0U);
    EXPECT_EQ(mostRunning, 3) << "the load never filled a target";
    EXPECT_GT(northReports, 0) << "no work outlasted the pause";
    EXPECT_GT(sentAgain, 10) << "the pause met no order";
    EXPECT_GT(northRuns, 0) << "north does not serve again";
    EXPECT_GT(runs.size(), 500U) << "the load did not run";
}

} // namespace
} // namespace chestnutvane
