// State of one daemon process: settings, identity, connections and the tables that its services
// share. It lives as long as the process.
//
// All services of the daemon use the same Instance. Locks are acquired in the order of LockRank,
// and no lock is held across I/O or a callback.
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

// Service times of one unit as measured by this instance.
struct UnitLatency
{
    // Steering compares the mean of the last step interval with the long-term mean, which sets the
    // two time constants.
    DecayingSum recentMs{Milliseconds(5000)};
    DecayingSum recentCount{Milliseconds(5000)};
    DecayingSum longMs{Milliseconds(300'000)};
    DecayingSum longCount{Milliseconds(300'000)};
};

// Contact with the store, and the own lease in it.
struct StoreContact
{
    std::optional<TimePoint> lastAnswer; // end of the last answered call, see recordStoreCall()
    // Digest of the keys and versions of the last watch result, by watched prefix.
    std::map<std::string, std::uint64_t> watchedDigests;
    bool reachable = false; // whether the store answered the last call that proves either
    TimePoint reachableSince; // end of the last outage
    std::uint64_t leaseId = 0; // 0: none
    TimePoint renewalStart; // start of the last renewal that succeeded
    bool leaseEverHeld = false;
    bool leaseLost = false; // the lease expired; cleared when all roles are relinquished
};

// Guarded by the membership lock.
struct MembershipState
{
    explicit MembershipState(MemberRecord self) : table(std::move(self), {}), moves({}) { }

    MembershipTable table;
    MoveProgress moves;
    bool movesRead = false; // whether the moves in the store were read since the start
    HeadroomTable headroom;
    LinkUseTable links;
    std::map<std::pair<std::string, std::string>, UnitLatency> latencies; // by service, region
    StoreContact store;
    bool everKnewPeer = false;
    bool isolated = false;
    bool leaving = false;
    TimePoint lastHeartbeatRun; // of the heartbeat timer; a gap shows that the process was paused
    std::optional<TimePoint> stalledAt; // see ContactView::stallAge
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

// State and connections of the process that its services share.
struct Instance
{
    Instance(Settings processSettings, std::string ownIncarnation, HolderId holder,
             MemberRecord self);

    const Settings settings;
    const std::string incarnation; // 32 hexadecimal digits
    const HolderId holderId; // the incarnation as two 64-bit numbers

    Metrics metrics;
    HttpStoreCounters storeCounters;
    Store store;
    // Declared before the clients: their threads post tasks to it until the clients are destroyed.
    std::unique_ptr<Workers> workers;
    std::unique_ptr<HttpClient> targets; // for requests to targets
    // For requests to the store. Separate, so that an overloaded target does not delay them.
    std::unique_ptr<HttpClient> storeClient;
    std::unique_ptr<PeerClient> peers;

    Guarded<MembershipState, LockRank::Membership> membership;
    Guarded<ConfigurationState, LockRank::Configuration> configuration;
    Guarded<GrantHolder, LockRank::GrantHolder> grants;
    Guarded<OnceTable, LockRank::OnceTable> once;
    Guarded<RetryBudget, LockRank::Metrics> retryBudget;

    // Returns the active revision, or null.
    std::shared_ptr<const Version> version();

    // Returns the region of this instance under the active revision, or an empty string.
    std::string region();

    // Fetches the entries of a prefix: at once without afterVersion, else after the next change or
    // when the wait of 10 s ends. Records the store call.
    void watchStore(const std::string &prefix, std::optional<std::uint64_t> afterVersion,
                    std::function<void(Result<WatchResult, StoreError>)> callback);

    // Records the end of a store call. "answered" is false if the store could not be reached. A
    // call whose end says nothing about the store at that time is not a proof: it is counted and
    // changes neither the last contact nor whether the store is reachable. Two ends of a watch,
    // which may come 12 s after its start, are no proof. An answer without changes gives no reason
    // to acquire a role and may come long after the store became too slow for other calls. A
    // failure may be that of an outage that is over, if another call was answered since the start.
    void recordStoreCall(bool answered, TimePoint now, bool isProof = true);
};

// Parses an incarnation of 32 hexadecimal digits; returns zero for a text of another length.
HolderId holderIdOf(const std::string &incarnation);

// Returns the contacts of this instance with the store and its peers, for the isolation decisions.
ContactView contactView(const MembershipState &state, TimePoint now);

// Returns a random 64-bit number from a generator that belongs to the calling thread.
std::uint64_t randomNumber();

// Returns whether the result of a store call means that the store answered, also with an error.
template <class T>
bool isStoreAnswer(const Result<T, StoreError> &result)
{
    if (isOk(result))
        return true;
    const auto failure = error(result).failure;
    return failure != StoreFailure::Unavailable && failure != StoreFailure::ResponseLost;
}

} // namespace chestnutvane
