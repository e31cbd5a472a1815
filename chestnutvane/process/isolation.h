// Decides from the times since the last contacts with the store and the peers whether an instance
// may accept new work, whether the holder of a broker role may issue grants, and which peer the
// configuration is fetched from (design 7.1, 7.3, 10).
//
// Example:
//
//   if (mayAcceptWork(view, limits) == WorkDecision::Isolated)
//       refuse with 503 and Reason::Isolated;
//   if (isGranting(mayGrant(renewalAge, view, limits)))
//       broker.allowGrantsUntil(now + outageGrantTime);
//
// An empty age means that there was no contact since the process started. The functions have no
// state and may be called from any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

struct IsolationLimits
{
    // An instance without contact with the store or any peer for this long is isolated.
    Milliseconds isolatedAfter{4000};
    Milliseconds leaseTtl{5000};
    // A broker stops granting on its lease alone this long before the TTL ends.
    Milliseconds leaseMargin{1000};
    // A peer whose last heartbeat is at least this old counts as unreachable.
    Milliseconds peerTimeout{1500};
    // Maximum age of a fresh heartbeat: three heartbeat periods. A broker without a valid lease may
    // grant only with a fresh heartbeat from at least one peer and from every reachable peer that
    // sends in each period. A broker that was partitioned and replaced therefore grants for at most
    // this long; the rebuild of the new broker (design 7.1) accounts for such grants.
    Milliseconds freshHeartbeatAge{600};
    // An instance whose last store contact is younger than this counts as reaching the store.
    // Leases are renewed every 1.5 s, so an instance that reaches the store stays below this age.
    // The value must be below leaseTtl - leaseMargin - 1.5 s = 2.5 s: when the store fails, the
    // store contacts of the peers are then older than this before a broker's own lease expires.
    Milliseconds recentContactAge{2000};
};

// The last contact with one peer.
struct PeerContact
{
    Duration heartbeatAge{}; // since the last heartbeat of the peer was received
    std::optional<Duration> storeContactAge; // of the peer, as reported in that heartbeat
    bool sendsEveryPeriod = true; // the peer sends a heartbeat to this instance in each period
};

// Contacts of this instance with the store and its peers at one point in time.
struct ContactView
{
    // Since the end of the last store call that was answered. Watches that returned no change don't
    // count.
    std::optional<Duration> storeContactAge;
    // Whether a heartbeat of any peer was received since the start, also of one that has expired.
    bool everKnewPeer = false;
    std::vector<PeerContact> peers;
    // Since the last time at which this process detected that it had been paused for more than two
    // heartbeat periods, or at which no peer had a fresh heartbeat. A takeover may be known only to
    // peers whose heartbeats have not been received since then.
    std::optional<Duration> stallAge;
};

enum class WorkDecision {
    Allowed,
    Isolated, // the deployment may have accepted a change that this instance does not have
};

inline constexpr EnumName<WorkDecision> workDecisionNames[] = {
        {WorkDecision::Allowed, "allowed"},
        {WorkDecision::Isolated, "isolated"},
};

// Returns whether new work may be accepted. An instance that never knew a peer is always allowed:
// it is the only one of its deployment.
WorkDecision mayAcceptWork(const ContactView &view, const IsolationLimits &limits);

// Whether the holder of a broker role may grant, with the reason.
enum class GrantAuthority {
    LeaseHeld, // may grant: the lease was renewed recently enough
    StoreDown, // may grant: no reachable peer can have acquired the role
    NeverRenewed, // the lease was never renewed
    NoPeer, // no fresh heartbeat from a reachable peer, or no reachable peer: it may have the role
    Stalled, // after a pause or a time without fresh peers, some heartbeats may still be missing
    PeerReachesStore, // a peer is able to acquire the role
    PeerReachedStore, // a peer had contact with the store after the lease may have expired
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

// Returns whether the authority allows a grant.
constexpr bool isGranting(GrantAuthority authority)
{
    return authority == GrantAuthority::LeaseHeld || authority == GrantAuthority::StoreDown;
}

// Returns whether the holder of a broker role may grant. renewalAge is the time since the start of
// the last lease renewal that succeeded, or since the role was acquired.
GrantAuthority mayGrant(std::optional<Duration> renewalAge, const ContactView &view,
                        const IsolationLimits &limits);

// Returns whether there are peers that send in each period and none of them has a fresh heartbeat.
bool areAllPeersStale(const ContactView &view, const IsolationLimits &limits);

// Returns the index of the peer to fetch the configuration from: the reachable peer with the most
// recent store contact. Empty if this instance reaches the store itself, or if no peer does.
std::optional<std::size_t> selectConfigurationPeer(const ContactView &view,
                                                   const IsolationLimits &limits);

} // namespace chestnutvane
