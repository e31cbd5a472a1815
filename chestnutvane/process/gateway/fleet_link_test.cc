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

// Guards against a busy instance that handles one report for each turn of its event loop, falls
// seconds behind and takes old content for new.
TEST(FleetLinkTest, ReportsThatWaitAreHandledWithinFewTurns)
{
    using Udp = net::ip::udp;
    constexpr std::size_t senders = 100;
    constexpr int turns = 5;
    net::io_context io;
    Metrics metrics;
    GatewaySettings settings;
    settings.zone = "near";
    settings.zoneRegions = {{"near", "here"}};
    Gateway gateway(io, settings, metrics);
    Udp::socket sender(io, Udp::endpoint(net::ip::address_v4::loopback(), 0));
    Udp::endpoint receiver;
    {
        const Udp::socket freePort(io, Udp::endpoint(net::ip::address_v4::loopback(), 0));
        receiver = freePort.local_endpoint();
    }
    PeerIdentity self;
    self.id = "self";
    self.zone = "near";
    self.reportAddress = "127.0.0.1:" + std::to_string(receiver.port());
    const auto link = FleetLink::create(io, self, settings, gateway);
    ASSERT_TRUE(isOk(link));
    for (std::size_t i = 1; i <= senders; ++i) {
        LoadReport report;
        report.sender = {"peer-" + std::to_string(i), i, "near", "a", "127.0.0.1:1", "c"};
        report.sequence = 1;
        sender.send_to(net::buffer(encodeReport(report)), receiver);
    }
    for (int turn = 0; turn < turns; ++turn)
        io.run_one();
    EXPECT_EQ(gateway.fleet().peers().size(), senders);
}

} // namespace
} // namespace chestnutvane
