// A discrete-time model of a fleet that keeps the quota of one team under a policy, over the same
// requests and faults for each policy. It models decisions and the delay and loss of reports, but
// no processing costs. Used by team_quota_table and team_quota_test.
//
// Example:
//
//   QuotaModelSettings settings{.instances = 61, .faults = {{QuotaFault::Cut, 10, 22, 0.35}}};
//   QuotaModelResult result = runQuotaModel(QuotaPolicy::FleetBucket, settings);
#pragma once

#include <cstdint>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/process/gateway/admission/team_quota.h"

namespace chestnutvane {

enum class QuotaPolicy {
    EqualShares, // a bucket an instance with its equal part of the limit
    DemandShares, // the same, in proportion to the reported demand
    LentShares, // requests lent by one instance in batches that lapse
    DrawAhead, // a bucket of the fleet, charged when reports arrive
    FleetBucket, // TeamQuotas
};

inline constexpr EnumName<QuotaPolicy> quotaPolicyNames[] = {
        {QuotaPolicy::EqualShares, "equal shares"},
        {QuotaPolicy::DemandShares, "shares by demand"},
        {QuotaPolicy::LentShares, "lent by an owner"},
        {QuotaPolicy::DrawAhead, "draw ahead"},
        {QuotaPolicy::FleetBucket, "fleet bucket"},
};

enum class QuotaFault {
    Cut, // instances exchange no reports; callers still reach them
    Split, // as Cut, but the instances hear each other
    Mute, // reports of the instances are lost, they still get those of others
    Freeze, // instances stand still; requests and reports wait for them
    Restart, // instances end at the beginning and start anew at the end
    Absent, // instances are added at the end
    PowerLoss, // Restart of all instances
    Loss, // reports are lost with the probability given by share
    SlowReports, // reports take a second longer
};

// Times are in seconds of the run. The share is that of the instances concerned.
struct QuotaModelFault
{
    QuotaFault kind = QuotaFault::Cut;
    double from = 0;
    double until = 0;
    double share = 0;
};

struct QuotaModelLoad
{
    double from = 0; // seconds
    double perSecond = 0; // requests of the team
};

struct QuotaModelLimit
{
    double from = 0; // seconds; each instance learns it within learnSeconds
    QuotaLimit limit;
};

struct QuotaModelSettings
{
    int instances = 61;
    int regions = 3;
    std::vector<QuotaModelLimit> limits = {{0, {100, 100}}};
    std::vector<QuotaModelLoad> loads = {{0, 62.5}};
    std::vector<QuotaModelFault> faults;
    double lossRate = 0.02; // of reports
    double learnSeconds = 0; // until the last instance knows a limit
    bool returns = false; // refused callers come back once after Retry-After
    double warmUp = 4; // seconds before anything is measured
    double seconds = 30; // that are measured
    std::uint64_t seed = 1;
};

struct QuotaModelResult
{
    std::uint64_t asked = 0;
    std::uint64_t owed = 0; // admitted by one bucket for the whole fleet
    std::uint64_t admitted = 0;
    double servedShare = 1; // of what is owed, window by window
    // Highest number in a window of 5 s, relative to (perSecond * 5 + burst) * 1.1 + 20.
    double worstWindow = 0;
    std::uint64_t returned = 0; // callers that came back at the time they were told
    std::uint64_t returnedAdmitted = 0;
    double messages = 0; // sent an instance and second for the team alone
    double bytes = 0; // sent an instance and second, for the team's part of reports
};

QuotaModelResult runQuotaModel(QuotaPolicy policy, const QuotaModelSettings &settings);

inline constexpr double quotaWindowSeconds = 5; // of the bound

} // namespace chestnutvane
