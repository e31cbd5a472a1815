// Quotas of teams: what is charged, given back and told to other instances.

#include <algorithm>

#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

std::uint32_t quotaKey(std::uint64_t teamKey)
{
    return static_cast<std::uint32_t>(teamKey);
}

} // namespace

void Gateway::setRoutes(std::shared_ptr<const RouteTable> table)
{
    table_ = std::move(table);
    std::unordered_map<std::uint32_t, QuotaLimit> limits;
    for (const Team &team : table_->teams().teams()) {
        if (team.requestsPerSecond > 0)
            limits[quotaKey(team.id)] = {team.requestsPerSecond, team.burst};
    }
    hasQuotas_ = !limits.empty();
    quotas_.setLimits(limits, Clock::now());
}

bool Gateway::chargeQuota(PendingRequest &pending, TimePoint now)
{
    if (!hasQuotas_ || pending.teamKey == 0)
        return true;
    const QuotaVerdict verdict = quotas_.admit(quotaKey(pending.teamKey), now);
    pending.quotaKey = verdict.isAdmitted && verdict.reason != QuotaReason::NoLimit
            ? quotaKey(pending.teamKey)
            : 0;
    if (verdict.isAdmitted)
        return true;
    const std::string reason(enumName(quotaReasonNames, verdict.reason));
    metrics_.increment("vane_gateway_quota_refused_total", {{"reason", reason}});
    logEvent(Event::QuotaExceeded,
             {{"request", pending.id},
              {"team", pending.team},
              {"reason", reason},
              {"left", verdict.level},
              {"demand-per-s", verdict.demandPerSecond},
              {"share", verdict.admittedShare},
              {"heard", verdict.heard},
              {"instances", verdict.instances},
              {"oldest-report-ms",
               std::chrono::duration_cast<Milliseconds>(verdict.oldestReport).count()},
              {"revision", pending.policyTable->revision()}});
    pending.quotaRetryAfter = verdict.retryAfter;
    return false;
}

void Gateway::returnQuota(PendingRequest &pending, TimePoint now)
{
    if (pending.runs == 0 && pending.quotaKey != 0)
        quotas_.giveBack(std::exchange(pending.quotaKey, 0), now);
}

void Gateway::applyQuotaUsage(const PeerIdentity &peer, const std::vector<TeamUsage> &usage,
                              int heardThere, Duration age, TimePoint now)
{
    if (!hasQuotas_ || heardThere < 1)
        return;
    auto &incarnation = quotaPeers_[peer.id];
    if (incarnation != 0 && incarnation != peer.incarnation)
        quotas_.forgetPeer(incarnation, now);
    incarnation = peer.incarnation;
    quotas_.merge(peer.incarnation, usage, heardThere, age, now);
}

void Gateway::fillQuotaReport(LoadReport &report, TimePoint now)
{
    if (!hasQuotas_)
        return;
    report.quotaUsage = quotas_.usageToReport(now);
    report.quotaHeard = quotas_.heard(now);
}

void Gateway::updateQuotaInstances(TimePoint now)
{
    // Until the list is read: as many instances as a caller is told of at most.
    constexpr std::size_t assumedInstances = 64;
    const std::size_t count = areInstancesKnown(now)
            ? instanceCount(now)
            : std::max(assumedInstances, fleet_.peers().size() + 1);
    quotas_.setInstances(static_cast<int>(count), now);
    metrics_.set("vane_gateway_quota_heard", {}, quotas_.heard(now));
    std::erase_if(quotaPeers_, [this, now](const auto &entry) {
        if (fleet_.peers().contains(entry.first))
            return false;
        quotas_.forgetPeer(entry.second, now);
        return true;
    });
}

} // namespace chestnutvane
