// A discrete-event model of one service in three regions that compares slot policies in the same
// fault with the same arrivals. It models the decisions and the delays of their messages, no other
// cost of the processes. Used by slot_fault_benchmark and slot_fault_test.
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

// Each fault is in region 0 and begins at FaultModelSettings::faultAtMs.
enum class ModelFault {
    None,
    ReportsStop, // of all targets of the region, for the rest of the run
    ReportsIdle, // a quarter of the targets report no load, for the rest of the run
    HolderDies, // an instance that holds grants and is no broker
    BrokerDies, // another instance takes the role when the lease has lapsed, and rebuilds
    TargetRestarts, // dies, comes back after 3 s and is slow for 2 s
    TargetsLeave, // a quarter of them, by their reports
    RegionFails, // its targets and instances die; its callers go to the other regions
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

// Counts are for one region.
struct FaultModelSettings
{
    ModelFault fault = ModelFault::None;
    int regions = 3;
    int targets = 16;
    int slots = 3;
    int instances = 3;
    double offeredLoad = 0.6; // of all slots; two of three regions then carry all at 0.9
    double meanServiceMs = 20; // exponential
    double roundTripMs = 1; // within a region
    double regionDelayMs = 55; // one way between regions
    double reportIntervalMs = 25; // reports of targets
    double leaseMs = 5000;
    double queueLimitMs = 1000;
    double deadlineMs = 5000;
    double faultAtMs = 5000; // arrivals from here to the end are measured
    double durationMs = 25000;
    std::uint64_t seed = 1;
};

struct FaultModelResult
{
    double p50Ms = 0; // of completed requests, from the caller to the caller
    double p99Ms = 0;
    double p999Ms = 0;
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0; // surely not run
    std::uint64_t lost = 0; // their instance or target died, so that they may have run
    std::uint64_t dispatches = 0; // of the whole run
    std::uint64_t aboveSlots = 0; // dispatches to a target with no free slot
    double minHeadroom = 1; // least share of free slots of a living region, means over 1 s
    double drainMs = 0; // from TargetsLeave to the end of the last work on them
};

// Runs the model. The same settings give the same result on every machine.
FaultModelResult runUnderFault(SlotPolicy policy, const FaultModelSettings &settings);

} // namespace chestnutvane
