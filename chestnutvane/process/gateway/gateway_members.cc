// The instances that share limits with this one, and this instance's part of the limits.

#include <algorithm>
#include <limits>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {
namespace {

// A silent instance may still send requests, so it is counted longer than it is considered alive.
constexpr std::chrono::seconds silentPeerTimeout{10};

} // namespace

// Returns how many requests a second this instance may send to a target in its cold start.
std::size_t Gateway::coldPhaseShare(const std::string &service, const Target &target,
                                    TimePoint now) const
{
    if (!areInstancesKnown(now))
        return 0;
    const ServiceSpec *spec = table_ ? table_->service(service) : nullptr;
    const ColdStartRateLimit totalLimit{spec == nullptr ? 0 : spec->coldPerSecond,
                                        settings_.coldOvershoot, settings_.coldSlack};
    return coldStartRateShare(totalLimit, rankFor(target, now));
}

// Returns whether this instance is to send a new target its first request. At first only one
// instance of the region does: first requests are slow, and one from each instance would delay many
// after a large scale-out. After firstRequestTimeout all instances may.
bool Gateway::shouldSendFirstRequest(const Target &target, TimePoint now) const
{
    constexpr std::chrono::seconds firstRequestTimeout{2};
    if (target.receivedRequest || target.region != region_)
        return false;
    if (now - target.firstListedAt >= firstRequestTimeout)
        return true;
    const std::uint64_t ownHash = hash64(settings_.instanceId, target.hash);
    return std::none_of(fleet_.peers().begin(), fleet_.peers().end(), [&](const auto &entry) {
        const LoadReport &report = entry.second.report;
        return report.state == PeerState::Serving && fleet_.isAlive(entry.first, now)
                && settings_.regionOf(report.sender.zone) == region_
                && hash64(entry.first, target.hash) < ownHash;
    });
}

// Returns the rank of this instance among those of the target's region. It differs from target to
// target, so that the same instances do not use all of them.
InstanceRank Gateway::rankFor(const Target &target, TimePoint now) const
{
    const std::uint64_t ownHash = hash64(settings_.instanceId, target.hash);
    InstanceRank place{target.region == region_ ? 1U : 0U, 0};
    const auto count = [&](const std::string &id, const std::string &zone) {
        if (settings_.regionOf(zone) != target.region)
            return;
        ++place.instances;
        place.rank += hash64(id, target.hash) < ownHash ? 1 : 0;
    };
    for (const auto &[id, peer] : fleet_.peers()) {
        if (isHeard(id, now))
            count(id, peer.report.sender.zone);
    }
    for (const auto &[id, zone] : unheardZones_) {
        if (!isHeard(id, now))
            count(id, zone);
    }
    return place;
}

bool Gateway::isHeard(const std::string &instance, TimePoint now) const
{
    const auto found = fleet_.peers().find(instance);
    return found != fleet_.peers().end() && now - found->second.receivedAt < silentPeerTimeout;
}

void Gateway::setListedInstances(const std::vector<PeerIdentity> &instances)
{
    const TimePoint now = Clock::now();
    isInstanceListRead_ = true;
    unheardZones_.clear();
    listedInstances_.clear();
    for (const PeerIdentity &instance : instances) {
        if (instance.id != settings_.instanceId)
            listedInstances_.insert(instance.id);
        if (instance.id != settings_.instanceId && !isHeard(instance.id, now))
            unheardZones_.emplace(instance.id, instance.zone);
    }
    updateQuotaInstances();
}

bool Gateway::areInstancesKnown(TimePoint now) const
{
    // While the store is unavailable, reports tell of the other instances.
    return isInstanceListRead_ || now - createdAt_ >= FleetView::livenessTimeout;
}

std::size_t Gateway::instanceCount(TimePoint now) const
{
    if (!areInstancesKnown(now))
        return std::numeric_limits<std::size_t>::max();
    std::size_t count = fleet_.peers().size() + 1;
    for (const auto &[id, zone] : unheardZones_)
        count += fleet_.peers().contains(id) ? 0 : 1;
    return count;
}

} // namespace chestnutvane
