// Selects the target for a request, or decides that the request waits or is refused.
//
// A target runs a request in a fraction of the usual time if it served the same object recently (it
// is "warm" for the object, otherwise "cold"). A response after the route's latency aim is worth
// little. The target with the lowest expected response time is chosen, with some additions to that
// time (see PlacementSettings). This weighs a wait for a busy warm target against a run on a free
// cold one, and the round trip to another region against a queue in this one.
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
#include "chestnutvane/process/gateway/work/run_cost.h"

namespace chestnutvane {

// A target that may run a request, with its state at the time of the decision.
struct Candidate
{
    bool sameRegion = true;
    std::size_t region = 0; // number of the target's region among those of the candidates
    bool warm = false; // served the object recently
    int slots = 1;
    double load = 0; // requests in flight at the target, from all instances
    double queueLength = 0; // waiting requests that get a slot of the target before this one
    double runTimeFactor = 1; // run time at this target relative to a target of normal speed
    double failureRate = 0; // share of failed attempts, 0 to 1
    Duration roundTrip{0};
    // Hash rank of the target for the object, 0 to 1; the lowest is preferred.
    double affinityRank = 0;
    double sendAhead = 0; // requests that may be sent while no slot is free
    bool needsFirstRequest = false; // this instance is to send the new target its first request
    bool sendAllowed = true; // false: back-off or the cold-start rate limit forbids it now
};

// Expected run times of a request at a target of normal speed, and the size of the bodies.
struct WorkEstimate
{
    Duration warm{0}; // on a target that served the object recently
    Duration cold{0}; // on any other target
    Duration mean{0}; // mean over the requests that occupy the slots
    double bodyKilobytes = 0; // size of the request body and, as far as known, of the response's
    bool measured = true; // false: assumed, because no request of the route has been answered yet
    // Distribution of the cost; null: every request takes the expected time.
    const RunCostDistribution *costs = nullptr;
};

struct PlacementLimits
{
    Duration timeToAim{0}; // time left until the latency aim; a later response is worth little
    Duration timeToDeadline{0}; // time left until the deadline; a later response is worth nothing
};

struct PlacementSettings
{
    // Share of the time left until the deadline that the expected response time may use. The rest
    // covers the variance of run times.
    double usableTimeShare = 0.85;
    // Share of the time between aim and deadline that the expected response time of a waiting
    // request may use. A request that waits for a late response occupies a slot in which another
    // request could still meet its aim.
    double lateWaitShare = 0.3;
    // Added to the score at the highest affinity rank, as a share of the cold run time. It makes
    // all instances send an object that no target holds to the same few targets.
    double affinityRankShare = 0.3;
    // Added to the score of a target in another region, for the traffic between regions: per
    // request, and per kilobyte of the bodies. A small request goes where the response comes
    // sooner; an upload or download of 60 kB leaves its region only if it would otherwise be late.
    Duration crossRegionCost = std::chrono::milliseconds(15);
    Duration crossRegionCostPerKilobyte = std::chrono::milliseconds(3);
    // Price of slot time while slots are scarce: the run time is added to the score with a weight
    // that grows from 0 at scarcityThreshold to maxSlotTimePrice at full use of the slots. Without
    // it, cold runs displace several warm ones each, so an overload would sustain itself.
    double maxSlotTimePrice = 2;
    double scarcityThreshold = 0.7; // share of a region's slots in use or waited for
    // The price of the own region holds in full for regions that are used to scarcityThreshold, and
    // less for those with more room, down to none at idleThreshold: requests leave a full region
    // for an idle one, but cold runs do not spread an overload over regions that are nearly full.
    double idleThreshold = 0.4;
    // Added to the score if the response is expected after the latency aim. With a distribution of
    // the cost, it is weighted by the chance that the response comes after the aim.
    Duration latenessPenalty = std::chrono::milliseconds(200);
};

// Settings for services that are placed by work. A slot is worth more there: requests are sent
// ahead to busy targets, and a cold run of several times the usual length delays all of them.
constexpr PlacementSettings workPlacementSettings()
{
    PlacementSettings settings;
    settings.maxSlotTimePrice = 6;
    settings.scarcityThreshold = 0.5;
    return settings;
}

enum class PlacementAction {
    Send,
    Wait,
    Refuse, // no target can respond in time
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
    Duration expectedResponseTime{0}; // for a refusal: that of the best candidate
};

// Returns the minimum time between a full placement pass and the next one that is triggered only by
// a report of another instance. It bounds the share of a core that such passes use.
Duration pauseAfterPass(std::size_t waiting, std::size_t targets);

// Returns whether a pass over all waiting requests is cheap enough to run without a restriction to
// the affected ones.
bool isShortPass(std::size_t waiting, std::size_t targets);

// Returns the expected time until the response if the request were assigned to the candidate now.
Duration estimateResponseTime(const Candidate &candidate, const WorkEstimate &work);

// Returns the chance that the response comes after the latency aim.
double chanceOfLateness(const Candidate &candidate, const WorkEstimate &work,
                        const PlacementLimits &limits);

// Chooses among the candidates; refuses the request if there is none. A target of the same region
// that needs its first request gets the next request that it can answer before the deadline, so
// that new targets come into use. An assumed run time never refuses a request for which a slot is
// free.
Placement place(std::span<const Candidate> candidates, const WorkEstimate &work,
                const PlacementLimits &limits, const PlacementSettings &settings);

} // namespace chestnutvane
