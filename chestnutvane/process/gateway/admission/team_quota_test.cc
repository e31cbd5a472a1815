#include "chestnutvane/process/gateway/admission/team_quota.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chestnutvane/process/gateway/admission/team_quota_model.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t team = 7;
const TimePoint start = TimePoint{} + 1h;

TeamQuotas quotasWith(QuotaLimit limit, int instances = 1)
{
    TeamQuotas quotas(1);
    quotas.setInstances(instances, start);
    quotas.setLimits({{team, limit}}, start);
    return quotas;
}

int admittedAt(TeamQuotas &quotas, int requests, TimePoint now)
{
    int admitted = 0;
    for (int i = 0; i < requests; ++i)
        admitted += quotas.admit(team, now).isAdmitted ? 1 : 0;
    return admitted;
}

// Guards against a limit where none is configured.
TEST(TeamQuotaTest, ATeamWithoutLimitIsNotLimited)
{
    TeamQuotas quotas = quotasWith({0, 0});
    EXPECT_EQ(admittedAt(quotas, 1000, start), 1000);
    EXPECT_EQ(quotas.admit(team, start).reason, QuotaReason::NoLimit);
    EXPECT_TRUE(quotas.usageToReport(start).empty());
}

// Guards against a team that is refused for minutes after its limit fell, because instances that
// knew of it later had admitted more meanwhile.
TEST(TeamQuotaTest, ADebtIsPaidBackWithinSeconds)
{
    TeamQuotas quotas = quotasWith({5, 5}, 2);
    quotas.merge(1, std::vector<TeamUsage>{{team, 1, 10, 5}}, 2, 0ms, start);
    quotas.merge(1, std::vector<TeamUsage>{{team, 1, 100000, 5}}, 2, 0ms, start + 100ms);
    int admitted = 0;
    std::uint64_t peerAdmitted = 100000;
    for (TimePoint now = start + 200ms; now < start + 30s; now += 100ms) {
        quotas.merge(1, std::vector<TeamUsage>{{team, 1, peerAdmitted, 1}}, 2, 0ms, now);
        admitted += admittedAt(quotas, 1, now);
    }
    EXPECT_GT(admitted, 30);
}

// Guards against an instance that runs a burst after each restart.
TEST(TeamQuotaTest, ANewInstanceStartsWithoutBurst)
{
    TeamQuotas quotas = quotasWith({10, 1000});
    EXPECT_EQ(admittedAt(quotas, 100, start), 0);
    EXPECT_NEAR(admittedAt(quotas, 100, start + 1s), 10, 1);
}

// Guards against a single instance that refuses what its team's bucket holds, or runs more.
TEST(TeamQuotaTest, ASingleInstanceKeepsABucket)
{
    TeamQuotas quotas = quotasWith({10, 20});
    int admitted = 0;
    for (TimePoint now = start; now < start + 10s; now += 10ms)
        admitted += admittedAt(quotas, 1, now);
    EXPECT_NEAR(admitted, 100, 2);
    for (TimePoint now = start + 10s; now < start + 20s; now += 1s)
        (void)quotas.heard(now);
    EXPECT_GE(admittedAt(quotas, 100, start + 20s), 20);
}

// Guards against requests that are charged although no target ran them.
TEST(TeamQuotaTest, CreditThatIsGivenBackCanBeUsedAgain)
{
    TeamQuotas quotas = quotasWith({10, 0});
    const int admitted = admittedAt(quotas, 100, start + 1s);
    ASSERT_GT(admitted, 0);
    EXPECT_EQ(admittedAt(quotas, 100, start + 1s), 0);
    EXPECT_EQ(quotas.usageToReport(start + 1s)[0].admitted, static_cast<std::uint64_t>(admitted));
    for (int i = 0; i < admitted; ++i)
        quotas.giveBack(team, start + 1s);
    EXPECT_EQ(quotas.usageToReport(start + 1s)[0].admitted, 0U);
    EXPECT_EQ(admittedAt(quotas, 100, start + 1s), admitted);
}

// Guards against a report that counts twice, and against one whose loss leaves requests uncounted.
TEST(TeamQuotaTest, ReportsAreAbsolute)
{
    TeamQuotas once = quotasWith({100, 100}, 2);
    TeamQuotas often = quotasWith({100, 100}, 2);
    for (TeamQuotas *it : {&once, &often})
        it->merge(5, {}, 2, 0ms, start);
    const TeamUsage first{team, 0, 10, 0};
    const TeamUsage last{team, 0, 30, 0};
    for (int i = 0; i < 3; ++i)
        often.merge(5, {&first, 1}, 2, 0ms, start + 200ms);
    often.merge(5, {&last, 1}, 2, 0ms, start + 400ms);
    once.merge(5, {&last, 1}, 2, 0ms, start + 400ms);
    EXPECT_NEAR(once.admit(team, start + 400ms).level, often.admit(team, start + 400ms).level,
                1e-6);
}

// Guards against an instance that lives on a share which has lapsed while it stood still.
TEST(TeamQuotaTest, AnInstanceThatWakesHasOnlyItsEqualShare)
{
    TeamQuotas quotas = quotasWith({100, 1000}, 20);
    for (TimePoint now = start; now < start + 20s; now += 100ms) {
        for (std::uint64_t peer = 1; peer < 20; ++peer)
            quotas.merge(peer, {}, 20, 0ms, now);
    }
    EXPECT_GT(quotas.admit(team, start + 20s).level, 900);
    const QuotaVerdict verdict = quotas.admit(team, start + 25s);
    EXPECT_EQ(verdict.heard, 1);
    EXPECT_LE(admittedAt(quotas, 1000, start + 25s), (1000 + 5 + 10) / 20 + 1);
    EXPECT_EQ(quotas.admit(team, start + 25s).reason, QuotaReason::OverShare);
}

// Guards against memory that grows with what peers send.
TEST(TeamQuotaTest, ReportsAreBounded)
{
    TeamQuotas quotas(1);
    std::unordered_map<std::uint32_t, QuotaLimit> limits;
    for (std::uint32_t i = 0; i < 500; ++i)
        limits[i] = {10, 10};
    quotas.setLimits(limits, start);
    for (std::uint32_t i = 0; i < 500; ++i)
        (void)quotas.admit(i, start + 1s);
    EXPECT_EQ(quotas.usageToReport(start + 1s).size(), TeamQuotas::maxReportedTeams);
    EXPECT_TRUE(quotas.usageToReport(start + 1s + TeamQuotas::usageTime + 1ms).empty());
}

struct FaultCase
{
    const char *name;
    QuotaModelFault fault;
};

// The team sends 7.5 times its usual load from 10 s to 16 s.
QuotaModelSettings surgeOf(double perSecond, double burst, std::uint64_t seed)
{
    const double usual = perSecond / 1.6;
    return {.instances = 24,
            .limits = {{0, {perSecond, burst}}},
            .loads = {{0, usual}, {10, usual * 7.5}, {16, usual}},
            .seconds = 20,
            .seed = seed};
}

class TeamQuotaFaultTest : public testing::TestWithParam<FaultCase>
{ };

// Guards against one failure that lets more than the bound run in a window of 5 s.
TEST_P(TeamQuotaFaultTest, TheBoundHoldsInASurge)
{
    for (const double perSecond : {5.0, 60.0, 900.0}) {
        for (const std::uint64_t seed : {1, 2}) {
            QuotaModelSettings settings = surgeOf(perSecond, perSecond, seed);
            settings.faults = {GetParam().fault};
            const QuotaModelResult result = runQuotaModel(QuotaPolicy::FleetBucket, settings);
            EXPECT_GT(result.admitted, 0U);
            EXPECT_LE(result.worstWindow, 1) << perSecond << " a second, seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
        EachFault, TeamQuotaFaultTest,
        testing::Values(FaultCase{"none", {}},
                        FaultCase{"instances_cut_off_before", {QuotaFault::Cut, 5, 18, 0.35}},
                        FaultCase{"instances_cut_off_in_the_surge",
                                  {QuotaFault::Cut, 10, 18, 0.35}},
                        FaultCase{"fleet_split", {QuotaFault::Split, 10, 18, 0.35}},
                        FaultCase{"reports_pass_one_way", {QuotaFault::Mute, 10, 18, 0.35}},
                        FaultCase{"instances_frozen", {QuotaFault::Freeze, 11, 14.5, 0.2}},
                        FaultCase{"instances_restarted", {QuotaFault::Restart, 11, 12, 0.3}},
                        FaultCase{"a_dozen_added", {QuotaFault::Absent, 0, 12, 0.5}},
                        FaultCase{"power_lost", {QuotaFault::PowerLoss, 12, 13, 1}},
                        FaultCase{"half_of_the_reports_lost", {QuotaFault::Loss, 5, 20, 0.5}}),
        [](const auto &it) { return it.param.name; });

// Guards against instances that take what they have not heard of for unused, as most of a large
// fleet get no request of a small team for a while.
TEST(TeamQuotaModelTest, TheBoundHoldsForASmallTeamInALargeFleet)
{
    QuotaModelSettings settings = surgeOf(5, 5, 1);
    settings.instances = 100;
    settings.seconds = 12;
    EXPECT_LE(runQuotaModel(QuotaPolicy::FleetBucket, settings).worstWindow, 1);
}

// Guards against a check that no policy can fail.
TEST(TeamQuotaModelTest, ABucketThatForgetsThoseItCannotHearBreaksTheBound)
{
    QuotaModelSettings settings = surgeOf(60, 60, 1);
    settings.faults = {{QuotaFault::Cut, 5, 18, 0.35}};
    EXPECT_GT(runQuotaModel(QuotaPolicy::DrawAhead, settings).worstWindow, 1);
}

// Guards against a limit that is lowered in vain, with and without a surge.
TEST(TeamQuotaModelTest, ALimitFarBelowTheLoadHoldsOneWindowAfterItIsKnown)
{
    for (const double perSecond : {20.0, 900.0}) {
        QuotaModelSettings settings = surgeOf(perSecond, perSecond, 3);
        settings.limits.push_back({13, {perSecond / 20, perSecond / 20}});
        settings.learnSeconds = 1;
        EXPECT_LE(runQuotaModel(QuotaPolicy::FleetBucket, settings).worstWindow, 1);
        settings.loads = {{0, perSecond / 1.6}};
        EXPECT_LE(runQuotaModel(QuotaPolicy::FleetBucket, settings).worstWindow, 1);
    }
}

// Guards against refusals while other instances have some of the quota left.
TEST(TeamQuotaModelTest, WhatTheQuotaOwesIsAdmitted)
{
    for (const int instances : {8, 61}) {
        for (const double perSecond : {5.0, 60.0, 900.0}) {
            QuotaModelSettings settings{.instances = instances,
                                        .limits = {{0, {perSecond, perSecond}}},
                                        .loads = {{0, perSecond / 1.6}},
                                        .seconds = 30};
            EXPECT_GE(runQuotaModel(QuotaPolicy::FleetBucket, settings).servedShare, 0.99)
                    << instances << " instances, " << perSecond << " a second";
            settings.loads = {{0, perSecond}};
            EXPECT_GE(runQuotaModel(QuotaPolicy::FleetBucket, settings).servedShare, 0.99)
                    << instances << " instances at the limit of " << perSecond << " a second";
        }
    }
}

// Guards against a Retry-After that sends many callers back to a refusal.
TEST(TeamQuotaModelTest, CallersThatComeBackWhenToldAreAdmitted)
{
    QuotaModelSettings settings = surgeOf(60, 60, 1);
    settings.returns = true;
    settings.seconds = 90;
    const QuotaModelResult result = runQuotaModel(QuotaPolicy::FleetBucket, settings);
    EXPECT_GT(result.returned, 500U);
    EXPECT_GT(static_cast<double>(result.returnedAdmitted),
              0.9 * static_cast<double>(result.returned));
}

// Guards against loads and faults for which the bound does not hold.
RC_GTEST_PROP(TeamQuotaModelTest, TheBoundHoldsUnderAnyLoad, ())
{
    const double perSecond = *rc::gen::inRange(3, 300);
    const double usual = perSecond / 1.6;
    const double surgeAt = *rc::gen::inRange(6, 12);
    const auto kind = *rc::gen::element(QuotaFault::Cut, QuotaFault::Split, QuotaFault::Mute,
                                        QuotaFault::Freeze, QuotaFault::Restart, QuotaFault::Absent,
                                        QuotaFault::PowerLoss);
    const double faultAt = *rc::gen::inRange(4, 14);
    const QuotaModelSettings settings{
            .instances = *rc::gen::inRange(2, 24),
            .limits = {{0, {perSecond, perSecond * *rc::gen::inRange(0, 5) / 2}}},
            .loads = {{0, usual}, {surgeAt, usual * *rc::gen::inRange(1, 8)}, {surgeAt + 6, usual}},
            .faults = {{kind, faultAt, faultAt + *rc::gen::inRange(1, 8),
                        *rc::gen::inRange(1, 6) / 10.0}},
            .lossRate = *rc::gen::inRange(0, 20) / 100.0,
            .seconds = 16,
            .seed = *rc::gen::arbitrary<std::uint64_t>()};
    RC_ASSERT(runQuotaModel(QuotaPolicy::FleetBucket, settings).worstWindow <= 1);
}

} // namespace
} // namespace chestnutvane
