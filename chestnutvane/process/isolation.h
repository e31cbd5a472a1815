// Decides from the ages of contacts whether an instance may take new work, whether it may grant as
// a broker, and which peer it learns the configuration from (design 7.1, 7.3, 10).
//
// Example:
//
//   if (mayTakeWork(view, limits) == WorkVerdict::Isolated)
//       refuse with 503 and Reason::Isolated;
//   if (const GrantVerdict verdict = mayGrant(renewalAge, view, limits); !isGranting(verdict))
//       refuse the grant and log the verdict;
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
    Milliseconds peerSilence{1500}; // a peer silent for longer is not reachable
    // A broker without a valid lease needs every reachable peer heard within three heartbeats. So
    // it grants for at most this long after it was cut off and replaced; the rebuild of the new
    // broker (design 7.1) counts such grants.
    Milliseconds freshPeer{600};
    // Leases are renewed each 1.5 s, so an instance that reaches the store has a younger contact.
    // It must stay below leaseTtl - leaseMargin - 1.5 s = 2.5 s: then, when the store goes down,
    // the contacts of the peers are older than this by the time a broker's own lease runs out.
    Milliseconds presentContact{2000};
};

// What is known of one peer.
struct PeerContact
{
    Duration heardAge{}; // since its last heartbeat arrived
    std::optional<Duration> storeContactAge; // as reported in that heartbeat
};

struct ContactView
{
    std::optional<Duration> storeContactAge; // since the end of the last answered store call
    bool everKnewPeer = false; // since the start, also peers that are gone
    std::vector<PeerContact> peers;
    // Since the last moment at which this process noticed a pause of its own of more than two
    // heartbeats, or at which no peer was fresh. Peers not heard since then may know what the ones
    // heard do not.
    std::optional<Duration> stallAge;
};

enum class WorkVerdict {
    Allowed,
    Isolated, // a change may have been accepted without this instance
};

inline constexpr EnumName<WorkVerdict> workVerdictNames[] = {
        {WorkVerdict::Allowed, "allowed"},
        {WorkVerdict::Isolated, "isolated"},
};

// Tells whether new work may be taken. An instance that never knew a peer is always allowed: it is
// the only one of its deployment.
WorkVerdict mayTakeWork(const ContactView &view, const IsolationLimits &limits);

enum class GrantVerdict {
    LeaseHeld,
    StoreDown, // may grant: nobody reachable can have taken the role over
    NeverRenewed,
    NoPeer, // a reachable peer was not heard lately, or there is none: it may hold the role now
    Stalled, // not all peers can have been heard since a pause or since all were silent
    PeerReachesStore, // a peer can take the role over
    PeerReachedStore, // a peer was in contact with the store after the lease may have lapsed
};

inline constexpr EnumName<GrantVerdict> grantVerdictNames[] = {
        {GrantVerdict::LeaseHeld, "lease-held"},
        {GrantVerdict::StoreDown, "store-down"},
        {GrantVerdict::NeverRenewed, "never-renewed"},
        {GrantVerdict::NoPeer, "no-peer"},
        {GrantVerdict::Stalled, "stalled"},
        {GrantVerdict::PeerReachesStore, "peer-reaches-store"},
        {GrantVerdict::PeerReachedStore, "peer-reached-store"},
};

// Tells whether a verdict allows a grant.
constexpr bool isGranting(GrantVerdict verdict)
{
    return verdict == GrantVerdict::LeaseHeld || verdict == GrantVerdict::StoreDown;
}

// Tells whether the holder of a broker role may grant. renewalAge is the time since the start of
// the last lease renewal that succeeded, or since the role was taken.
GrantVerdict mayGrant(std::optional<Duration> renewalAge, const ContactView &view,
                      const IsolationLimits &limits);

// Returns the index of the reachable peer with the youngest store contact, if this instance has no
// present contact and that peer has. The configuration is then fetched from it.
std::optional<std::size_t> configurationPeer(const ContactView &view,
                                             const IsolationLimits &limits);

} // namespace chestnutvane
