// Policies for the quota of one team that the model compares with TeamQuotas.
#pragma once

#include <memory>
#include <span>
#include <vector>

#include "chestnutvane/process/gateway/admission/team_quota_model.h"

namespace chestnutvane {

// What one instance decides and tells.
class QuotaPolicyInstance
{
public:
    virtual ~QuotaPolicyInstance() = default;
    virtual void setLimit(QuotaLimit limit, TimePoint now) = 0;
    virtual void setInstances(int instances, TimePoint now) = 0;
    virtual QuotaVerdict admit(TimePoint now) = 0;
    virtual std::vector<TeamUsage> report(TimePoint now) = 0;
    virtual int heard(TimePoint now) = 0;
    virtual void merge(std::uint64_t sender, std::span<const TeamUsage> usage, int heardThere,
                       TimePoint now) = 0;
};

// The bucket of the owner in QuotaPolicy::LentShares, and what its messages cost.
struct QuotaOwner
{
    QuotaLimit limit;
    double level = 0;
    TimePoint updatedAt;
    bool isReachable = true;
    std::uint64_t messages = 0;
};

std::unique_ptr<QuotaPolicyInstance> makeQuotaPolicy(QuotaPolicy policy, std::uint64_t seed,
                                                     QuotaOwner &owner);

} // namespace chestnutvane
