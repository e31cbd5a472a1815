// Advances the moves and keeps the measurements that steering decisions use: headroom of units,
// use of links, latency of destinations.
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

    // Starts the watch of the moves and the timer of their steps.
    void start();

    // Notes a complete answer of a unit.
    void onServed(const std::string &service, const std::string &region, Duration serviceTime);

    // Notes a refusal of a unit's broker or target.
    void onRefused(const std::string &service, const std::string &region);

    // Notes bytes that this instance sent or received from one region to another.
    void onLinkBytes(const std::string &from, const std::string &to, std::size_t bytes);

private:
    void watchMoves(std::optional<std::uint64_t> afterVersion);
    void advanceMoves();
    MoveConditions measureConditions(const MembershipState &state, const Version &version,
                                     const MoveRule &move, TimePoint now);
    void writeStep(const std::string &move, const StepDecision &decision);

    Instance &instance_;
    std::map<std::string, MoveWait> lastLoggedWait_; // as last logged; only the step timer uses it
};

// Copies the reports of a member's brokers into the headroom table.
void applyHeadroomReports(HeadroomTable &table, const MemberRecord &record, TimePoint receivedAt);

// Share of the callers of "from" that the link to "to" may still take under its cap, 0 to 1. A link
// without a rule takes none.
double freeLinkShare(const Version &version, const LinkUseTable &links, const std::string &from,
                     const std::string &to, TimePoint now);

} // namespace chestnutvane
