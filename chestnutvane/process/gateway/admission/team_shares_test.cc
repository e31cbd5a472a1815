#include "chestnutvane/process/gateway/admission/team_shares.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint begin = TimePoint{} + std::chrono::hours(1);

// Counts requests of 100 ms slot time, `perSecond` asked for and `sentPerSecond` sent, every 100 ms
// of the time given.
void play(TeamShares &shares, std::uint64_t team, int perSecond, int sentPerSecond, TimePoint from,
          Duration length)
{
    constexpr int stepsPerSecond = 10;
    for (TimePoint now = from; now < from + length; now += milliseconds(100)) {
        shares.onAsked(team, milliseconds(100) * perSecond / stepsPerSecond, now);
        shares.onSent(team, milliseconds(100) * sentPerSecond / stepsPerSecond, now);
    }
}

TEST(TeamSharesTest, ATeamBeyondItsUsualHasTheHighestLevel)
{
    TeamShares shares(begin);
    play(shares, 1, 10, 10, begin, seconds(20)); // large
    play(shares, 2, 1, 1, begin, seconds(20)); // small
    play(shares, 3, 10, 10, begin, seconds(20));
    const TimePoint burst = begin + seconds(20);
    play(shares, 1, 10, 10, burst, seconds(3));
    play(shares, 2, 1, 1, burst, seconds(3));
    play(shares, 3, 60, 40, burst, seconds(3)); // six times its usual
    const TimePoint now = burst + seconds(3);
    EXPECT_GT(shares.level(3, now), 1.5 * shares.level(1, now));
    EXPECT_GT(shares.level(3, now), 1.5 * shares.level(2, now));
}

TEST(TeamSharesTest, TeamsOfDifferentSizesThatKeepToTheirUsualHaveSimilarLevels)
{
    TeamShares shares(begin);
    play(shares, 1, 40, 20, begin, seconds(20));
    play(shares, 2, 20, 10, begin, seconds(20));
    EXPECT_NEAR(shares.level(1, begin + seconds(20)), shares.level(2, begin + seconds(20)), 0.1);
}

// Guards against a team that is served less than a quarter as often as the others.
TEST(TeamSharesTest, AnEntitlementIsAtLeastAThirdOfWhatATeamAsks)
{
    TeamShares shares(begin);
    play(shares, 1, 10, 10, begin, seconds(20));
    play(shares, 2, 1, 1, begin, seconds(20));
    play(shares, 2, 100, 0, begin + seconds(20), seconds(10));
    const auto standing = shares.standing(2, begin + seconds(30));
    constexpr double askedSeconds = 100 * 0.1 * 5 * 0.86; // of the last useWindow
    EXPECT_GT(standing.entitled, askedSeconds / 4);
}

TEST(TeamSharesTest, AShortTimeAfterABurstItsTeamHasAnOrdinaryLevel)
{
    TeamShares shares(begin);
    for (const std::uint64_t team : {1, 2})
        play(shares, team, 10, 10, begin, seconds(30));
    play(shares, 1, 60, 60, begin + seconds(30), seconds(5));
    play(shares, 2, 10, 10, begin + seconds(30), seconds(5));
    EXPECT_GT(shares.level(1, begin + seconds(35)), 1.5 * shares.level(2, begin + seconds(35)));
    for (const std::uint64_t team : {1, 2})
        play(shares, team, 10, 10, begin + seconds(35), seconds(15));
    EXPECT_LT(shares.level(1, begin + seconds(50)), 1.25 * shares.level(2, begin + seconds(50)));
}

// A team that sends its excess through another instance has the same level at both.
TEST(TeamSharesTest, SharesHoldOverInstances)
{
    TeamShares here(begin);
    TeamShares there(begin);
    for (TeamShares *shares : {&here, &there}) {
        play(*shares, 1, 5, 5, begin, seconds(20));
        play(*shares, 2, 10, 10, begin, seconds(20));
    }
    const TimePoint burst = begin + seconds(20);
    play(there, 1, 60, 60, burst, seconds(4));
    play(there, 2, 10, 10, burst, seconds(4));
    play(here, 1, 5, 5, burst, seconds(4));
    play(here, 2, 10, 10, burst, seconds(4));
    const TimePoint now = burst + seconds(4);
    EXPECT_NEAR(here.level(1, now), here.level(2, now), 0.2);

    for (TeamShares *shares : {&here, &there}) {
        shares->update(now);
        shares->onShortage(now);
    }
    const auto fromThere = there.report(now);
    ASSERT_EQ(fromThere.size(), 1U);
    EXPECT_EQ(fromThere[0].team, 1U);
    EXPECT_TRUE(here.report(now).empty());
    here.applyReport(7, fromThere, now);
    EXPECT_GT(here.level(1, now), 1.4 * here.level(2, now));
    // The reported team is reported back, although it is not above its share here.
    const auto fromHere = here.report(now);
    ASSERT_EQ(fromHere.size(), 1U);
    there.applyReport(8, fromHere, now);
    EXPECT_NEAR(here.level(1, now), there.level(1, now), 0.05);
}

TEST(TeamSharesTest, AReportAgesAndIsReplaced)
{
    TeamShares shares(begin);
    play(shares, 1, 10, 10, begin, seconds(10));
    const TimePoint now = begin + seconds(10);
    const double own = shares.level(1, now);
    shares.applyReport(7, std::vector<TeamUse>{{1, 90000, 1000}}, now);
    EXPECT_GT(shares.level(1, now), 2 * own);
    shares.applyReport(7, std::vector<TeamUse>{}, now);
    EXPECT_DOUBLE_EQ(shares.level(1, now), own);
    shares.applyReport(7, std::vector<TeamUse>{{1, 90000, 1000}}, now);
    const TimePoint later = now + TeamShares::reportTtl + milliseconds(1);
    shares.update(later);
    EXPECT_LE(shares.level(1, later), own);
}

TEST(TeamSharesTest, WithoutAShortageNothingIsReported)
{
    TeamShares shares(begin);
    play(shares, 1, 1, 1, begin, seconds(20));
    play(shares, 2, 1, 1, begin, seconds(20));
    play(shares, 2, 60, 60, begin + seconds(20), seconds(2));
    shares.update(begin + seconds(22));
    EXPECT_TRUE(shares.report(begin + seconds(22)).empty());
    shares.onShortage(begin + seconds(22));
    EXPECT_EQ(shares.report(begin + seconds(22)).size(), 1U);
    EXPECT_TRUE(shares.report(begin + seconds(24)).empty());
}

TEST(TeamSharesTest, ReportsAndFiguresAreBounded)
{
    TeamShares shares(begin);
    for (std::uint64_t team = 1; team <= 3 * TeamShares::maxTeams; ++team) {
        shares.onAsked(team, milliseconds(100), begin);
        shares.onSent(team, team % 50 == 0 ? seconds(2) : milliseconds(1), begin);
    }
    shares.onShortage(begin);
    EXPECT_LE(shares.teams(), TeamShares::maxTeams + 1);
    EXPECT_EQ(shares.report(begin).size(), TeamShares::maxReported);
    shares.update(begin + std::chrono::hours(1));
    EXPECT_EQ(shares.teams(), 0U);
}

} // namespace
} // namespace chestnutvane
