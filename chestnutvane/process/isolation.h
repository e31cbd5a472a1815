// Decides from the ages of contacts whether an instance may take new work, whether the holder of a
// broker role may grant, and which peer it learns the configuration from (design 7.1, 7.3, 10).
//
// Example:
//
//   if (mayAcceptWork(view, limits) == WorkDecision::Isolated)
//       refuse with 503 and Reason::Isolated;
//   if (isGranting(mayGrant(renewalAge, view, limits)))
//       broker.allowGrantsUntil(now + outageGrantTime);
//
// An absent age means that there was no contact since the start. Functions without state, safe to
// call from any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

struct IsolationLimits
{
    Milliseconds isolatedAfter{4000}; // without contact with the store or any peer
    Milliseconds leaseTtl{5000};
    Milliseconds leaseMargin{1000}; // granting on the lease alone ends this long before the TTL
    Milliseconds peerTimeout{1500}; // a peer silent for longer is not reachable
    // A broker without a valid lease needs every reachable peer that sends in each period heard
    // within three heartbeats, and at least one. So it grants for at most this long after it was
    // cut off and replaced; the rebuild of the new broker (design 7.1) counts such grants.
    Milliseconds freshHeartbeatAge{600};
    // Leases are renewed each 1.5 s, so an instance that reaches the store has a younger contact.
    // It must stay below leaseTtl - leaseMargin - 1.5 s = 2.5 s: then, when the store goes down,
    // the contacts of the peers are older than this by the time a broker's own lease runs out.
    Milliseconds recentContactAge{2000};
};

// What is known of one peer.
struct PeerContact
{
    Duration heartbeatAge{}; // since its last heartbeat arrived
    std::optional<Duration> storeContactAge; // as reported in that heartbeat
    bool sendsEveryPeriod = true; // it sends this instance a heartbeat in each period
};

struct ContactView
{
    // Since the end of the last answered store call, without watches that ended without news.
    std::optional<Duration> storeContactAge;
    bool everKnewPeer = false; // since the start, also peers that are gone
    std::vector<PeerContact> peers;
    // Since the last moment at which this process noticed a pause of its own of more than two
    // heartbeats, or at which no peer was fresh. Peers not heard since then may know what the ones
    // heard do not.
    std::optional<Duration> stallAge;
};

enum class WorkDecision {
    Allowed,
    Isolated, // a change may have been accepted without this instance
};

inline constexpr EnumName<WorkDecision> workDecisionNames[] = {
        {WorkDecision::Allowed, "allowed"},
        {WorkDecision::Isolated, "isolated"},
};

// Tells whether new work may be taken. An instance that never knew a peer is always allowed: it is
// the only one of its deployment.
WorkDecision mayAcceptWork(const ContactView &view, const IsolationLimits &limits);

enum class GrantAuthority {
    LeaseHeld,
    StoreDown, // may grant: nobody reachable can have taken the role over
    NeverRenewed,
    NoPeer, // a reachable peer was not heard lately, or there is none: it may hold the role now
    Stalled, // not all peers can have been heard since a pause or since all were silent
    PeerReachesStore, // a peer can take the role over
    PeerReachedStore, // a peer was in contact with the store after the lease may have lapsed
};

inline constexpr EnumName<GrantAuthority> grantAuthorityNames[] = {
        {GrantAuthority::LeaseHeld, "lease-held"},
        {GrantAuthority::StoreDown, "store-down"},
        {GrantAuthority::NeverRenewed, "never-renewed"},
        {GrantAuthority::NoPeer, "no-peer"},
        {GrantAuthority::Stalled, "stalled"},
        {GrantAuthority::PeerReachesStore, "peer-reaches-store"},
        {GrantAuthority::PeerReachedStore, "peer-reached-store"},
};

// Tells whether a verdict allows a grant.
constexpr bool isGranting(GrantAuthority verdict)
{
    return verdict == GrantAuthority::LeaseHeld || verdict == GrantAuthority::StoreDown;
}

// Tells whether the holder of a broker role may grant. renewalAge is the time since the start of
// the last lease renewal that succeeded, or since the role was taken.
GrantAuthority mayGrant(std::optional<Duration> renewalAge, const ContactView &view,
                        const IsolationLimits &limits);

// Whether there are peers that send in each period, and none of them was heard lately.
bool areAllPeersStale(const ContactView &view, const IsolationLimits &limits);

// Returns the index of the reachable peer with the youngest store contact, if this instance has no
// present contact and that peer has. The configuration is then fetched from it.
std::optional<std::size_t> selectConfigurationPeer(const ContactView &view,
                                                   const IsolationLimits &limits);

} // namespace chestnutvane
