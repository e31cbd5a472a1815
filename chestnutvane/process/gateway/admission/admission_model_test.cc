// Bursts of patient requests, of urgent ones and of one team, on targets that all of them share.

#include "chestnutvane/process/gateway/admission/admission_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <string>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t patient = 0;
constexpr std::size_t medium = 1;
constexpr std::size_t urgent = 2;
constexpr std::size_t largeTeams = 3;
constexpr std::size_t burstTeam = 4;
// Shares of two policies that differ by less are equal within the variance of the seeds.
constexpr double noise = 0.02;

// A region with 96 slots of which about three quarters are in use outside the bursts.
ModelSetup makeSetup()
{
    ModelSetup setup;
    setup.kinds = {{.importance = 2,
                    .run = milliseconds(1200),
                    .aim = milliseconds(3000),
                    .limit = milliseconds(5000),
                    .perSecond = 45,
                    .burst = {2.4, seconds(5), seconds(11)}},
                   {.importance = 1,
                    .run = milliseconds(700),
                    .aim = milliseconds(1000),
                    .limit = milliseconds(3000),
                    .perSecond = 14},
                   {.importance = 0,
                    .run = milliseconds(300),
                    .aim = milliseconds(500),
                    .limit = milliseconds(2000),
                    .perSecond = 16,
                    .burst = {1.7, seconds(14), seconds(17)}}};
    constexpr int teams = 20;
    constexpr double skew = 1.2; // Zipf's exponent
    for (int rank = 1; rank <= teams; ++rank)
        setup.teamWeights.push_back(std::pow(rank, -skew));
    setup.burstTeam = burstTeam;
    setup.teamBurst = {6, seconds(8), seconds(14)};
    return setup;
}

struct Summary
{
    std::vector<ModelCounts> kinds{3}; // of the whole day
    std::vector<ModelCounts> inBurst{3}; // in the bursts of kinds
    // In the burst of the team.
    ModelCounts ofBurstTeam;
    ModelCounts ofLargeTeams;
    ModelCounts ofSmallTeams;
    ModelCounts ofAllTeams;
};

void add(ModelCounts &sum, const ModelCounts &counts)
{
    sum.asked += counts.asked;
    sum.inAim += counts.inAim;
    sum.late += counts.late;
}

// Plays and prints "share in aim / share answered".
Summary play(const ModelSetup &setup, ModelPolicy policy)
{
    Summary sum;
    constexpr unsigned seeds = 5;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const ModelResult result = AdmissionModel(setup, policy, seed).run();
        for (std::size_t kind = 0; kind < sum.kinds.size(); ++kind) {
            add(sum.kinds[kind], result.kinds[kind]);
            add(sum.inBurst[kind], result.kindsInBurst[kind]);
        }
        for (std::size_t team = 0; team < result.teamsInBurst.size(); ++team) {
            add(team == burstTeam           ? sum.ofBurstTeam
                        : team < largeTeams ? sum.ofLargeTeams
                                            : sum.ofSmallTeams,
                result.teamsInBurst[team]);
            add(sum.ofAllTeams, result.teamsInBurst[team]);
        }
    }
    std::printf("%-16s", std::string(enumName(modelPolicyNames, policy)).c_str());
    const auto print = [](const char *name, const ModelCounts &counts) {
        std::printf("  %s %.2f/%.2f", name, counts.inAimShare(), counts.servedShare());
    };
    print("patient", sum.inBurst[patient]);
    print("medium", sum.inBurst[medium]);
    print("urgent", sum.inBurst[urgent]);
    print("burst team", sum.ofBurstTeam);
    print("large teams", sum.ofLargeTeams);
    print("small teams", sum.ofSmallTeams);
    std::printf("\n");
    return sum;
}

class AdmissionModelTest : public testing::Test
{
protected:
    static const Summary &resultOf(ModelPolicy policy)
    {
        static std::map<ModelPolicy, Summary> results;
        if (!results.contains(policy))
            results.emplace(policy, play(makeSetup(), policy));
        return results.at(policy);
    }

    const Summary &fair_ = resultOf(ModelPolicy::FairShares);
    const Summary &byImportance_ = resultOf(ModelPolicy::ImportanceFirst);
};

TEST_F(AdmissionModelTest, ABurstOfPatientRequestsHoldsUpUrgentOnesLess)
{
    EXPECT_GT(fair_.inBurst[urgent].inAimShare(), byImportance_.inBurst[urgent].inAimShare());
    EXPECT_GT(fair_.inBurst[medium].inAimShare(), byImportance_.inBurst[medium].inAimShare());
    EXPECT_GT(fair_.inBurst[patient].inAimShare(),
              byImportance_.inBurst[patient].inAimShare() - noise);
}

TEST_F(AdmissionModelTest, MoreRequestsMeetTheirAimThanWithAnyOtherOrder)
{
    const auto inAim = [](const Summary &sum) {
        ModelCounts all;
        for (const ModelCounts &counts : sum.kinds)
            add(all, counts);
        return all.inAimShare();
    };
    for (const auto policy :
         {ModelPolicy::FirstCome, ModelPolicy::LeastLoaded, ModelPolicy::ImportanceFirst})
        EXPECT_GT(inAim(fair_), inAim(resultOf(policy)));
}

TEST_F(AdmissionModelTest, TheTeamOfABurstPaysForItselfAndTheOthersKeepMore)
{
    EXPECT_LT(fair_.ofBurstTeam.inAimShare(), byImportance_.ofBurstTeam.inAimShare());
    EXPECT_GT(fair_.ofSmallTeams.inAimShare(), byImportance_.ofSmallTeams.inAimShare() + noise);
    EXPECT_GT(fair_.ofLargeTeams.inAimShare(), byImportance_.ofLargeTeams.inAimShare() + noise);
}

// Others must not lose more than a tenth of their answers to the burst of a team.
TEST_F(AdmissionModelTest, SmallTeamsKeepTheirs)
{
    ModelSetup calm = makeSetup();
    calm.teamBurst.factor = 1;
    const Summary without = play(calm, ModelPolicy::FairShares);
    EXPECT_GT(fair_.ofSmallTeams.servedShare(), 0.9 * without.ofSmallTeams.servedShare());
}

TEST_F(AdmissionModelTest, NoTeamIsServedLessThanAQuarterAsOftenAsAll)
{
    EXPECT_GT(fair_.ofBurstTeam.servedShare(), 0.25 * fair_.ofAllTeams.servedShare());
    EXPECT_GT(fair_.ofBurstTeam.inAimShare(), 0.25 * fair_.ofAllTeams.inAimShare());
}

// The users' pages tolerate a difference of 0.05.
TEST_F(AdmissionModelTest, NoKindIsServedLessOftenThanALessImportantOne)
{
    for (const auto &kinds : {fair_.kinds, fair_.inBurst}) {
        EXPECT_GT(kinds[urgent].servedShare(), kinds[medium].servedShare() - 0.05);
        EXPECT_GT(kinds[medium].servedShare(), kinds[patient].servedShare() - 0.05);
    }
}

// With one instance the order of its queue suffices, and nothing should be queued at targets.
TEST_F(AdmissionModelTest, OneInstanceServesUrgentRequestsAsWithoutShares)
{
    ModelSetup single = makeSetup();
    single.instances = 1;
    const Summary fair = play(single, ModelPolicy::FairShares);
    const Summary byImportance = play(single, ModelPolicy::ImportanceFirst);
    EXPECT_GT(fair.inBurst[urgent].inAimShare(), byImportance.inBurst[urgent].inAimShare() - noise);
    EXPECT_GT(fair.inBurst[medium].inAimShare(), byImportance.inBurst[medium].inAimShare() - noise);
}

} // namespace
} // namespace chestnutvane
