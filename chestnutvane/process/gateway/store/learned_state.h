// State that instances learn about targets and that outlives the instances: which objects each
// target holds, and how long runs take.
//
// Avoids the load peak after a restart of the whole fleet. Without this state each instance assumes
// that the targets hold no objects and distributes the objects anew. Runs then take three times as
// long until the state has been learned again, which took 16 s in a fleet of 81 instances.
//
// Example:
//
//   std::string value = encodeLearnedState(gateway.learnedState());
//   if (auto state = decodeLearnedState(value); isOk(state))
//       gateway.restoreLearnedState(value(state));
//
// Pure functions without state.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/gateway/work/work_times.h"

namespace chestnutvane {

// State learned about one incarnation of a target.
struct LearnedTarget
{
    std::uint64_t target = 0; // hash of its id, as in load reports
    std::int64_t startedAt = 0; // Unix time in milliseconds; 0: unknown
    std::vector<std::uint64_t> objects; // 32-bit hashes of the objects it holds, most recent first

    friend bool operator==(const LearnedTarget &, const LearnedTarget &) = default;
};

struct LearnedState
{
    LearnedRunTimes times; // mean durations of runs by route and by service
    std::map<std::string, std::size_t> warmCapacities; // objects that a target holds, by service
    std::vector<LearnedTarget> targets;

    friend bool operator==(const LearnedState &, const LearnedState &) = default;
};

struct LearnedStateError
{
    std::string detail;
};

// Encodes the state (CBOR).
std::string encodeLearnedState(const LearnedState &state);

// Decodes the state. Errors: anything that encodeLearnedState() does not write.
Result<LearnedState, LearnedStateError> decodeLearnedState(std::string_view bytes);

} // namespace chestnutvane
