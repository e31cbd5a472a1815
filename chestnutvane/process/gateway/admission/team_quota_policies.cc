#include "chestnutvane/process/gateway/admission/team_quota_policies.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "chestnutvane/process/gateway/admission/quota_time.h"

namespace chestnutvane {
namespace {

constexpr std::uint32_t modelTeam = 7;
constexpr double demandSeconds = 1; // time constant of the estimated demand
constexpr double lentSeconds = 1; // for which a batch is lent

struct Bucket
{
    double level = 0;
    TimePoint updatedAt;

    void refill(double rate, double burst, TimePoint now)
    {
        level = std::min(level + rate * toSeconds(now - updatedAt), burst);
        updatedAt = now;
    }
    bool take()
    {
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }
};

// The policies other than FleetBucket. They count a peer whose last report is old like any other.
class PlainPolicy : public QuotaPolicyInstance
{
public:
    PlainPolicy(QuotaPolicy policy, QuotaOwner &owner) : policy_(policy), owner_(owner) { }

    void setLimit(QuotaLimit limit, TimePoint now) override
    {
        if (limit_.perSecond == 0)
            bucket_.updatedAt = now;
        limit_ = limit;
        if (policy_ == QuotaPolicy::LentShares)
            owner_.limit = limit;
    }

    void setInstances(int instances, TimePoint /*now*/) override { instances_ = instances; }

    QuotaVerdict admit(TimePoint now) override
    {
        demand_ =
                demand_ * std::exp(-toSeconds(now - askedAt_) / demandSeconds) + 1 / demandSeconds;
        askedAt_ = now;
        const bool isAdmitted = decide(now);
        admitted_ += isAdmitted ? 1 : 0;
        return {.isAdmitted = isAdmitted, .retryAfter = std::chrono::seconds(1)};
    }

    std::vector<TeamUsage> report(TimePoint now) override
    {
        if (policy_ == QuotaPolicy::EqualShares || policy_ == QuotaPolicy::LentShares)
            return {};
        const double demand = demand_ * std::exp(-toSeconds(now - askedAt_) / demandSeconds);
        return {{modelTeam, 0, admitted_, demand}};
    }

    int heard(TimePoint /*now*/) override { return 1; }

    void merge(std::uint64_t sender, std::span<const TeamUsage> usage, int /*heardThere*/,
               TimePoint now) override
    {
        if (usage.empty())
            return;
        const auto [found, isNew] = peers_.try_emplace(sender, usage[0]);
        bucket_.refill(limit_.perSecond, limit_.burst, now);
        if (policy_ == QuotaPolicy::DrawAhead && !isNew)
            bucket_.level -= static_cast<double>(usage[0].admitted - found->second.admitted);
        peerDemand_ += usage[0].demandPerSecond - (isNew ? 0 : found->second.demandPerSecond);
        found->second = usage[0];
    }

private:
    bool decide(TimePoint now)
    {
        if (policy_ == QuotaPolicy::LentShares)
            return borrow(now);
        double part = 1;
        if (policy_ == QuotaPolicy::EqualShares)
            part = 1.0 / instances_;
        else if (policy_ == QuotaPolicy::DemandShares)
            part = demand_ / (demand_ + peerDemand_);
        const double burst = policy_ == QuotaPolicy::DrawAhead ? limit_.burst
                                                               : std::max(limit_.burst * part, 1.0);
        bucket_.refill(limit_.perSecond * part, burst, now);
        return bucket_.take();
    }

    // A request waits for the answer of the owner if the instance has none in hand.
    bool borrow(TimePoint now)
    {
        if (now > lentUntil_)
            bucket_.level = 0;
        if (bucket_.take())
            return true;
        if (!owner_.isReachable)
            return false;
        owner_.messages += 2;
        Bucket owned{owner_.level, owner_.updatedAt};
        owned.refill(owner_.limit.perSecond, std::max(owner_.limit.burst, 1.0), now);
        const double batch =
                std::floor(std::min(owned.level, std::max(demand_ * lentSeconds / 2, 1.0)));
        owner_.level = owned.level - batch;
        owner_.updatedAt = now;
        bucket_.level = batch;
        lentUntil_ = now + fromSeconds(lentSeconds);
        return bucket_.take();
    }

    QuotaPolicy policy_;
    QuotaOwner &owner_;
    QuotaLimit limit_;
    int instances_ = 1;
    Bucket bucket_;
    TimePoint lentUntil_;
    TimePoint askedAt_;
    double demand_ = 0;
    double peerDemand_ = 0;
    std::uint64_t admitted_ = 0;
    std::unordered_map<std::uint64_t, TeamUsage> peers_;
};

class FleetBucketPolicy : public QuotaPolicyInstance
{
public:
    explicit FleetBucketPolicy(std::uint64_t seed) : quotas_(seed) { }

    void setLimit(QuotaLimit limit, TimePoint now) override
    {
        quotas_.setLimits({{modelTeam, limit}}, now);
    }
    void setInstances(int instances, TimePoint now) override
    {
        quotas_.setInstances(instances, now);
    }
    QuotaVerdict admit(TimePoint now) override { return quotas_.admit(modelTeam, now); }
    std::vector<TeamUsage> report(TimePoint now) override { return quotas_.usageToReport(now); }
    int heard(TimePoint now) override { return quotas_.heard(now); }
    void merge(std::uint64_t sender, std::span<const TeamUsage> usage, int heardThere,
               TimePoint now) override
    {
        quotas_.merge(sender, usage, heardThere, Duration{0}, now);
    }

private:
    TeamQuotas quotas_;
};

} // namespace

std::unique_ptr<QuotaPolicyInstance> makeQuotaPolicy(QuotaPolicy policy, std::uint64_t seed,
                                                     QuotaOwner &owner)
{
    if (policy == QuotaPolicy::FleetBucket)
        return std::make_unique<FleetBucketPolicy>(seed);
    return std::make_unique<PlainPolicy>(policy, owner);
}

} // namespace chestnutvane
