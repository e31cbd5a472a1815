// Runs the slot brokers of the units whose broker role this instance holds. Acquires and
// relinquishes the roles through the store and handles the peer messages about grants.
//
// Example:
//
//   BrokerService brokers(instance);
//   brokers.start();
//   brokers.request(message, [](GrantAnswer answer) { ... });
//
// Thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chestnutvane/process/broker_role.h"
#include "chestnutvane/process/crash_suspects.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/shared_snapshot.h"
#include "chestnutvane/process/slot_broker.h"

namespace chestnutvane {

class BrokerService
{
public:
    using AnswerCallback = std::function<void(GrantAnswer)>;

    explicit BrokerService(Instance &instance);

    // Starts the store watches and the periodic tasks.
    void start();

    // Handles a grant request of this instance or of a peer. The callback is called at most once:
    // never after cancel(), else once. The answer is BrokerUnreachable if this instance does not
    // hold the broker role of the unit.
    void request(const GrantRequestMessage &message, AnswerCallback callback);

    // Removes a queued request and discards its callback without calling it.
    void cancel(UnitId unitId, const HolderId &holder, std::uint64_t sequence);

    void release(const GrantRelease &message);

    // Applies a holder's list of its grants to the unit's broker, if it runs here.
    void applyHeldList(const GrantsHeld &report);

    // Where the broker of a unit runs.
    struct Location
    {
        bool local = false;
        std::string peerAddress; // empty if local
    };

    // Returns the instance that holds the broker role of a unit, as far as this instance knows, or
    // nothing if no live instance is known to hold it. Up to 20 ms out of date.
    std::optional<Location> findBroker(const std::string &service, const std::string &region);

    // The following three return what this instance publishes in its heartbeats.

    // The units whose broker runs here.
    std::vector<HeldUnit> heldUnits();
    std::vector<UnitHeadroom> headroom();
    std::vector<CrashCount> crashCounts();

    // Merges the crash counts of a peer's heartbeat.
    void mergeCrashCounts(const std::vector<CrashCount> &counts);

    // The suspects (requests that may crash targets) that this instance knows, with its region.
    // Both are empty until a revision is in force.
    struct SuspectList
    {
        std::string region;
        std::vector<SuspectReport> suspects;
    };
    SuspectList suspects();

    // Clears a suspect at the request of an operator; heartbeats propagate this to all instances.
    // Returns the number of crashes that this instance had counted for it.
    std::uint32_t clearSuspect(std::uint64_t fingerprint);

    // Relinquishes all roles; the instance must be marked as leaving in the membership state. Calls
    // "done" when no broker runs here and no role write is pending. Failed writes are retried, so
    // the caller must limit its wait for an unreachable store.
    void relinquishRoles(std::function<void()> done);

    // Status of the broker of one unit, for operators.
    struct UnitReport
    {
        std::string service;
        std::string region;
        std::uint64_t epoch = 0;
        BrokerStatus status;
        double headroom = 0;
    };
    std::vector<UnitReport> reports();

private:
    struct Unit
    {
        std::string service;
        std::string region;
        std::optional<RoleEntry> entry; // as last read from the store
        std::optional<TimePoint> freeSince; // set while nobody holds the role
        bool writePending = false; // a compare-and-swap is in flight
        std::optional<SlotBroker> broker;
        bool rebuilding = false;
        std::uint64_t targetsRevision = 0; // revision of the targets that the broker uses
        std::map<std::pair<HolderId, std::uint64_t>, AnswerCallback> answerCallbacks;
        std::map<TargetId, std::pair<std::uint64_t, bool>> healthReports; // (start id, leaving)
    };
    struct State
    {
        State(const HolderId &self) : suspects(self, "") { }

        std::map<UnitId, Unit> units;
        std::set<std::string> leasedIncarnations;
        bool leasesKnown = false; // the store has listed the lease keys
        bool rolesKnown = false; // the store has listed the role keys
        std::map<std::string, RoleEntry> entries; // by store key
        CrashSuspects suspects;
        std::string suspectsRegion;
    };
    // The members in the membership table. Instances of other regions send requests here only
    // when their own region has no usable target. A rebuild therefore doesn't wait for those that
    // no longer respond: otherwise each death of an instance in another region would leave the
    // unit without slots for the longest deadline.
    struct KnownMembers
    {
        std::set<HolderId> all;
        std::set<HolderId> holders; // all of the own region, and the responsive ones of others
    };
    // Immutable snapshot of the brokers on other instances.
    struct RemoteBrokers
    {
        TimePoint builtAt;
        std::map<UnitId, std::pair<std::uint64_t, std::string>> units; // epoch, peer address
    };
    // Callbacks with their answers, to be called after the lock is released.
    using Answers = std::vector<std::pair<AnswerCallback, GrantAnswer>>;
    // Snapshot of the membership state on which the role decisions are based.
    struct MembershipSnapshot
    {
        std::string region; // the own one
        RoleInput input; // without the members and the fields of one unit
        std::vector<RoleMember> members; // of the own region
        KnownMembers knownMembers;
    };
    // Actions to be carried out after the lock is released.
    struct RoleEffects
    {
        Answers answers;
        std::vector<CompareAndSwap> writes;
        bool hasBroker = false; // at least one broker runs here
        bool opened = false; // at least one broker was started
    };
    // The rebuild of a new broker, with the holders that have not reported yet.
    struct PendingRebuild
    {
        RebuildRequest request;
        std::vector<HolderId> holders;
    };

    std::shared_ptr<const RemoteBrokers> remoteBrokers(TimePoint now);
    void watchRoles(std::optional<std::uint64_t> afterVersion);
    void watchLeases(std::optional<std::uint64_t> afterVersion);
    // Applies the lease keys of the store. An incarnation whose key no longer exists is dead.
    void applyLeases(const std::vector<StoreEntry> &entries);
    // Incarnations that may hold a grant of an earlier epoch of a unit of the own region.
    static std::vector<HolderId> possibleHolders(const State &state,
                                                 const KnownMembers &knownMembers);
    void decideRoles();
    // Acquires the membership lock.
    MembershipSnapshot snapshotMembership(const Version &version, TimePoint now);
    // Decides the role of a service's unit in the own region, if the unit has or had targets.
    void decideUnit(State &state, const Version &version, const std::string &service,
                    const MembershipSnapshot &snapshot, TimePoint now, RoleEffects &effects);
    void decideRole(State &state, Unit &unit, const Version &version,
                    const MembershipSnapshot &snapshot, TimePoint now, RoleEffects &effects);
    // Whether the store has no lease key of the incarnation named in the unit's role record.
    static bool isHolderLeaseEnded(const State &state, const Unit &unit);
    void writeRole(CompareAndSwap write);
    void openBroker(State &state, Unit &unit, const Version &version, const RoleDecision &decision,
                    std::span<const HolderId> holders, TimePoint now, Answers &answers);
    static void closeBroker(Unit &unit, Answers &answers);
    void refreshTargets(State &state, Unit &unit, const Version &version, TimePoint now,
                        Answers &answers);
    static void applyEffects(State &state, Unit &unit, const BrokerEffects &effects, TimePoint now,
                             Answers &answers);
    // Calls a broker under the lock and delivers the answers after the lock is released.
    template <class Call>
    void withBroker(UnitId id, Call call);
    // Requests the lists of held grants that the rebuilding brokers still lack.
    void requestHeldLists();
    std::vector<PendingRebuild> pendingRebuilds(); // acquires the broker lock
    std::map<HolderId, std::string> peerAddresses(); // acquires the membership lock
    void requestHeldList(const RebuildRequest &request, const HolderId &holder,
                         const std::map<HolderId, std::string> &addresses);
    // Reports holders without a lease key to the broker as dead, so that it doesn't wait for their
    // lists.
    void markDeadHolders(const PendingRebuild &pendingRebuild);
    void tick();
    void probeTargets();
    void probeTarget(UnitId unit, const TargetRule &target);
    void onProbeResult(UnitId unitId, TargetId target,
                       const Result<HttpResponse, HttpError> &result);
    static void deliverAnswers(Answers &answers);

    Instance &instance_;
    Guarded<State, LockRank::Broker> state_;
    SharedSnapshot<RemoteBrokers> remote_;
};

} // namespace chestnutvane
