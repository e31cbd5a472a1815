#include "chestnutvane/process/gateway/fleet_link.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against reports that saturate the links of a large fleet: the store could not be reached,
// and a new configuration was in force too late for 14 requests.
TEST(ReportIntervalsTest, ReportsOfAnInstanceAreBoundedAtAnySize)
{
    for (const std::size_t others : {1U, 2U, 9U, 26U, 80U, 200U}) {
        const ReportIntervals intervals = reportIntervals(others, others * 2);
        const double coalescedPerSecond =
                1000.0 / static_cast<double>(intervals.coalescing.count());
        const double reportsPerSecond = static_cast<double>(others)
                * std::max(1000.0 / static_cast<double>(intervals.sameRegion.count()),
                           coalescedPerSecond);
        EXPECT_LE(reportsPerSecond, std::max(reportsPerSecondSameRegion * 1.2, others * 5.0))
                << others;
    }
}

// Guards against changes that are reported too late in a small region, and against live instances
// that are considered dead.
TEST(ReportIntervalsTest, SmallRegionsReportAtOnceAndAllReportBeforeTheLivenessTimeout)
{
    EXPECT_LE(reportIntervals(2, 6).coalescing, Milliseconds(10));
    for (const std::size_t others : {1U, 26U, 200U, 2000U}) {
        EXPECT_LT(reportIntervals(others, others).sameRegion * 2, FleetView::livenessTimeout);
        EXPECT_LT(reportIntervals(others, others).otherRegions * 2, FleetView::livenessTimeout);
    }
}

} // namespace
} // namespace chestnutvane
