// The slots of one target as its broker sees them: how many may be used now, and what the outcomes
// of its requests say about the target.
//
// Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

// Connect failures in a row after which a target gets only probe grants.
inline constexpr int connectFailureLimit = 3;
inline constexpr Milliseconds probeInterval{1000};
inline constexpr Milliseconds shedRaiseInterval{1000};
inline constexpr Milliseconds coldRaiseInterval{500};
// A lost connection and a sign of a restart within this time of each other are one crash.
inline constexpr Milliseconds crashWindow{5000};
// Older reports of a full target are not considered.
inline constexpr Milliseconds reportMaxAge{1000};

struct TargetSlots
{
    TargetId id = 0;
    int slots = 1;
    bool drained = false;
    bool leavingByRules = false;
    bool leavingByReport = false;
    bool removed = false; // no longer in the rules; kept while grants are in use

    int inUse = 0;
    int unreportedSlots = 0; // slots that holders not yet heard by a new broker may use
    int limit = 1; // at most this many of the slots are used now
    bool cold = true;
    bool reserved = false; // takes no new grants until it is idle and runs a suspect alone
    bool alone = false; // runs a suspect alone
    int connectFailures = 0; // in a row
    // The members above decide whether a slot is free. They fill one cache line, because the choice
    // of a target reads them of all targets.

    TimePoint lastLimitChange = TimePoint::min();
    TimePoint lastShed = TimePoint::min();

    TimePoint lastProbe = TimePoint::min();
    bool probing = false;
    TimePoint lastFailure = TimePoint::min();
    TimePoint lastSuccess = TimePoint::min();
    TimePoint reportedFullAt = TimePoint::min();

    std::uint64_t startId = 0;
    TimePoint lastRestartSign = TimePoint::min(); // last sign of a restart
    TimePoint lastLossAt = TimePoint::min();
    std::vector<std::uint64_t>
            lostFingerprints; // fingerprints of requests that lost their connection
};

// Makes the target ramp up from one slot.
void startCold(TargetSlots &target, TimePoint now);

// Whether connect failures limit the target to probe grants.
[[nodiscard]] inline bool hasFailed(const TargetSlots &target)
{
    return target.connectFailures >= connectFailureLimit;
}

// Whether the target may get grants apart from failures and load.
[[nodiscard]] inline bool isUsable(const TargetSlots &target)
{
    return !target.drained && !target.leavingByRules && !target.leavingByReport && !target.removed;
}

// Slots that may be in use now: 0 for targets that are drained, leaving, removed or failed.
[[nodiscard]] inline int effectiveSlots(const TargetSlots &target)
{
    return isUsable(target) && !hasFailed(target) ? std::min(target.limit, target.slots) : 0;
}

// Effective slots that are free for a request that need not run alone.
[[nodiscard]] inline int freeSlots(const TargetSlots &target)
{
    if (target.alone || target.reserved)
        return 0;
    return std::max(0, effectiveSlots(target) - target.inUse - target.unreportedSlots);
}

// What the outcome of a grant tells about crashes.
enum class CrashEvidence {
    None,
    CurrentRequest, // the request of the grant was in flight at a crash that was seen before
    AllLostRequests, // the requests in TargetSlots::lost were in flight at a crash; clear the list
};

// Notes that the target refused the connection of a probe.
CrashEvidence recordProbeRefusal(TargetSlots &target, TimePoint now);

// Adapts the target to the outcome of a grant that was issued at the given time.
CrashEvidence recordOutcome(TargetSlots &target, GrantResult result, std::uint64_t fingerprint,
                            TimePoint issuedAt, TimePoint now);

// Takes the start id that the target reported, 0 if it gives none.
CrashEvidence recordStartId(TargetSlots &target, std::uint64_t startId, TimePoint now);

// Picks the target with the most free effective slots, then the least recently failed, then one
// not reported full, then by the random number. Avoids the tried targets while any other target
// is usable. Returns nothing if no slot is free.
[[nodiscard]] std::optional<std::size_t>
pickTarget(std::span<const TargetSlots> targets, const TriedTargets &tried, std::uint64_t random);

// Picks an idle target for a request that must run alone.
[[nodiscard]] std::optional<std::size_t> pickIdleTarget(std::span<const TargetSlots> targets,
                                                        const TriedTargets &tried,
                                                        std::uint64_t random);

// Picks the target that becomes idle the soonest, by its requests in use.
[[nodiscard]] std::optional<std::size_t> pickTargetToReserve(std::span<const TargetSlots> targets,
                                                             const TriedTargets &tried);

// Picks a failed target whose next probe grant is due.
[[nodiscard]] std::optional<std::size_t> pickProbeTarget(std::span<const TargetSlots> targets,
                                                         TimePoint now);

} // namespace chestnutvane
