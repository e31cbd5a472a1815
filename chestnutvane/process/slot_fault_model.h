// A discrete-event model of one service in three regions that compares slot policies under the same
// fault and the same arrivals. It models the policies' decisions and the message delays, but no
// processing costs. Used by slot_fault_benchmark and slot_fault_test.
//
// Example:
//
//   FaultModelSettings settings{.fault = ModelFault::BrokerDies};
//   FaultModelResult result = runUnderFault(SlotPolicy::Broker, settings);
#pragma once

#include <cstdint>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/process/slot_policy_model.h"

namespace chestnutvane {

// Each fault affects region 0 and starts at FaultModelSettings::faultAtMs.
enum class ModelFault {
    None,
    ReportsStop, // no target of the region reports for the rest of the run
    ReportsIdle, // a quarter of the targets report no load, for the rest of the run
    HolderDies, // an instance dies that holds grants and is not the broker
    BrokerDies, // another instance takes the role when the lease has expired, and rebuilds
    TargetRestarts, // a target dies, restarts after 3 s and is slow for another 2 s
    TargetsLeave, // a quarter of the targets report that they shut down
    RegionFails, // its targets and instances die; its callers use the other regions
};

inline constexpr EnumName<ModelFault> modelFaultNames[] = {
        {ModelFault::None, "healthy"},
        {ModelFault::ReportsStop, "reports stop"},
        {ModelFault::ReportsIdle, "reports say idle"},
        {ModelFault::HolderDies, "holder dies"},
        {ModelFault::BrokerDies, "broker dies"},
        {ModelFault::TargetRestarts, "target restarts cold"},
        {ModelFault::TargetsLeave, "targets leave"},
        {ModelFault::RegionFails, "region fails"},
};

// Numbers of targets, slots and instances are per region; slots are per target.
struct FaultModelSettings
{
    ModelFault fault = ModelFault::None;
    int regions = 3;
    int targets = 16;
    int slots = 3;
    int instances = 3;
    double offeredLoad = 0.6; // share of all slots; two of three regions carry it at 0.9
    double meanServiceMs = 20; // mean of the exponential service times
    double roundTripMs = 1; // within a region
    double regionDelayMs = 55; // one way between regions
    double reportIntervalMs = 25; // between load reports of targets
    double leaseMs = 5000; // time from an instance's death to the expiry of its lease
    double queueLimitMs = 1000;
    double deadlineMs = 5000;
    double faultAtMs = 5000; // only arrivals from this time on are measured
    double durationMs = 25000;
    std::uint64_t seed = 1;
};

struct FaultModelResult
{
    double p50Ms = 0; // latency of completed requests as seen by the caller
    double p99Ms = 0;
    double p999Ms = 0;
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0; // no target ran them
    std::uint64_t lost = 0; // their instance or target died; they may have run
    std::uint64_t dispatches = 0; // in the whole run
    std::uint64_t aboveSlots = 0; // dispatches to a target without a free slot
    // Lowest share of free slots in a region that has not failed, of the means over 1 s.
    double minHeadroom = 1;
    double drainMs = 0; // from TargetsLeave to the last completion on a leaving target
};

// Runs the model. The result depends only on the policy and the settings, not on the machine.
FaultModelResult runUnderFault(SlotPolicy policy, const FaultModelSettings &settings);

} // namespace chestnutvane
