#include "chestnutvane/process/gateway/fleet/load_report.h"

#include <gtest/gtest.h>

#include <random>

#include "chestnutvane/process/gateway/limits/crash_watch.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const TimePoint start = TimePoint{} + 1h;

LoadReport report(std::string id, std::uint64_t sequence, std::map<std::uint64_t, int> inFlight)
{
    LoadReport result;
    result.sender = {std::move(id), 7, "tpe-a", "10.0.0.1:80", "10.0.0.1:7660", "10.0.0.1:9464"};
    result.state = PeerState::Serving;
    result.sequence = sequence;
    result.revision = 3;
    result.targetsFeed = {11, Milliseconds(120), 4};
    result.operatorFeed = {12, Milliseconds(340), 3};
    result.inFlight = std::move(inFlight);
    result.queued = {{5, 2}};
    result.warmObjects = {{1, 100}, {2, 200}};
    result.feedChange = std::string("\xff\x00\x01", 3);
    result.crashCounts = {{{1, 2}, "taipei", 77, 3, 1, Milliseconds(1500), 1}};
    result.quotaHeard = 3;
    result.quotaUsage = {{.team = 5, .episode = 2, .admitted = 40, .demandPerSecond = 2.5}};
    result.teamUses = {{4'000'000'000, 900, 300}, {7, 20, 30}};
    result.statedSpeeds = {{7, 250, Milliseconds(40)}, {0xffffffff, 100, Milliseconds(0)}};
    return result;
}

// Guards against a field that is encoded but not decoded, or the other way round.
TEST(LoadReportTest, ADecodedReportEqualsTheEncodedOne)
{
    const LoadReport sent = report("a", 9, {{1, 2}, {~0ULL, 1}});
    const auto received = decodeReport(encodeReport(sent));
    ASSERT_TRUE(isOk(received));
    EXPECT_EQ(value(received), sent);
}

// Guards against crash counts that are decoded as a change, or lost, in a report without a change.
TEST(LoadReportTest, AReportMayHoldCrashesWithoutAChange)
{
    LoadReport sent = report("a", 9, {});
    sent.feedChange.clear();
    const auto received = decodeReport(encodeReport(sent));
    ASSERT_TRUE(isOk(received));
    EXPECT_EQ(value(received), sent);
}

// Guards against an optional part that is lost, or read as another field, where the others are
// empty.
TEST(LoadReportTest, AReportMayHoldAnyOptionalPartAlone)
{
    const LoadReport full = report("a", 9, {});
    LoadReport bare = full;
    bare.feedChange.clear();
    bare.crashCounts.clear();
    bare.quotaUsage.clear();
    bare.quotaHeard = 0;
    bare.teamUses.clear();
    bare.statedSpeeds.clear();
    std::vector<LoadReport> reports(6, bare);
    reports[1].quotaUsage = full.quotaUsage;
    reports[2].teamUses = full.teamUses;
    reports[3].statedSpeeds = full.statedSpeeds;
    reports[5].quotaHeard = 4;
    reports[4].targetsFeed.era = 7;
    reports[4].operatorFeed.era = 8;
    for (const LoadReport &sent : reports) {
        const auto received = decodeReport(encodeReport(sent));
        ASSERT_TRUE(isOk(received));
        EXPECT_EQ(value(received), sent);
    }
}

// Guards against a report that grows with the fleet.
TEST(LoadReportTest, StatedSpeedsAreBounded)
{
    LoadReport sent = report("a", 9, {});
    const std::size_t bare = encodeReport(sent).size();
    sent.statedSpeeds.assign(maxReportedSpeeds, {0xffffffff, 250, Milliseconds(290)});
    constexpr std::size_t bytesPerSpeed = 11;
    EXPECT_LE(encodeReport(sent).size(), bare + maxReportedSpeeds * bytesPerSpeed);
    sent.statedSpeeds.resize(1000, {1, 250, Milliseconds(290)});
    const auto received = decodeReport(encodeReport(sent));
    ASSERT_TRUE(isOk(received));
    EXPECT_EQ(value(received).statedSpeeds.size(), maxReportedSpeeds);
}

// Guards against crash counts that make a report too large for one datagram of an Ethernet frame.
TEST(LoadReportTest, AReportWithAllItsCrashCountsFitsIntoADatagram)
{
    constexpr std::size_t payload = 1472; // UDP over IPv4 in an Ethernet frame of 1500 bytes
    constexpr std::uint64_t large = ~std::uint64_t{0};
    LoadReport sent = report("front-tpe-a-1", 1'000'000, {});
    sent.feedChange.clear();
    sent.crashCounts.assign(CrashWatch::maxReportedCounts,
                            {{large, large}, "kaohsiung", large, 70'000, 70'000, 10min, 70'000});
    EXPECT_LE(encodeReport(sent).size(), payload);
}

// Guards against the full identity in every report, which made reports most of the traffic between
// instances, and against a short report that lacks other fields as well.
TEST(LoadReportTest, AReportWithoutIdentityKeepsAllOtherFields)
{
    LoadReport sent = report("a", 9, {{1, 2}, {0xffffffff, 1}});
    const std::string full = encodeReport(sent);
    const std::string shorter = encodeReport(sent, IdentityPart::Incarnation);
    EXPECT_LE(shorter.size() + sent.sender.zone.size() + sent.sender.callerAddress.size()
                      + sent.sender.reportAddress.size(),
              full.size());
    const auto received = decodeReport(shorter);
    ASSERT_TRUE(isOk(received));
    sent.sender = PeerIdentity{{}, sent.sender.incarnation, {}, {}, {}, {}};
    EXPECT_EQ(value(received), sent);
}

// Guards against figures that are attributed to another instance.
TEST(FleetViewTest, AnIncarnationHasTheIdentityOfItsLastFullReport)
{
    FleetView view;
    EXPECT_FALSE(view.identityOf(7));
    view.merge(report("a", 1, {}), start);
    ASSERT_TRUE(view.identityOf(7));
    EXPECT_EQ(view.identityOf(7)->id, "a");
    EXPECT_FALSE(view.identityOf(8));
}

// Guards against an exception, or a report decoded from invalid bytes.
TEST(LoadReportTest, OtherBytesAreRefused)
{
    EXPECT_FALSE(isOk(decodeReport("")));
    EXPECT_FALSE(isOk(decodeReport("GET / HTTP/1.1")));
    std::string cut = encodeReport(report("a", 1, {{1, 1}}));
    cut.pop_back();
    EXPECT_FALSE(isOk(decodeReport(cut)));
}

// Guards against peers whose reports overwrite each other: each instance then placed requests as if
// it were the only one, and targets refused every seventh request as full.
TEST(FleetViewTest, ReportsAreStoredByInstanceId)
{
    FleetView view;
    EXPECT_TRUE(view.merge(report("a", 1, {{1, 2}}), start));
    EXPECT_TRUE(view.merge(report("b", 1, {{1, 3}}), start));
    EXPECT_EQ(view.peers().size(), 2U);
    EXPECT_DOUBLE_EQ(view.inFlightAt(1, start), 5);
    EXPECT_TRUE(view.isAlive("a", start));
    EXPECT_TRUE(view.isAlive("b", start));
}

// Guards against reordered datagrams: an older report must not replace a newer one.
TEST(FleetViewTest, AnOlderReportOfTheSameIncarnationChangesNothing)
{
    FleetView view;
    view.merge(report("a", 2, {{1, 4}}), start);
    EXPECT_FALSE(view.merge(report("a", 1, {{1, 9}}), start + 1ms));
    EXPECT_DOUBLE_EQ(view.inFlightAt(1, start), 4);
    LoadReport restarted = report("a", 1, {});
    restarted.sender.incarnation = 8;
    EXPECT_TRUE(view.merge(restarted, start + 2ms));
    EXPECT_DOUBLE_EQ(view.inFlightAt(1, start), 0);
}

// Guards against slots that stay occupied for ever by requests of a dead instance.
TEST(FleetViewTest, ReportsOfASilentInstanceExpire)
{
    FleetView view;
    view.merge(report("a", 1, {{1, 4}}), start);
    EXPECT_DOUBLE_EQ(view.inFlightAt(1, start + FleetView::reportTtl + 1ms), 0);
    EXPECT_FALSE(view.isAlive("a", start + FleetView::livenessTimeout + 1ms));
}

// Guards against sums that drift from the reports: after any sequence of reports and expirations
// they equal the sum over the latest reports.
TEST(FleetViewTest, SumsEqualTheLatestReports)
{
    FleetView view;
    std::mt19937 random(5);
    std::uniform_int_distribution<int> randomSmall(0, 3);
    std::uint64_t sequence = 0;
    TimePoint now = start;
    std::map<std::string, std::pair<TimePoint, std::map<std::uint64_t, int>>> latest;
    for (int step = 0; step < 2000; ++step) {
        now += std::chrono::milliseconds(randomSmall(random) * 150);
        const std::string id(1, static_cast<char>('a' + randomSmall(random)));
        const std::map<std::uint64_t, int> counts{{1, randomSmall(random)},
                                                  {2, randomSmall(random)}};
        view.merge(report(id, ++sequence, counts), now);
        latest[id] = {now, counts};
        if (step % 50 == 0)
            view.expire(now);
        for (const std::uint64_t target : {1U, 2U}) {
            double expected = 0;
            for (const auto &[name, entry] : latest) {
                if (now - entry.first <= FleetView::reportTtl)
                    expected += entry.second.at(target);
            }
            ASSERT_DOUBLE_EQ(view.inFlightAt(target, now), expected) << step;
        }
    }
}

// Guards against counting the queues of other regions towards the queue of this region.
TEST(FleetViewTest, QueuesCountForTheirRegionOnly)
{
    FleetView view;
    view.merge(report("a", 1, {}), start);
    const std::map<std::string, std::string> zones{{"tpe-a", "taipei"}, {"khh-a", "kaohsiung"}};
    EXPECT_DOUBLE_EQ(view.queuedFor(5, "taipei", zones, start), 2);
    EXPECT_DOUBLE_EQ(view.queuedFor(5, "kaohsiung", zones, start), 0);
}

} // namespace
} // namespace chestnutvane
