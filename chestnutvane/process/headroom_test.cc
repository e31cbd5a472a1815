#include "chestnutvane/process/headroom.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <vector>

namespace chestnutvane {
namespace {

const TimePoint start{std::chrono::hours{1}};

// Guards against a missing report that is taken for an idle unit.
TEST(HeadroomTest, HeadroomOfReportDecreasesToZero)
{
    HeadroomTable table;
    EXPECT_EQ(table.headroom("s", "r", start), 0);
    table.report("s", "r", {1, 24, 48, 0}, start);
    EXPECT_DOUBLE_EQ(table.headroom("s", "r", start), 0.5);
    EXPECT_DOUBLE_EQ(table.headroom("s", "r", start + Milliseconds{2500}), 0.25);
    EXPECT_EQ(table.headroom("s", "r", start + Milliseconds{5000}), 0);
    table.report("s", "r", {0, 48, 48, 0}, start + Milliseconds{100}); // of an older epoch
    EXPECT_DOUBLE_EQ(table.headroom("s", "r", start), 0.5);
}

// Guards against a report of free slots that takes precedence over the instance's own refusals.
TEST(HeadroomTest, OwnRefusalsOverrideReport)
{
    HeadroomTable table;
    table.report("s", "r", {1, 48, 48, 0}, start);
    for (int i = 0; i < 9; ++i)
        table.recordOwnOutcome("s", "r", OwnOutcome::Served, start);
    EXPECT_GT(table.headroom("s", "r", start), 0);
    table.recordOwnOutcome("s", "r", OwnOutcome::Refused, start);
    EXPECT_EQ(table.headroom("s", "r", start), 0);
    EXPECT_DOUBLE_EQ(table.overflowShare("s", "r", start), 0.1);
}

// Guards against headroom above the free slots or the cap, and against a unit that has headroom and
// steers callers away at the same time.
RC_GTEST_PROP(HeadroomTest, NeverOffersMoreThanIsFreeUnderTheCap, ())
{
    const double cap = *rc::gen::inRange(0, 101) / 100.0;
    HeadroomTable table;
    table.setRegionCaps({{"r", cap}, {"other", 0.0}});
    const HeadroomReport report{1, *rc::gen::inRange(0U, 60U), *rc::gen::inRange(0U, 50U),
                                *rc::gen::inRange(0U, 3U)};
    table.report("s", "r", report, start);
    const TimePoint now = start + Milliseconds{*rc::gen::inRange(0, 6000)};
    const double headroom = table.headroom("s", "r", now);
    const double overflow = table.overflowShare("s", "r", now);
    const double used = report.totalSlots * 1.0 - std::min(report.freeSlots, report.totalSlots);
    RC_ASSERT(headroom >= 0 && overflow >= 0 && overflow <= 1);
    RC_ASSERT(used + headroom * report.totalSlots
              <= std::max(used, report.totalSlots * cap) + 1e-9);
    RC_ASSERT(headroom < 1e-9 || overflow < 1e-9);
}

// Guards against a decaying sum that differs from the sum of the separately decayed amounts.
RC_GTEST_PROP(HeadroomTest, LinkUseAgreesWithSumOverAllTransfers, ())
{
    LinkUseTable table;
    std::vector<std::pair<TimePoint, double>> transfers;
    TimePoint now = start;
    for (const int gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
        now += Milliseconds{gap};
        transfers.emplace_back(now, gap * 1000.0);
        table.add("a", "b", gap * 1000.0, now);
    }
    double expected = 0;
    for (const auto &[at, bytes] : transfers)
        expected += bytes * std::exp(-std::chrono::duration<double>(now - at).count() / 2) / 2;
    expected *= 8e-6;
    RC_ASSERT(std::abs(table.mbps("a", "b", now) - expected) <= 1e-9 * (1 + expected));
    RC_ASSERT(table.mbps("b", "a", now) == 0);
    RC_ASSERT(table.fitsUnderCap("a", "b", 1, (expected + 1) * 1.25 + 1e-6, 0.8, now));
    RC_ASSERT(!table.fitsUnderCap("a", "b", 1, expected + 0.9, 1, now));
}

// Guards against a link that is overloaded because each instance counts only its own bytes: a cap
// of 80 Mbit/s and four instances that send 30 Mbit/s each.
TEST(LinkUseTableTest, SumsRatesOfAllInstances)
{
    LinkUseTable table;
    for (int i = 0; i < 100; ++i)
        table.add("a", "b", 30e6 / 8 / 10, start + Milliseconds{100 * i}); // 30 Mbit/s for 10 s
    const auto now = start + Milliseconds{10'000};
    EXPECT_TRUE(table.fitsUnderCap("a", "b", 1, 100, 0.8, now));
    for (const char *peer : {"p1", "p2", "p3"})
        table.report(peer, {{"a", "b", 30'000}}, now);
    table.updateRemoteRates(now);
    EXPECT_NEAR(table.mbps("a", "b", now), 120, 5);
    EXPECT_FALSE(table.fitsUnderCap("a", "b", 1, 100, 0.8, now));
    table.report("p1", {}, now - Milliseconds{1}); // delayed report, ignored
    table.report("p2", {}, now);
    table.updateRemoteRates(now);
    EXPECT_NEAR(table.mbps("a", "b", now), 90, 5);
    table.updateRemoteRates(now + LinkUseTable::reportLifetime);
    EXPECT_LT(table.mbps("a", "b", now + LinkUseTable::reportLifetime), 30);
    EXPECT_EQ(table.ownRates(now).size(), 1U);
}

} // namespace
} // namespace chestnutvane
