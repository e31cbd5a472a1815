#include "chestnutvane/process/gateway/fleet_link.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against reports that fill the links of a large fleet: the store could not be reached over
// them, and a configuration was in force too late on 14 requests.
TEST(ReportPaceTest, ReportsOfAnInstanceAreBoundedAtAnySize)
{
    for (const std::size_t others : {1U, 2U, 9U, 26U, 80U, 200U}) {
        const ReportPace pace = reportPace(others, others * 2);
        const double soon = 1000.0 / static_cast<double>(pace.gather.count());
        const double perSecond = static_cast<double>(others)
                * std::max(1000.0 / static_cast<double>(pace.inRegion.count()), soon);
        EXPECT_LE(perSecond, std::max(reportsPerSecondInRegion * 1.2, others * 5.0)) << others;
    }
}

// Guards against news that comes too late in a small region, and instances that look dead.
TEST(ReportPaceTest, SmallRegionsHearAtOnceAndAllHearBeforeTheAliveLimit)
{
    EXPECT_LE(reportPace(2, 6).gather, Milliseconds(10));
    for (const std::size_t others : {1U, 26U, 200U, 2000U}) {
        EXPECT_LT(reportPace(others, others).inRegion * 2, FleetView::aliveLimit);
        EXPECT_LT(reportPace(others, others).elsewhere * 2, FleetView::aliveLimit);
    }
}

} // namespace
} // namespace chestnutvane
