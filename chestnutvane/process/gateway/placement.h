// Decides which target a request goes to, and whether it waits or is refused.
//
// Answers the load in which the runs of a request on a target that served its object lately take a
// fraction of the time of other runs, and requests are worth little after an aim: the target with
// the earliest expected answer wins, which weighs a wait for a busy warm target against a free cold
// one, and a longer path to another region against a queue in the own one.
//
// Example:
//
//   Placement placement = place(candidates, work, limits, settings);
//   if (placement.action == PlacementAction::Send)
//       send(candidates[placement.index]);
//
// Pure functions without state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// A target that a request may run on, as known at the moment of the decision.
struct Candidate
{
    bool sameRegion = true;
    bool warm = false; // served the object lately
    int slots = 1;
    double load = 0; // requests at the target, from all instances
    double queueLength = 0; // waiting requests that are meant for it and go first
    double runTimeFactor = 1; // run times against those of other targets
    double failureRate = 0; // 0 to 1
    Duration roundTrip{0};
    double affinityRank =
            0; // stable order of the targets for the object, 0 to 1, the smallest first
    bool needsFirstRequest = false; // new, and not known to have served a request
    bool sendAllowed = true; // false: pace or trial limits forbid a request right now
};

// Expected run times of a request at a target of normal speed.
struct WorkEstimate
{
    Duration warm{0};
    Duration cold{0};
    Duration mean{0}; // of the requests that hold the slots
    double bodyKilobytes = 0; // that the request carries
    bool measured = true; // false: assumed, as no request of the route has been answered yet
};

struct PlacementLimits
{
    Duration aimLeft{0}; // an answer after it has little worth
    Duration limitLeft{0}; // an answer after it has none
};

struct PlacementSettings
{
    // Part of the time limit that the expected answer may use; the rest covers the spread of run
    // times.
    double usableLimitShare = 0.85;
    // Part of the time between aim and limit that the expected answer of a waiting request may use.
    // A request that waits for a late answer takes the slot of one that could still meet its aim.
    double lateWaitShare = 0.3;
    // Share of the cold run time added over the range of ranks, so that an object which no target
    // holds goes to the same few targets on all instances.
    double affinityRankShare = 0.3;
    // Added for a target of another region, for the traffic between regions: for each request, and
    // for each kilobyte of its body. A small request goes where it is answered sooner; an upload of
    // 60 kB leaves its region only if it would otherwise be late.
    Duration crossRegionCost = std::chrono::milliseconds(15);
    Duration crossRegionCostPerKilobyte = std::chrono::milliseconds(3);
    // Added for an expected answer after the aim.
    Duration latenessPenalty = std::chrono::milliseconds(200);
};

enum class PlacementAction {
    Send,
    Wait,
    Refuse, // no target can answer in time
};

inline constexpr EnumName<PlacementAction> placementActionNames[] = {
        {PlacementAction::Send, "send"},
        {PlacementAction::Wait, "wait"},
        {PlacementAction::Refuse, "refuse"},
};

struct Placement
{
    PlacementAction action = PlacementAction::Refuse;
    std::size_t index = 0; // of the chosen candidate, unless refused
    Duration expectedResponseTime{0}; // until the answer; for a refusal of the best candidate
};

// Returns the least time between a look at waiting requests and a further one that nothing but a
// report of another instance causes, so that such looks use a bounded share of a core.
Duration pauseAfterPass(std::size_t waiting, std::size_t targets);

// Whether a look at all waiting requests takes so little time that it need not be narrowed down.
bool isShortPass(std::size_t waiting, std::size_t targets);

// Returns the time until the answer if the request were given to the candidate now.
Duration estimateResponseTime(const Candidate &candidate, const WorkEstimate &work);

// Chooses among the candidates. Without any candidate the request is refused. A target of the own
// region that is not known to have served a request gets the next one that it can answer within the
// time limit, so that a new target is taken into use. An assumed run time is no reason to refuse
// a request for which a slot is free.
Placement place(std::span<const Candidate> candidates, const WorkEstimate &work,
                const PlacementLimits &limits, const PlacementSettings &settings);

} // namespace chestnutvane
