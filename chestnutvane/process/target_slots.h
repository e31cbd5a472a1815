// The slots of one target in the state of its broker. Adapts the number of usable slots to the
// outcomes of the target's requests, detects its crashes, and selects targets for new grants.
//
// Example:
//
//   if (const auto index = pickTarget(targets, request.tried, random))
//       ++targets[*index].inUse;
//   // When the grant ends:
//   CrashEvidence evidence = recordOutcome(target, result, fingerprint, issuedAt, now);
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

// A target with this many consecutive connect failures gets only probe grants.
inline constexpr int connectFailureLimit = 3;
// Minimum time between two probe grants of a target.
inline constexpr Milliseconds probeInterval{1000};
// Minimum time between two raises of a target's limit, after it shed a request or while it is cold.
inline constexpr Milliseconds shedRaiseInterval{1000};
inline constexpr Milliseconds coldRaiseInterval{500};
// A lost connection and evidence of a restart (connection refused, or a new start id) count as one
// crash if they are at most this far apart.
inline constexpr Milliseconds crashWindow{5000};
// Reports of full targets that are older than this are ignored.
inline constexpr Milliseconds reportMaxAge{1000};

struct TargetSlots
{
    TargetId id = 0;
    int slots = 1;
    bool drained = false;
    bool leavingByRules = false;
    bool leavingByReport = false;
    bool removed = false; // no longer in the rules; the entry is kept while grants are in use

    int inUse = 0;
    int unreportedSlots = 0; // may be in use by holders that have not reported to a new broker
    int limit = 1; // at most this many slots may currently be in use
    bool cold = true; // ramping up after a start; cleared when the target sheds a request
    bool reserved = false; // gets no new grants until it is idle, then runs a suspect alone
    bool alone = false; // currently runs a suspect alone
    int connectFailures = 0; // consecutive
    // The members above decide whether a slot is free. They fit in one cache line, because the
    // selection of a target reads them for all targets.

    TimePoint lastLimitChange = TimePoint::min();
    TimePoint lastShed = TimePoint::min();

    TimePoint lastProbe = TimePoint::min();
    bool probing = false; // a probe grant is in use
    TimePoint lastFailure = TimePoint::min();
    TimePoint lastSuccess = TimePoint::min();
    TimePoint reportedFullAt = TimePoint::min();

    std::uint64_t startId = 0; // as last reported; 0 if none was reported
    TimePoint lastRestartSign = TimePoint::min(); // last refused connection or new start id
    TimePoint lastLossAt = TimePoint::min(); // last lost connection
    std::vector<std::uint64_t> lostFingerprints; // of requests that lost their connection
};

// Resets the target's limit to one slot, from which it ramps up again.
void startCold(TargetSlots &target, TimePoint now);

// Whether connect failures limit the target to probe grants.
[[nodiscard]] inline bool hasFailed(const TargetSlots &target)
{
    return target.connectFailures >= connectFailureLimit;
}

// Whether the target may get grants, not considering its failures and load.
[[nodiscard]] inline bool isUsable(const TargetSlots &target)
{
    return !target.drained && !target.leavingByRules && !target.leavingByReport && !target.removed;
}

// The number of slots that may be in use now: 0 if the target is drained, leaving, removed or
// failed.
[[nodiscard]] inline int effectiveSlots(const TargetSlots &target)
{
    return isUsable(target) && !hasFailed(target) ? std::min(target.limit, target.slots) : 0;
}

// The number of effective slots that are free for requests that need not run alone.
[[nodiscard]] inline int freeSlots(const TargetSlots &target)
{
    if (target.alone || target.reserved)
        return 0;
    return std::max(0, effectiveSlots(target) - target.inUse - target.unreportedSlots);
}

// Which requests were in flight when a target crashed, as concluded from a recorded event.
enum class CrashEvidence {
    None,
    CurrentRequest, // that of the recorded grant, at a crash that was already detected
    AllLostRequests, // those in TargetSlots::lostFingerprints; the caller must clear the list
};

// Records that the target refused the connection of a health probe.
CrashEvidence recordProbeRefusal(TargetSlots &target, TimePoint now);

// Records the outcome of a grant that was issued at the given time and adapts the target's limit.
CrashEvidence recordOutcome(TargetSlots &target, GrantResult result, std::uint64_t fingerprint,
                            TimePoint issuedAt, TimePoint now);

// Records the start id that the target reported; 0 if it reported none.
CrashEvidence recordStartId(TargetSlots &target, std::uint64_t startId, TimePoint now);

// Picks the target with the most free effective slots. Ties are resolved by the least recent
// failure, then in favour of targets not reported full, then by the random number. Avoids the tried
// targets while any other target has effective slots. Returns nothing if no suitable slot is free.
[[nodiscard]] std::optional<std::size_t>
pickTarget(std::span<const TargetSlots> targets, const TriedTargets &tried, std::uint64_t random);

// Picks an idle target for a request that must run alone, preferably a reserved one. Avoids the
// tried targets as pickTarget() does.
[[nodiscard]] std::optional<std::size_t> pickIdleTarget(std::span<const TargetSlots> targets,
                                                        const TriedTargets &tried,
                                                        std::uint64_t random);

// Picks the target that is likely to become idle first: the one with the fewest slots in use.
[[nodiscard]] std::optional<std::size_t> pickTargetToReserve(std::span<const TargetSlots> targets,
                                                             const TriedTargets &tried);

// Picks the failed target that is due for a probe grant and was probed least recently.
[[nodiscard]] std::optional<std::size_t> pickProbeTarget(std::span<const TargetSlots> targets,
                                                         TimePoint now);

} // namespace chestnutvane
