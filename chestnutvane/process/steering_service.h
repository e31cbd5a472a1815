// Advances the moves and records the measurements that steering decisions use: headroom of units,
// utilisation of links, and latency of destinations. The state is in Instance::membership.
//
// Example:
//
//   SteeringService steering(instance);
//   steering.start();
//   steering.onServed("box-office", "taipei", serviceTime);
//
// Thread-safe.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chestnutvane/process/headroom.h"
#include "chestnutvane/process/instance.h"

namespace chestnutvane {

class SteeringService
{
public:
    explicit SteeringService(Instance &instance);

    // Starts the store watch for moves and the timer that advances them. Call it once.
    void start();

    // Records a request that a unit served completely, with its service time.
    void onServed(const std::string &service, const std::string &region, Duration serviceTime);

    // Records a request that a unit's broker or target refused.
    void onRefused(const std::string &service, const std::string &region);

    // Records bytes that this instance transferred from one region to another.
    void onLinkBytes(const std::string &from, const std::string &to, std::size_t bytes);

private:
    void watchMoves(std::optional<std::uint64_t> afterVersion);
    void advanceMoves();
    MoveConditions measureConditions(const MembershipState &state, const Version &version,
                                     const MoveRule &move, TimePoint now);
    void writeStep(const std::string &move, const StepDecision &decision);

    Instance &instance_;
    std::map<std::string, MoveWait>
            lastLoggedWait_; // last logged reason per move; accessed by the timer only
};

// Adds the headroom reports in a member's heartbeat to the table, dated back by their age.
void applyHeadroomReports(HeadroomTable &table, const MemberRecord &record, TimePoint receivedAt);

// Returns the unused share of the capacity of the link between two regions, up to its cap: 0 to 1.
// Returns 0 if no rule declares the link.
double freeLinkShare(const Version &version, const LinkUseTable &links, const std::string &from,
                     const std::string &to, TimePoint now);

} // namespace chestnutvane
