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

// Quotas refill also while the process is suspended, which the steady clock does not count.
TimePoint quotaTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(BootClock::now().time_since_epoch()));
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
    quotas_.setLimits(limits, quotaTime());
}

bool Gateway::chargeQuota(PendingRequest &pending)
{
    if (!hasQuotas_ || pending.teamKey == 0)
        return true;
    const QuotaVerdict verdict = quotas_.admit(quotaKey(pending.teamKey), quotaTime());
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

void Gateway::returnQuota(PendingRequest &pending)
{
    if (pending.runs == 0 && pending.quotaKey != 0)
        quotas_.giveBack(std::exchange(pending.quotaKey, 0), quotaTime());
}

void Gateway::applyQuotaUsage(const PeerIdentity &peer, const std::vector<TeamUsage> &usage,
                              int heardThere, Duration age)
{
    if (!hasQuotas_ || heardThere < 1)
        return;
    const TimePoint now = quotaTime();
    auto &incarnation = quotaPeers_[peer.id];
    if (incarnation != 0 && incarnation != peer.incarnation)
        quotas_.forgetPeer(incarnation, now);
    incarnation = peer.incarnation;
    quotas_.merge(peer.incarnation, usage, heardThere, age, now);
}

void Gateway::fillQuotaReport(LoadReport &report)
{
    if (!hasQuotas_)
        return;
    const TimePoint now = quotaTime();
    report.quotaUsage = quotas_.usageToReport(now);
    report.quotaHeard = quotas_.heard(now);
}

// Instances that were listed count until the next list, also if nothing is heard of them: one that
// is cut off must not take their part of a quota.
void Gateway::updateQuotaInstances()
{
    const TimePoint now = quotaTime();
    // Until the list is read: as many instances as a caller is told of at most.
    constexpr std::size_t assumedInstances = 64;
    std::size_t count = fleet_.peers().size() + 1;
    for (const std::string &id : listedInstances_)
        count += fleet_.peers().contains(id) ? 0 : 1;
    if (!isInstanceListRead_)
        count = std::max(count, assumedInstances);
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
