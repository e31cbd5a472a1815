// Accounting of the reports of peers, and of peers that are not heard.
#include <algorithm>

#include "chestnutvane/process/gateway/admission/quota_time.h"
#include "chestnutvane/process/gateway/admission/team_quota.h"

namespace chestnutvane {
namespace {

constexpr Milliseconds scanInterval{100}; // a scan of all peers at each request would be slow
// A peer is late after this many times its longest interval of late, but not before shortestLate.
constexpr double lateIntervals = 1.1;
constexpr Milliseconds shortestLate{320}; // instances of a region report every 150 to 300 ms
constexpr double intervalDecay = 0.9; // of the longest interval, with each report
// An instance is out of touch if it gets no report from any peer for longer than this and their
// longest interval of late. Longer than a busy instance leaves its sockets unread.
constexpr Milliseconds shortestSilence{150};
// An instance that no peer hears takes note after this time. Counts of instances differ for a
// moment when an instance starts or ends.
constexpr Milliseconds unheardTime{300};
constexpr double maxDemand = 1e9; // requests a second; more than any instance can get
constexpr Milliseconds peerMemory{30000}; // for which a peer that is not heard is kept

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void TeamQuotas::merge(std::uint64_t incarnation, std::span<const TeamUsage> usage, int heardThere,
                       Duration age, TimePoint now)
{
    expirePeers(now);
    // Reports that arrived while the process was stopped look newer than they are.
    constexpr Milliseconds bufferedTime{200};
    if (wokeAt_ != TimePoint{} && now - wokeAt_ < bufferedTime)
        return;
    if (age > livenessTimeout || (peers_.size() >= maxPeers && !peers_.contains(incarnation)))
        return;
    Peer &peer = peers_[incarnation];
    const bool wasHeard = peer.isHeard || now - peer.silentAt < livenessTimeout;
    if (peer.isHeard) {
        const Duration interval = std::min<Duration>(now - age - peer.composedAt, livenessTimeout);
        peer.interval = std::max(interval, scaled(peer.interval, intervalDecay));
    }
    mergeInterval_ = std::max(std::min<Duration>(now - mergedAt_, shortestLate),
                              scaled(mergeInterval_, intervalDecay));
    mergedAt_ = now;
    peer.composedAt = std::max(peer.composedAt, now - age);
    peer.heardThere = heardThere;
    if (!peer.isHeard)
        markHeard(peer, now);
    for (const TeamUsage &it : usage.first(std::min(usage.size(), maxReportedTeams)))
        charge(peer, wasHeard, it, now);
    // A team that is no longer listed has no demand there.
    for (PeerUsage &known : peer.usage) {
        if (known.listedAt == now || (known.demand == 0 && known.prepaid == 0))
            continue;
        TeamUsage idle = known.reported;
        idle.demandPerSecond = 0;
        if (const auto team = teams_.find(idle.team); team != teams_.end())
            correct(team->second, known, idle, peer.composedAt, now);
    }
    std::erase_if(peer.usage,
                  [&](const PeerUsage &it) { return now - it.listedAt > 2 * usageTime; });
}

void TeamQuotas::forgetPeer(std::uint64_t incarnation, TimePoint now)
{
    const auto found = peers_.find(incarnation);
    if (found == peers_.end())
        return;
    markSilent(found->second, now);
    peers_.erase(found);
}

int TeamQuotas::heard(TimePoint now)
{
    expirePeers(now);
    return heardLately_ + 1;
}

bool TeamQuotas::isOutOfTouch(TimePoint now) const
{
    return heardPeers_ == 0 || now - heardThereAt_ > unheardTime
            || now - mergedAt_ > shortestSilence + mergeInterval_;
}

void TeamQuotas::charge(Peer &peer, bool wasHeard, const TeamUsage &usage, TimePoint now)
{
    const auto found = teams_.find(usage.team);
    if (found == teams_.end() || !(usage.demandPerSecond >= 0 && usage.demandPerSecond < maxDemand))
        return;
    Team &team = found->second;
    const auto known = std::ranges::find(peer.usage, usage.team,
                                         [](const PeerUsage &it) { return it.reported.team; });
    if (known != peer.usage.end()) {
        correct(team, *known, usage, peer.composedAt, now);
        known->listedAt = now;
        return;
    }
    if (peer.usage.size() >= 2 * maxReportedTeams)
        return;
    update(team, now);
    // What a peer admitted before it was heard came out of its own share.
    TeamUsage before = usage;
    before.demandPerSecond = 0;
    if (wasHeard)
        before.admitted = 0;
    PeerUsage &added = peer.usage.emplace_back(
            PeerUsage{.reported = before, .shareSeconds = team.shareSeconds, .listedAt = now});
    if (!wasHeard) {
        added.demand = usage.demandPerSecond;
        team.peerDemand += added.demand;
    }
    correct(team, added, usage, peer.composedAt, now);
}

void TeamQuotas::correct(Team &team, PeerUsage &known, const TeamUsage &usage, TimePoint composedAt,
                         TimePoint now)
{
    update(team, now);
    const double sinceComposed = team.share * toSeconds(now - composedAt);
    const TeamUsage &before = known.reported;
    // Modulo arithmetic: the count falls if requests were given back.
    const double admitted = usage.episode == before.episode
            ? static_cast<double>(static_cast<std::int64_t>(usage.admitted - before.admitted))
            : static_cast<double>(usage.admitted);
    team.level += known.prepaid - admitted;
    known.prepaid = 0;
    team.level += known.demand * (team.shareSeconds - known.shareSeconds);
    team.peerDemand -= known.demand;
    known.demand = usage.demandPerSecond;
    team.peerDemand = std::max(team.peerDemand, 0.0) + known.demand;
    team.level -= known.demand * sinceComposed;
    team.level = std::clamp(team.level, -maxDebt(team), capacity(team));
    known.reported = usage;
    known.shareSeconds = team.shareSeconds - sinceComposed;
    updateShare(team, now);
}

void TeamQuotas::markHeard(Peer &peer, TimePoint now)
{
    const Duration silence = now - peer.silentAt;
    const double before = reach();
    peer.isHeard = true;
    ++heardPeers_;
    if (silence >= livenessTimeout) {
        // What it admitted meanwhile came out of its own share.
        peer.usage.clear();
        changeReach(1, now);
        return;
    }
    changeReach(reach() / before, now);
    // Its report says what it admitted meanwhile, in place of the share that was left to it.
    for (auto &[key, team] : teams_) {
        team.level += team.limit.perSecond / instances_ * toSeconds(silence);
        team.level = std::min(team.level, capacity(team));
    }
}

void TeamQuotas::markSilent(Peer &peer, TimePoint now)
{
    if (!peer.isHeard)
        return;
    for (PeerUsage &it : peer.usage) {
        if (const auto found = teams_.find(it.reported.team); found != teams_.end()) {
            Team &team = found->second;
            update(team, now);
            team.peerDemand = std::max(team.peerDemand - it.demand, 0.0);
            it.prepaid += it.demand * (team.shareSeconds - it.shareSeconds);
            it.shareSeconds = team.shareSeconds;
            it.demand = 0;
        }
    }
    peer.isHeard = false;
    // The process itself may have been stopped when the peer became late.
    peer.silentAt = std::min<TimePoint>(now, peer.composedAt + livenessTimeout);
    const double before = reach();
    --heardPeers_;
    changeReach(reach() / before, now);
}

void TeamQuotas::expirePeers(TimePoint now)
{
    noticeStop(now);
    if (now - expiredAt_ < scanInterval)
        return;
    expiredAt_ = now;
    oldestComposedAt_ = TimePoint::max();
    int mostHeardThere = 0;
    heardLately_ = 0;
    for (auto &[incarnation, peer] : peers_) {
        heardLately_ += now - peer.composedAt <= livenessTimeout ? 1 : 0;
        const Duration late = std::clamp<Duration>(scaled(peer.interval, lateIntervals),
                                                   shortestLate, livenessTimeout);
        if (now - peer.composedAt > (peer.interval > Duration{0} ? late : livenessTimeout)) {
            markSilent(peer, now);
            continue;
        }
        oldestComposedAt_ = std::min(oldestComposedAt_, peer.composedAt);
        mostHeardThere = std::max(mostHeardThere, peer.heardThere);
    }
    // Peers that all hear fewer instances than this one do not hear this one.
    if (mostHeardThere >= heardLately_ + 1)
        heardThereAt_ = now;
    std::erase_if(peers_, [&](const auto &it) { return now - it.second.composedAt > peerMemory; });
}

void TeamQuotas::changeReach(double factor, TimePoint now)
{
    for (auto &[key, team] : teams_) {
        update(team, now);
        team.level = std::min(team.level * factor, capacity(team));
        updateShare(team, now);
    }
}

void TeamQuotas::noticeStop(TimePoint now)
{
    if (calledAt_ != TimePoint{} && now - calledAt_ > livenessTimeout) {
        stopped_ += now - calledAt_ - livenessTimeout;
        wokeAt_ = now;
    }
    calledAt_ = std::max(calledAt_, now);
}

} // namespace chestnutvane
