#include "chestnutvane/process/gateway/admission/team_quota.h"

#include <algorithm>
#include <cmath>

#include "chestnutvane/process/gateway/admission/quota_time.h"

namespace chestnutvane {
namespace {

// Time constants of the estimated demand, in seconds. It averages over a number of requests at the
// limit, so that a surge shows well within a window of the limit, and no estimate is mere noise.
constexpr double demandCount = 20;
constexpr double shortestDemand = 0.1;
constexpr double longestDemand = 1;
constexpr double shortestCounted = 0.1; // part of that time: what is counted in less tells nothing
// Standard deviations of the demand that are taken for noise, as requests arrive at random.
constexpr double noiseTolerance = 2.5;
constexpr double maxSurge = 10; // highest growth that a single instance may conclude on
// Seconds in which a credit or a debt of the bucket is evened out. About twice the interval of the
// reports, or the instances would answer to each other's corrections.
constexpr double levelSeconds = 1;
// Requests above the burst that the bucket holds. They let the instances of a small team draw on it
// before they know of each other.
constexpr double extraRequests = 5;
// Requests that all instances which are cut off may run together above their equal shares, as a
// share of less than one request does not serve a small team.
constexpr double extraOutOfTouch = 10;
// Part of the rate that is expected to be free for callers that come back after a refusal. A limit
// leaves about this room above the usual load of a team.
constexpr double returnShare = 1.0 / 3;
constexpr double excessSeconds = 1; // for which a demand above the rate is expected to go on
constexpr Milliseconds maxRetryAfter{120000}; // the load after that cannot be foreseen

double demandSeconds(const QuotaLimit &limit)
{
    return std::clamp(demandCount / limit.perSecond, shortestDemand, longestDemand);
}

} // namespace

TeamQuotas::TeamQuotas(std::uint64_t seed) : random_(seed) { }

void TeamQuotas::setLimits(const std::unordered_map<std::uint32_t, QuotaLimit> &limits,
                           TimePoint now)
{
    expirePeers(now);
    const auto isLimited = [&](std::uint32_t team) {
        const auto found = limits.find(team);
        return found != limits.end() && found->second.perSecond > 0;
    };
    std::erase_if(teams_, [&](const auto &entry) { return !isLimited(entry.first); });
    for (auto &[incarnation, peer] : peers_)
        std::erase_if(peer.usage,
                      [&](const PeerUsage &it) { return !isLimited(it.reported.team); });
    for (const auto &[key, limit] : limits) {
        if (limit.perSecond <= 0)
            continue;
        const auto [found, isNew] = teams_.try_emplace(key);
        Team &team = found->second;
        if (isNew) {
            team.startedAt = now - stopped_;
            team.updatedAt = team.startedAt;
            team.askedAt = now - usageTime - usageTime;
            team.carry = nextRandom();
        }
        update(team, now);
        team.limit = limit;
        team.level = std::clamp(team.level, -maxDebt(team), capacity(team));
        updateShare(team, now);
    }
}

QuotaVerdict TeamQuotas::admit(std::uint32_t key, TimePoint now)
{
    expirePeers(now);
    QuotaVerdict verdict{.heard = heardPeers_ + 1, .instances = instances_};
    const auto found = teams_.find(key);
    if (found == teams_.end())
        return verdict;
    Team &team = found->second;
    update(team, now);
    if (now - team.askedAt > usageTime) {
        ++team.episode;
        team.admitted = 0;
    }
    team.askedAt = now;
    team.ownDemand += 1 / demandSeconds(team.limit);
    updateShare(team, now);
    verdict.level = team.level;
    verdict.demandPerSecond = demand(team);
    verdict.admittedShare = team.share;
    if (heardPeers_ > 0)
        verdict.oldestReport = now - std::min(oldestComposedAt_, now);
    team.carry += team.share;
    verdict.isAdmitted = team.carry >= 1;
    if (verdict.isAdmitted) {
        verdict.reason = QuotaReason::WithinQuota;
        team.carry -= 1;
        team.level -= 1;
        team.ownLevel = std::max(team.ownLevel - 1, -1.0);
        ++team.admitted;
        return verdict;
    }
    verdict.reason =
            isOutOfTouch(now) && instances_ > 1 ? QuotaReason::OverShare : QuotaReason::OverQuota;
    const double rate = team.limit.perSecond * reach();
    const double debt = std::max(1 - team.level, 0.0) / rate;
    const double excess = std::max(verdict.demandPerSecond - rate, 0.0) * excessSeconds;
    const double wait = debt + (team.backlog + excess) / (rate * returnShare);
    verdict.retryAfter = fromSeconds(std::min(wait, toSeconds(maxRetryAfter)));
    return verdict;
}

void TeamQuotas::giveBack(std::uint32_t key, TimePoint now)
{
    const auto found = teams_.find(key);
    if (found == teams_.end())
        return;
    expirePeers(now);
    Team &team = found->second;
    update(team, now);
    team.level = std::min(team.level + 1, capacity(team));
    team.ownLevel = std::min(team.ownLevel + 1, ownCapacity(team));
    // After a pause the count is no longer reported, and the peers keep the charge.
    if (team.admitted > 0)
        --team.admitted;
}

std::vector<TeamUsage> TeamQuotas::usageToReport(TimePoint now)
{
    expirePeers(now);
    std::vector<std::pair<double, TeamUsage>> listed;
    for (auto &[key, team] : teams_) {
        if (now - team.askedAt > usageTime)
            continue;
        update(team, now);
        updateShare(team, now);
        listed.emplace_back(demand(team) / team.limit.perSecond,
                            TeamUsage{key, team.episode, team.admitted, ownDemand(team)});
    }
    if (listed.size() > maxReportedTeams) {
        std::ranges::nth_element(listed, listed.begin() + maxReportedTeams, std::ranges::greater{},
                                 [](const auto &it) { return it.first; });
        listed.resize(maxReportedTeams);
    }
    std::vector<TeamUsage> usage;
    usage.reserve(listed.size());
    for (const auto &[pressure, it] : listed)
        usage.push_back(it);
    std::ranges::sort(usage, {}, &TeamUsage::team);
    return usage;
}

double TeamQuotas::reach() const
{
    return std::min(1.0, (heardPeers_ + 1.0) / instances_);
}

double TeamQuotas::maxDebt(const Team &team)
{
    // Overdrafts from before the longest window of a quota no longer count.
    constexpr double debtSeconds = 5;
    constexpr double debtRequests = 20;
    return debtSeconds * team.limit.perSecond + debtRequests;
}

double TeamQuotas::capacity(const Team &team) const
{
    const QuotaLimit &limit = team.limit;
    return (limit.burst + extraRequests) * reach();
}

double TeamQuotas::ownDemand(const Team &team)
{
    // Corrects for the time before the start, in which nothing was counted.
    const double age = toSeconds(team.updatedAt - team.startedAt);
    return team.ownDemand
            / std::max(1 - std::exp(-age / demandSeconds(team.limit)), shortestCounted);
}

double TeamQuotas::demand(const Team &team)
{
    return team.peerDemand + ownDemand(team);
}

double TeamQuotas::ownCapacity(const Team &team) const
{
    const QuotaLimit &limit = team.limit;
    return (limit.burst + extraRequests + extraOutOfTouch) / instances_;
}

void TeamQuotas::setInstances(int instances, TimePoint now)
{
    expirePeers(now);
    if (instances == instances_ || instances < 1)
        return;
    const double before = reach();
    instances_ = instances;
    changeReach(std::min(reach() / before, 1.0), now);
}

void TeamQuotas::update(Team &team, TimePoint now)
{
    const TimePoint running = now - stopped_;
    const double elapsed = toSeconds(running - team.updatedAt);
    if (elapsed <= 0)
        return;
    team.updatedAt = running;
    const double rate = team.limit.perSecond * reach();
    const double asked = demand(team);
    team.steadyDemand += (asked - team.steadyDemand) * (1 - std::exp(-elapsed / longestDemand));
    team.steadyOwnDemand +=
            (ownDemand(team) - team.steadyOwnDemand) * (1 - std::exp(-elapsed / longestDemand));
    const double refused = (1 - team.share) * asked;
    team.level += (rate - team.share * team.peerDemand) * elapsed;
    team.level = std::min(team.level, capacity(team));
    team.ownLevel += team.limit.perSecond / instances_ * elapsed;
    team.ownLevel = std::min(team.ownLevel, ownCapacity(team));
    team.shareSeconds += team.share * elapsed;
    // While the demand exceeds the rate, those that come back find no room either.
    team.backlog += (refused - std::max(rate - asked, 0.0)) * elapsed;
    team.backlog = std::clamp(team.backlog, 0.0, rate * returnShare * toSeconds(maxRetryAfter));
    team.ownDemand *= std::exp(-elapsed / demandSeconds(team.limit));
}

void TeamQuotas::updateShare(Team &team, TimePoint now)
{
    // Nobody else draws on the equal share of an instance. It may hold less than a whole request,
    // which then is admitted with this probability.
    if (isOutOfTouch(now)) {
        team.share = std::clamp(team.ownLevel, 0.0, 1.0);
        return;
    }
    double asked = demand(team);
    const double averaged = 2 * demandSeconds(team.limit);
    const double noise = std::sqrt(std::max(team.steadyDemand, 1 / averaged) / averaged);
    if (std::abs(asked - team.steadyDemand) < noiseTolerance * noise)
        asked = team.steadyDemand;
    // Callers choose among instances at random, so a surge here beyond doubt is one everywhere.
    const double own = ownDemand(team);
    const double sure = own - noiseTolerance * std::sqrt(own / averaged);
    if (sure > team.steadyOwnDemand)
        asked = std::max(asked,
                         team.steadyDemand * std::min(sure / team.steadyOwnDemand, maxSurge));
    const double allowed = team.limit.perSecond * reach() + team.level / levelSeconds;
    team.share = asked > 0 ? std::clamp(allowed / asked, 0.0, 1.0) : allowed > 0 ? 1.0 : 0.0;
}

double TeamQuotas::nextRandom()
{
    // splitmix64
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31;
    return static_cast<double>(mixed >> 11) * 0x1p-53;
}

} // namespace chestnutvane
