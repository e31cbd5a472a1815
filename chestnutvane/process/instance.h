// What lives as long as the process: settings, identity, connections and the shared tables.
//
// The services of the daemon work on one Instance. Locks are taken in the order of LockRank, and no
// lock is held across I/O or a callback.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/connection/peer_link.h"
#include "chestnutvane/process/config_holder.h"
#include "chestnutvane/process/drain_state.h"
#include "chestnutvane/process/grant_holder.h"
#include "chestnutvane/process/guarded.h"
#include "chestnutvane/process/headroom.h"
#include "chestnutvane/process/http_store.h"
#include "chestnutvane/process/isolation.h"
#include "chestnutvane/process/membership.h"
#include "chestnutvane/process/metrics.h"
#include "chestnutvane/process/move_progress.h"
#include "chestnutvane/process/once_table.h"
#include "chestnutvane/process/settings.h"
#include "chestnutvane/process/store.h"
#include "chestnutvane/process/workers.h"
#include "chestnutvane/request/retry_policy.h"
#include "chestnutvane/version/version.h"

namespace chestnutvane {

// Service times of one unit as this instance saw them.
struct UnitLatency
{
    // The time constants follow from the rule: the last step interval beside the long-term mean.
    DecayingSum recentMs{Milliseconds(5000)};
    DecayingSum recentCount{Milliseconds(5000)};
    DecayingSum longMs{Milliseconds(300'000)};
    DecayingSum longCount{Milliseconds(300'000)};
};

// Contacts with the store and the own lease there.
struct StoreContact
{
    std::optional<TimePoint> lastAnswer; // end of the last answered call, see noteStoreCall()
    // Digests of the keys and versions that each watched prefix last held.
    std::map<std::string, std::uint64_t> watched;
    bool reachable = false; // the last call was answered
    TimePoint reachableSince; // end of the last outage
    std::uint64_t leaseId = 0; // 0: none
    TimePoint renewalStart; // start of the last renewal that succeeded
    bool leaseEverHeld = false;
    bool leaseLost =
            false; // the lease lapsed after it was held; cleared when all roles are given up
};

// Guarded by the membership lock.
struct MembershipState
{
    explicit MembershipState(MemberRecord self) : table(std::move(self), {}), moves({}) { }

    MembershipTable table;
    MoveProgress moves;
    bool movesRead = false; // the store's moves were read since the start
    HeadroomTable headroom;
    LinkUseTable links;
    std::map<std::pair<std::string, std::string>, UnitLatency> latencies; // by service, region
    StoreContact store;
    bool everKnewPeer = false;
    bool isolated = false;
    bool leaving = false;
    TimePoint lastBeat; // of the heartbeat timer, to notice that the process was paused
    std::optional<TimePoint> stalledAt;
};

// Guarded by the configuration lock.
struct ConfigurationState
{
    ConfigHolder holder;
    std::shared_ptr<const Version> version; // null until a revision was compiled
    bool storeRead = false;
    bool ready = false;
    DrainState drains;
};

struct Instance
{
    Instance(Settings chosen, std::string ownIncarnation, HolderId holder, MemberRecord self);

    const Settings settings;
    const std::string incarnation; // 32 hexadecimal digits
    const HolderId holderId; // the same as two numbers

    Metrics metrics;
    HttpStoreCounters storeCounters;
    Store store;
    // Declared before the clients, whose threads post to it until they are destroyed.
    std::unique_ptr<Workers> workers;
    std::unique_ptr<HttpClient> targets; // to targets
    std::unique_ptr<HttpClient> storeClient; // to the store; a full target must not delay it
    std::unique_ptr<PeerClient> peers;

    Guarded<MembershipState, LockRank::Membership> membership;
    Guarded<ConfigurationState, LockRank::Configuration> configuration;
    Guarded<GrantHolder, LockRank::GrantHolder> grants;
    Guarded<OnceTable, LockRank::OnceTable> once;
    Guarded<RetryBudget, LockRank::Metrics> retryBudget;

    // The revision in force, or null.
    std::shared_ptr<const Version> version();

    // The region of this instance under the revision in force, or empty.
    std::string region();

    // Yields the entries of a prefix at once if there is no afterVersion, else after the next
    // change or at the end of the wait, and notes the call.
    void watchStore(const std::string &prefix, std::optional<std::uint64_t> afterVersion,
                    std::function<void(Result<WatchResult, StoreError>)> callback);

    // Notes the end of a store call. "answered" is false if the store could not be reached. Without
    // news the answer is no contact: it tells nothing that a role could be taken over for, and a
    // watch that was sent in time may end long after the store became too slow for other calls.
    void noteStoreCall(bool answered, TimePoint now, bool hasNews = true);
};

// Reads an incarnation as a number; zero if the text is none.
HolderId holderIdOf(const std::string &incarnation);

// What the process knows of its contacts, for the isolation decisions.
ContactView contactView(const MembershipState &state, TimePoint now);

// A random 64-bit number from a generator of the calling thread.
std::uint64_t randomNumber();

// Whether a store result means that the store answered.
template <class T>
bool isStoreAnswer(const Result<T, StoreError> &result)
{
    if (isOk(result))
        return true;
    const auto failure = error(result).failure;
    return failure != StoreFailure::Unavailable && failure != StoreFailure::ResponseLost;
}

} // namespace chestnutvane
