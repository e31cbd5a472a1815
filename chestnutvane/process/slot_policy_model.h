// A discrete-event model that compares policies for the slots of one unit under the same arrivals.
// Used by the benchmark program and its regression test.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

enum class SlotPolicy {
    OneQueue, // one queue over all slots without any delay
    Broker, // SlotBroker on one instance, 1 ms round trip from the others
    LeastReportedLoad, // each instance sends to the target with the least load in reports 25 ms old
};

inline constexpr EnumName<SlotPolicy> slotPolicyNames[] = {
        {SlotPolicy::OneQueue, "one queue"},
        {SlotPolicy::Broker, "broker"},
        {SlotPolicy::LeastReportedLoad, "least reported load"},
};

// A class of requests of the model.
struct ModelClass
{
    int importance = 0;
    double share = 1; // of the arrivals
    double queueLimitMs = 1000;
    double deadlineMs = 5000;
};

struct ModelSettings
{
    int targets = 16;
    int slots = 3;
    int instances = 9;
    double meanServiceMs = 20; // exponential
    double roundTripMs = 1;
    double reportIntervalMs = 25;
    double offeredLoad = 0.9; // arrivals over what the slots carry
    double durationMs = 60000;
    double warmUpMs = 2000; // arrivals before that are not counted
    std::vector<ModelClass> classes{ModelClass{}};
    std::uint64_t seed = 1;
};

struct ModelClassResult
{
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedImmediately = 0; // within the round trip to the broker
    double p50Ms = 0; // of the completed requests, from arrival to completion
    double p99Ms = 0;
    double p999Ms = 0;
};

struct ModelResult
{
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t aboveSlots = 0; // dispatches to a target with no free slot
    double goodput = 0; // completed in time, as a share of what the slots carry
    std::vector<ModelClassResult> classes; // as in the settings
};

// Runs the model. The same settings give the same result.
ModelResult runSlotPolicy(SlotPolicy policy, const ModelSettings &settings);

// Classes and load of a match morning: three times what the slots carry.
ModelSettings overloadSettings();

} // namespace chestnutvane
