#include "chestnutvane/process/isolation.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// An empty age counts as older than any limit.
bool isOlder(const std::optional<Duration> &age, Duration limit)
{
    return !age || *age >= limit;
}

// Returns the current age of a peer's store contact. The network delay of the heartbeat is not
// included, so the result may be too low, which errs on the side of refusing grants.
std::optional<Duration> contactAge(const PeerContact &peer)
{
    if (!peer.storeContactAge)
        return std::nullopt;
    return *peer.storeContactAge + peer.heartbeatAge;
}

} // namespace

WorkDecision mayAcceptWork(const ContactView &view, const IsolationLimits &limits)
{
    const bool allPeersTimedOut =
            std::all_of(view.peers.begin(), view.peers.end(), [&](const PeerContact &peer) {
                return peer.heartbeatAge >= limits.isolatedAfter;
            });
    const bool knewPeer = view.everKnewPeer || !view.peers.empty();
    return knewPeer && allPeersTimedOut && isOlder(view.storeContactAge, limits.isolatedAfter)
            ? WorkDecision::Isolated
            : WorkDecision::Allowed;
}

GrantAuthority mayGrant(std::optional<Duration> renewalAge, const ContactView &view,
                        const IsolationLimits &limits)
{
    if (!renewalAge)
        return GrantAuthority::NeverRenewed;
    if (*renewalAge < limits.leaseTtl - limits.leaseMargin)
        return GrantAuthority::LeaseHeld;
    if (!view.everKnewPeer && view.peers.empty())
        return GrantAuthority::StoreDown;
    if (view.stallAge && *view.stallAge < limits.peerTimeout)
        return GrantAuthority::Stalled;
    bool anyFresh = false;
    bool allFresh = true;
    for (const PeerContact &peer : view.peers) {
        const auto age = contactAge(peer);
        // A peer that had store contact after the lease may have expired may have acquired the
        // role, however long ago that was. This includes peers that are unreachable now.
        if (age && *age < *renewalAge - limits.leaseTtl)
            return GrantAuthority::PeerReachedStore;
        if (peer.heartbeatAge >= limits.peerTimeout)
            continue;
        const bool fresh = peer.heartbeatAge < limits.freshHeartbeatAge;
        anyFresh |= fresh;
        allFresh &= fresh || !peer.sendsEveryPeriod;
        if (!isOlder(age, limits.recentContactAge))
            return GrantAuthority::PeerReachesStore;
    }
    return anyFresh && allFresh ? GrantAuthority::StoreDown : GrantAuthority::NoPeer;
}

bool areAllPeersStale(const ContactView &view, const IsolationLimits &limits)
{
    bool anySends = false;
    for (const PeerContact &peer : view.peers) {
        if (!peer.sendsEveryPeriod)
            continue;
        if (peer.heartbeatAge < limits.freshHeartbeatAge)
            return false;
        anySends = true;
    }
    return anySends;
}

std::optional<std::size_t> selectConfigurationPeer(const ContactView &view,
                                                   const IsolationLimits &limits)
{
    if (!isOlder(view.storeContactAge, limits.recentContactAge))
        return std::nullopt;
    std::optional<std::size_t> best;
    Duration youngest = limits.recentContactAge;
    for (std::size_t i = 0; i < view.peers.size(); ++i) {
        if (view.peers[i].heartbeatAge >= limits.peerTimeout)
            continue;
        if (const auto age = contactAge(view.peers[i]); age && *age < youngest) {
            youngest = *age;
            best = i;
        }
    }
    return best;
}

} // namespace chestnutvane
