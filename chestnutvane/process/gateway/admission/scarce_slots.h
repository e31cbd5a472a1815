// Decides who takes slots of targets while more requests want them than there are.
//
// Loads:
// - A burst of long, patient requests fills the targets that short, important requests use as well.
//   A slot that becomes free is known first to the instance whose request ended, and that instance
//   may have only patient ones waiting. An important request is therefore queued at a full target,
//   where it gets the next slot, whichever instance hears of it.
// - Requests that can no longer meet their aim start in free slots just before requests arrive that
//   could. They start only if the slots suffice for the latter during their run.
//
// Example:
//
//   if (!canMeetAim(run, timeToAim, aim)
//       && turnWhenLate(request, outlook).decision == SlotDecision::Hold)
//       keepWaiting();
//
// Pure functions without state.
#pragma once

#include <cstddef>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Returns whether the request can still meet its aim. One whose run is longer than its whole aim
// counts as in time until its aim has passed; otherwise all requests of its route would always be
// last.
[[nodiscard]] bool canMeetAim(Duration run, Duration timeToAim, Duration aim);

// The slots that a request may use, in its region, and what is expected of them.
struct SlotOutlook
{
    double slots = 0; // of all targets
    double busy = 0; // in use, by requests of all instances
    Duration meanRun{0}; // of the requests that occupy the slots
    double arrivalsPerSecond = 0; // in the region, over all instances
    Duration reportInterval{0}; // until other instances know of a slot that became free
};

// A waiting request that can no longer meet its aim.
struct LateRequest
{
    Duration run{0}; // expected at a free target
    Duration timeToDeadline{0};
};

enum class SlotDecision {
    Take,
    Hold, // waits, although a slot is free
};

inline constexpr EnumName<SlotDecision> slotDecisionNames[] = {
        {SlotDecision::Take, "take"},
        {SlotDecision::Hold, "hold"},
};

struct SlotTurn
{
    SlotDecision decision = SlotDecision::Take;
    Duration holdFor{0}; // the longest time for which the request should be held
    double reserved = 0; // slots left free for others
};

// Decides whether a late request takes a free slot. It is held while the arrivals expected during
// its run need more than the other free slots and those that become free, and only as long as it
// can be answered before its deadline.
[[nodiscard]] SlotTurn turnWhenLate(const LateRequest &request, const SlotOutlook &outlook);

// A waiting request, the target with the lowest load, and the requests that compete for its slots.
struct QueueAtTarget
{
    Duration run{0}; // expected at a free target
    Duration timeToAim{0};
    int slots = 1; // of the target
    double load = 0; // requests at the target, from all instances
    Duration meanRun{0}; // of the requests that occupy the slots
    int targetQueue = 0; // requests that a target queues beyond its slots
    std::size_t instances = 1; // that send to the target
    double lessImportantShare = 0; // of the requests that arrive for the service
};

// Returns whether the request is sent to a full target, to be queued there. It takes precedence
// over less important requests of other instances in this way, so there must be a fair share of
// them, and no more than one request is queued at a target. The expected answer must be in time.
[[nodiscard]] bool mayQueueAtTarget(const QueueAtTarget &request);

} // namespace chestnutvane
