// The broker of one unit. It admits requests to the unit's targets by granting slots, and queues or
// refuses the requests for which no slot is free.
//
// The broker does no I/O. Each call appends its effects to a list, and the daemon carries them out.
// A call that may free a slot also grants free slots to queued requests. In steady state no call
// allocates memory. The "random" parameters are random numbers for the choice among equal targets.
//
// Example:
//
//   SlotBroker broker(epoch, settings);
//   BrokerEffects effects;
//   broker.setTargets(targets, now, random, effects);
//   broker.allowGrantsUntil(decision.grantUntil);
//   broker.startRebuild(otherHolders, now, random, effects);
//   broker.request(request, SuspectVerdict::Allowed, now, random, effects);
//   for (const BrokerEffect &effect : effects)
//       send(effect);
//
// Not thread-safe: the daemon calls it with the broker lock held.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <variant>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/crash_suspects.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

// The configuration of a target, from the rules and the target's own reports.
struct BrokerTarget
{
    TargetId id = 0;
    int slots = 1;
    bool drained = false; // a drain rule applies; gets no new grants
    bool leaving = false; // reports that it is shutting down; gets no new grants
};

// A reading of a target's health or load endpoint.
struct TargetReport
{
    TargetId target = 0;
    Duration age{}; // time since the target measured the load
    double load = 0; // share of its slots in use; 1 and above: the target is full
    bool leaving = false; // the target is shutting down
    std::uint64_t startId = 0; // hash of Vane-Start-Id; 0: not given
};

struct BrokerSettings
{
    std::size_t maxQueued = 4096; // bounds memory; the estimated wait usually refuses earlier
    Duration longestGrantTime = maxGrantTime; // the service's longest class deadline, if shorter
    Duration initialServiceTime = Milliseconds(20); // estimate before the first measurement
    // The targets of the first setTargets() get all their slots at once instead of ramping up from
    // one slot. Set it for a takeover, after which the targets are already warm.
    bool warmStart = false;
};

// Sent to the holder, which may then send the request to the target. The grant expires
// GrantRequest::remaining (at most maxGrantTime) after the holder sent its grant request.
struct GrantEffect
{
    HolderId holder;
    std::uint64_t sequence = 0;
    GrantId id;
    TargetId target = 0;
    bool probe = false; // tests whether a target that refused connections accepts them again
    bool alone = false; // the request has the target to itself
};

// Sent to the holder, which must not send the request to a target.
struct RefusalEffect
{
    HolderId holder;
    std::uint64_t sequence = 0;
    Reason reason = Reason::None; // Overloaded, NoTarget, DeadlineExceeded or CrashSuspect
};

// To be logged: the broker reclaimed a grant that its holder did not release.
struct ReclaimEffect
{
    HolderId holder;
    GrantId id;
    TargetId target = 0;
};

// To be passed to CrashSuspects::recordCrash(): a request with the fingerprint was in flight when
// the target crashed.
struct ChargeCrashEffect
{
    TargetId target = 0;
    std::uint64_t fingerprint = 0;
};

// To be passed to CrashSuspects::clearAfterSuccess(): the suspect request ran alone on a target and
// completed.
struct ClearSuspectEffect
{
    std::uint64_t fingerprint = 0;
};

using BrokerEffect = std::variant<GrantEffect, RefusalEffect, ReclaimEffect, ChargeCrashEffect,
                                  ClearSuspectEffect>;
using BrokerEffects = std::vector<BrokerEffect>;

// The state of a broker for status pages, heartbeats and tests.
struct BrokerStatus
{
    std::size_t queued = 0;
    int inUse = 0; // includes grants of earlier epochs and slots unconfirmed during a rebuild
    int effectiveSlots = 0; // slots that may be used now
    int slots = 0; // configured slots
    bool rebuilding = false; // whether reports of held grants are outstanding
    Duration meanServiceTime{};
};

class SlotBroker
{
public:
    // The epoch is that of the takeover of the broker role. The broker grants nothing before the
    // first call of allowGrantsUntil().
    SlotBroker(std::uint64_t epoch, const BrokerSettings &settings);
    ~SlotBroker();
    SlotBroker(SlotBroker &&) noexcept;
    SlotBroker &operator=(SlotBroker &&) noexcept;

    [[nodiscard]] std::uint64_t epoch() const;

    // Starts the rebuild after a takeover: the broker learns which grants of earlier epochs are
    // still in use. The list must contain every incarnation that may hold such a grant: those with
    // a valid store lease, those known from membership, and those whose lease expired less than
    // BrokerSettings::longestGrantTime ago. The rebuild ends when each of them has reported or has
    // been dead for longestGrantTime. Until then the broker grants only slots that a holder
    // reported as in use and has released since. Must be called once, after the first setTargets()
    // and before the first request.
    void startRebuild(std::span<const HolderId> holders, TimePoint now, std::uint64_t random,
                      BrokerEffects &effects);

    // The live incarnations that have not reported their grants to the rebuild yet. The caller asks
    // them again.
    [[nodiscard]] std::vector<HolderId> unreported() const;

    // Grants are issued only before this time (RoleDecision::grantUntil).
    void allowGrantsUntil(TimePoint grantUntil);

    // Replaces the set of targets. A target that is not in the set gets no new grants, but its
    // grants in use still count.
    void setTargets(std::span<const BrokerTarget> targets, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // Applies a report of a target. No report adds slots, and a missing report has no effect.
    void targetReport(const TargetReport &report, TimePoint now, std::uint64_t random,
                      BrokerEffects &effects);

    // Records that a target refused the connection of a health probe. Requests that recently lost
    // their connection to it are then charged with a crash.
    void probeRefused(TargetId target, TimePoint now, BrokerEffects &effects);

    // Grants, queues or refuses a request. Repeating a request that is queued or granted has no
    // effect.
    void request(const GrantRequest &request, SuspectVerdict verdict, TimePoint now,
                 std::uint64_t random, BrokerEffects &effects);

    // Removes a request from the queue. A grant that was already issued stays in use until
    // release(), or until it is missing from the holder's lists of held grants.
    void cancel(const HolderId &holder, std::uint64_t sequence, TimePoint now, std::uint64_t random,
                BrokerEffects &effects);

    // Ends a grant. The service time is the time from sending the request to the complete response;
    // it is used only with GrantResult::Succeeded. An unknown grant id has no effect.
    void release(const HolderId &holder, const GrantId &id, GrantResult result,
                 Duration serviceTime, TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Applies a holder's list of held grants, sent periodically and in reply to a rebuild request.
    // Reclaims grants that are missing from two lists.
    void heldReport(const GrantsHeld &report, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // To be called when a holder is known to be dead: its lease has expired or its instance has a
    // new incarnation. Drops its queued requests. Its grants count as in use until they expire,
    // because the targets may still run the requests.
    void holderDied(const HolderId &holder, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // Refuses expired requests, reclaims expired grants of dead holders and grants free slots. To
    // be called about every 10 ms.
    void tick(TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Free slots less queued requests, as a share of the configured slots, 0 to 1.
    [[nodiscard]] double headroom() const;

    [[nodiscard]] BrokerStatus status() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace chestnutvane
