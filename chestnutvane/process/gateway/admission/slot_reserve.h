// Decides whether a request leaves the last free slots to requests that need them more.
//
// Loads:
// - A burst of long, patient requests fills the targets that short, urgent requests use as well. A
//   slot that becomes free is known first to the instance whose request ended, and that instance
//   may hold only patient ones. Free slots are kept for the urgent requests that are expected until
//   all instances know of it (trunk reservation).
// - Requests that can no longer meet their aim start in free slots just before requests arrive that
//   could. They start only if the slots suffice for the latter during the run.
//
// Example:
//
//   if (const auto turn = slotTurn(request, outlook, now); turn.decision == SlotDecision::Hold)
//       lookAgainAt(turn.until);
//
// Pure functions without state.
#pragma once

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// The slots that a request may use, in its region, and what is expected of them.
struct SlotOutlook
{
    double slots = 0; // of all targets
    double busy = 0; // in use, from all instances
    Duration meanRun{0}; // of the requests that occupy the slots
    // Requests per second in the region, over all instances, that are more urgent than the request
    // at hand: more important and with a shorter aim.
    double urgentPerSecond = 0;
    // All requests per second in the region that can meet their aim.
    double inTimePerSecond = 0;
    // Time until the other instances know of a slot that became free.
    Duration reportInterval{0};
};

// A waiting request at the time of the decision.
struct SlotRequest
{
    Duration run{0}; // expected at a free target
    Duration timeToAim{0};
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
    double reserved = 0; // slots that were left free for others
};

// Returns the number of slots to keep for arrivals at a rate, for a time: the expected number and
// one standard deviation of a Poisson process.
[[nodiscard]] double expectedArrivals(double perSecond, Duration time);

// Returns whether the request can still meet its aim. One whose run is longer than its whole aim
// counts as in time until its aim has passed; otherwise all requests of its route would always be
// last.
[[nodiscard]] bool canMeetAim(Duration run, Duration timeToAim, Duration aim);

// Decides for a request that can still meet its aim. It is held only while that does not make it
// late, and never for more than maxReservedShare of the slots.
[[nodiscard]] SlotTurn turnInTime(const SlotRequest &request, const SlotOutlook &outlook);

// Decides for a request that can no longer meet its aim. It is held only while it can be answered
// before its deadline.
[[nodiscard]] SlotTurn turnWhenLate(const SlotRequest &request, const SlotOutlook &outlook);

// Share of the slots that may be kept free for more urgent requests. Less urgent ones always have
// the rest.
inline constexpr double maxReservedShare = 0.25;

} // namespace chestnutvane
