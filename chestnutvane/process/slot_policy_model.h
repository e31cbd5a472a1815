// A discrete-event model that compares policies for dispatching requests to the slots of one unit,
// under the same arrivals. Used by slot_policy_benchmark and slot_policy_test.
//
// Example:
//
//   ModelSettings settings;
//   settings.offeredLoad = 0.8;
//   ModelResult result = runSlotPolicy(SlotPolicy::Broker, settings);
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

enum class SlotPolicy {
    OneQueue, // one queue for all slots, without message delays; reference for the others
    Broker, // SlotBroker on one instance, one round trip from the other instances
    LeastReportedLoad, // each instance sends to the target with the least load in periodic reports
};

inline constexpr EnumName<SlotPolicy> slotPolicyNames[] = {
        {SlotPolicy::OneQueue, "one queue"},
        {SlotPolicy::Broker, "broker"},
        {SlotPolicy::LeastReportedLoad, "least reported load"},
};

// A request class of the model.
struct ModelClass
{
    int importance = 0;
    double share = 1; // weight among the arrivals
    double queueLimitMs = 1000;
    double deadlineMs = 5000;
};

struct ModelSettings
{
    int targets = 16;
    int slots = 3;
    int instances = 9;
    double meanServiceMs = 20; // mean of the exponential service times
    double roundTripMs = 1; // between the broker's instance and another one
    double reportIntervalMs = 25; // between load reports of targets
    double offeredLoad = 0.9; // arrival rate as a share of the capacity of all slots
    double durationMs = 60000;
    double warmUpMs = 2000; // earlier arrivals are not counted
    std::vector<ModelClass> classes{ModelClass{}};
    std::uint64_t seed = 1;
};

struct ModelClassResult
{
    std::uint64_t arrived = 0; // after the warm-up
    std::uint64_t refused = 0;
    std::uint64_t refusedImmediately = 0; // within one round trip to the broker
    double p50Ms = 0; // latency of completed requests, from arrival to completion
    double p99Ms = 0;
    double p999Ms = 0;
};

struct ModelResult
{
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t aboveSlots = 0; // dispatches to a target without a free slot
    double goodput = 0; // work completed within its deadline, as a share of the slots' capacity
    std::vector<ModelClassResult> classes; // in the order of the settings
};

// Runs the model. The result depends only on the policy and the settings.
ModelResult runSlotPolicy(SlotPolicy policy, const ModelSettings &settings);

// The overload of a match morning: three classes that together offer three times the capacity.
ModelSettings overloadSettings();

} // namespace chestnutvane
