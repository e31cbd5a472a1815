// The broker roles of this instance: takes and gives up roles through the store, runs the broker of
// each unit, and answers the peer messages about grants.
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

    // Starts the watches and timers.
    void start();

    // Handles a grant request, of this instance or of a peer. The callback is called once; the
    // answer is BrokerUnreachable if this instance is not the broker of the unit.
    void request(const GrantRequestMessage &message, AnswerCallback callback);

    // Forgets a queued request. Its callback is dropped.
    void cancel(UnitId unit, const HolderId &holder, std::uint64_t sequence);

    void release(const GrantRelease &message);
    void applyHeldList(const GrantsHeld &report);

    // The instance at which a unit's broker was last seen; nothing if there is none.
    struct Location
    {
        bool local = false;
        std::string peerAddress;
    };
    std::optional<Location> findBroker(const std::string &service, const std::string &region);

    // The units whose broker runs here, for the heartbeat.
    std::vector<HeldUnit> heldUnits();
    std::vector<UnitHeadroom> headroom();
    std::vector<CrashCount> crashCounts();
    void mergeCrashCounts(const std::vector<CrashCount> &counts);

    // The suspects known to this instance, with its region; empty before a revision is in force.
    struct SuspectList
    {
        std::string region;
        std::vector<SuspectReport> suspects;
    };
    SuspectList suspects();

    // Clears a suspect on the word of an operator. Heartbeats carry the clear to all instances.
    // Returns the crashes that were counted here.
    std::uint32_t clearSuspect(std::uint64_t fingerprint);

    // Gives up all roles and calls back when each was written or the store did not answer.
    void relinquishRoles(std::function<void()> done);

    // Units with their status, for operators.
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
        std::optional<TimePoint> freeSince;
        bool writePending = false; // a compare-and-swap is on its way
        std::optional<SlotBroker> broker;
        bool rebuilding = false;
        std::uint64_t targetsRevision = 0; // revision whose targets the broker has
        std::map<std::pair<HolderId, std::uint64_t>, AnswerCallback> answerCallbacks;
        std::map<TargetId, std::pair<std::uint64_t, bool>> healthReports; // start id, leaving
    };
    struct State
    {
        State(const HolderId &self) : suspects(self, "") { }

        std::map<UnitId, Unit> units;
        std::set<std::string> leasedIncarnations;
        bool leasesKnown = false;
        bool rolesKnown = false;
        std::map<std::string, RoleEntry> entries; // by store key
        CrashSuspects suspects;
        std::string suspectsRegion;
    };
    // Instances heard of. Those of other regions send requests here only when their own region has
    // no usable target, so one that no longer answers is not waited for: the unit would be without
    // slots for the longest deadline each time an instance elsewhere dies.
    struct KnownMembers
    {
        std::set<HolderId> all;
        std::set<HolderId> holders; // of the own region, and those of other regions that answer
    };
    // The brokers of other instances, as of one moment. Immutable.
    struct RemoteBrokers
    {
        TimePoint builtAt;
        std::map<UnitId, std::pair<std::uint64_t, std::string>> units; // epoch, peer address
    };
    // Answers to be given after the lock is released.
    using Answers = std::vector<std::pair<AnswerCallback, GrantAnswer>>;
    // What a decision about the roles takes from membership, as of one moment.
    struct MembershipSnapshot
    {
        std::string region; // the own one
        RoleInput input; // without the members and what concerns one unit
        std::vector<RoleMember> members; // of the own region
        KnownMembers knownMembers;
    };
    // What is to be done after the lock is released.
    struct RoleEffects
    {
        Answers answers;
        std::vector<CompareAndSwap> writes;
        bool hasBroker = false; // a broker runs here
        bool opened = false; // a broker was opened
    };
    // The holders that a new broker has not heard from.
    struct PendingRebuild
    {
        RebuildRequest request;
        std::vector<HolderId> holders;
    };

    std::shared_ptr<const RemoteBrokers> remoteBrokers(TimePoint now);
    void watchRoles(std::optional<std::uint64_t> afterVersion);
    void watchLeases(std::optional<std::uint64_t> afterVersion);
    // Takes the lease keys of the store; an incarnation whose key is gone is proven dead.
    void applyLeases(const std::vector<StoreEntry> &entries);
    // Incarnations that may hold a grant of an earlier epoch of a unit of the own region.
    static std::vector<HolderId> possibleHolders(const State &state,
                                                 const KnownMembers &knownMembers);
    void decideRoles();
    // Takes the membership lock.
    MembershipSnapshot snapshotMembership(const Version &version, TimePoint now);
    // Decides about the unit of a service in the own region, if it has or had targets.
    void decideUnit(State &state, const Version &version, const std::string &service,
                    const MembershipSnapshot &snapshot, TimePoint now, RoleEffects &effects);
    void decideRole(State &state, Unit &unit, const Version &version,
                    const MembershipSnapshot &snapshot, TimePoint now, RoleEffects &effects);
    // Whether the store has no lease key of the incarnation that the unit's record names.
    static bool isHolderLeaseEnded(const State &state, const Unit &unit);
    void writeRole(CompareAndSwap write);
    void openBroker(State &state, Unit &unit, const Version &version, const RoleDecision &decision,
                    std::span<const HolderId> holders, TimePoint now, Answers &answers);
    static void closeBroker(Unit &unit, Answers &answers);
    void refreshTargets(State &state, Unit &unit, const Version &version, TimePoint now,
                        Answers &answers);
    static void applyEffects(State &state, Unit &unit, const BrokerEffects &effects, TimePoint now,
                             Answers &answers);
    // Calls a broker under the lock and gives the answers after it.
    template <class Call>
    void withBroker(UnitId id, Call call);
    void requestHeldLists();
    std::vector<PendingRebuild> pendingRebuilds(); // takes the broker lock
    std::map<HolderId, std::string> peerAddresses(); // takes the membership lock
    void requestHeldList(const RebuildRequest &request, const HolderId &holder,
                         const std::map<HolderId, std::string> &addresses);
    // Stops waiting for holders whose lease key is gone.
    void markDeadHolders(const PendingRebuild &pendingRebuild);
    void tick();
    void probeTargets();
    void probeTarget(UnitId unit, const TargetRule &target);
    void onProbeResult(UnitId unit, TargetId target, const Result<HttpResponse, HttpError> &result);
    static void deliverAnswers(Answers &answers);

    Instance &instance_;
    Guarded<State, LockRank::Broker> state_;
    SharedSnapshot<RemoteBrokers> remote_;
};

} // namespace chestnutvane
