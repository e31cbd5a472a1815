// The broker of one unit: grants the slots of the unit's targets to requests.
//
// The broker does no I/O. Each call appends its effects to a list, which the daemon sends. Calls
// that can free or gain a slot also serve the queue. In steady state no call allocates memory.
//
// Example:
//
//   SlotBroker broker(epoch, settings);
//   BrokerEffects effects;
//   broker.setTargets(targets, now, random, effects);
//   broker.allowGrantsUntil(decision.grantUntil);
//   broker.startRebuild(otherHolders, now, random, effects);
//   broker.request(request, SuspectVerdict::Clear, now, random, effects);
//   for (const BrokerEffect &effect : effects)
//       send(effect);
//
// Not thread-safe: the daemon calls it under the broker lock.
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

// A target as the rules and its own reports have it.
struct BrokerTarget
{
    TargetId id = 0;
    int slots = 1;
    bool drained = false; // by a drain rule; takes no new grants
    bool leaving = false; // by its own report; takes no new grants
};

// What a target's health or load endpoint said.
struct TargetReport
{
    TargetId target = 0;
    Duration age{}; // time since the target measured it
    double load = 0; // 0 to 1, share of its slots in use; 1 and above: no more work wanted
    bool leaving = false;
    std::uint64_t startId = 0; // hash of Vane-Start-Id; 0: not given
};

struct BrokerSettings
{
    std::size_t maxQueued = 4096; // bounds memory; the estimated wait is the usual bound
    Duration longestGrantTime = maxGrantTime; // longest class deadline of the service, if shorter
    Duration initialServiceTime = Milliseconds(20); // assumed until the first measurement
    bool warmStart = false; // the first setTargets() is no cold start; set it for a takeover
};

// Sent to the holder: it may send the request to the target. The grant ends at the time at which
// the holder sent its request plus GrantRequest::remaining (at most maxGrantTime).
struct GrantEffect
{
    HolderId holder;
    std::uint64_t sequence = 0;
    GrantId id;
    TargetId target = 0;
    bool probe = false; // tests a target that refused connections
    bool alone = false; // no other request runs on the target
};

// Sent to the holder: the request does not run.
struct RefusalEffect
{
    HolderId holder;
    std::uint64_t sequence = 0;
    Reason reason = Reason::None; // Overloaded, NoTarget, DeadlineExceeded or CrashSuspect
};

// For the log: a grant whose release never came was taken back.
struct ReclaimEffect
{
    HolderId holder;
    GrantId id;
    TargetId target = 0;
};

// To be charged by CrashSuspects::charge(): the fingerprint was in flight when the target crashed.
struct ChargeCrashEffect
{
    TargetId target = 0;
    std::uint64_t fingerprint = 0;
};

// To be cleared by CrashSuspects::clear(): the suspect ran alone and completed.
struct ClearSuspectEffect
{
    std::uint64_t fingerprint = 0;
};

using BrokerEffect = std::variant<GrantEffect, RefusalEffect, ReclaimEffect, ChargeCrashEffect,
                                  ClearSuspectEffect>;
using BrokerEffects = std::vector<BrokerEffect>;

// Counts for status pages, heartbeats and tests.
struct BrokerStatus
{
    std::size_t queued = 0;
    int inUse = 0; // slots counted as in use, also by grants of earlier epochs
    int effectiveSlots = 0;
    int slots = 0;
    bool rebuilding = false;
    Duration meanServiceTime{};
};

class SlotBroker
{
public:
    // The epoch is the one with which the broker role was taken. Until allowGrantsUntil() is called
    // the broker grants nothing.
    SlotBroker(std::uint64_t epoch, const BrokerSettings &settings);
    ~SlotBroker();
    SlotBroker(SlotBroker &&) noexcept;
    SlotBroker &operator=(SlotBroker &&) noexcept;

    [[nodiscard]] std::uint64_t epoch() const;

    // Starts the rebuild after a takeover. The list must hold every incarnation that may have a
    // grant of an earlier epoch: all with a live store lease or heard of, and all whose lease
    // lapsed less than the longest grant time ago. Until each has reported or is proven dead for
    // the longest grant time, only slots are granted that a reporting holder is known to have had
    // and given back. Must be called once, after the first setTargets() and before the first
    // request.
    void startRebuild(std::span<const HolderId> holders, TimePoint now, std::uint64_t random,
                      BrokerEffects &effects);

    // The incarnations of which the rebuild still waits for a report, to ask them again.
    [[nodiscard]] std::vector<HolderId> unreported() const;

    // Grants are given only before this time (BrokerRole's grantUntil).
    void allowGrantsUntil(TimePoint grantUntil);

    // Replaces the set of targets. A target that is left out takes no new grants; its grants in
    // use stay counted.
    void setTargets(std::span<const BrokerTarget> targets, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // Takes a report of a target. Silence changes nothing, and no report adds slots.
    void targetReport(const TargetReport &report, TimePoint now, std::uint64_t random,
                      BrokerEffects &effects);

    // Takes note that a target refused the connection of a probe: requests whose connection to it
    // was lost have crashed it.
    void probeRefused(TargetId target, TimePoint now, BrokerEffects &effects);

    // Grants, queues or refuses a request. A repeat of a request that is queued or granted has no
    // effect.
    void request(const GrantRequest &request, SuspectVerdict verdict, TimePoint now,
                 std::uint64_t random, BrokerEffects &effects);

    // Forgets a queued request. A grant that was already issued is left to release() or to the
    // list of held grants.
    void cancel(const HolderId &holder, std::uint64_t sequence, TimePoint now, std::uint64_t random,
                BrokerEffects &effects);

    // Ends a grant. The service time is the time from sending to the complete answer; it counts
    // only with GrantResult::Succeeded. An unknown grant id has no effect.
    void release(const HolderId &holder, const GrantId &id, GrantResult result,
                 Duration serviceTime, TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Takes a holder's list of held grants, as an answer to the rebuild or the periodic one.
    void heldReport(const GrantsHeld &report, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // The holder is proven dead: its lease has lapsed or its instance has a new incarnation. Its
    // queued requests are dropped; its grants stay counted until they end by themselves.
    void holderDied(const HolderId &holder, TimePoint now, std::uint64_t random,
                    BrokerEffects &effects);

    // Drops expired requests and serves the queue; to be called about every 10 ms.
    void tick(TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Share of the unit's slots that is free for more work, 0 to 1. Queued work lowers it.
    [[nodiscard]] double headroom() const;

    [[nodiscard]] BrokerStatus status() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace chestnutvane
