// What instances learn of targets and keep beyond their own end: which objects each target holds,
// and how long runs take.
//
// Answers the load after a restart of a whole fleet: without it each instance takes all targets for
// cold, spreads the objects anew, and the runs take three times as long until all is learned again,
// 16 s in a fleet of 81 instances.
//
// Example:
//
//   std::string value = encodeLearnedState(gateway.learned());
//   if (auto state = decodeLearnedState(value); isOk(state))
//       gateway.restoreLearned(value(state));
//
// Pure functions without state.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/gateway/work_times.h"

namespace chestnutvane {

// What was learned of one start of a target.
struct LearnedTarget
{
    std::uint64_t target = 0; // hash of its id, as in reports
    std::int64_t startedAt = 0; // Unix milliseconds of the start, 0: unknown
    std::vector<std::uint64_t> objects; // that it holds, hashes of 32 bits, the latest first

    friend bool operator==(const LearnedTarget &, const LearnedTarget &) = default;
};

struct LearnedState
{
    LearnedRunTimes times;
    std::map<std::string, std::size_t> keptObjects; // that a target keeps, by service
    std::vector<LearnedTarget> targets;

    friend bool operator==(const LearnedState &, const LearnedState &) = default;
};

struct LearnedStateError
{
    std::string detail;
};

// Encodes the state (CBOR).
std::string encodeLearnedState(const LearnedState &state);

// Decodes it. Errors: anything that encodeLearnedState() does not write.
Result<LearnedState, LearnedStateError> decodeLearnedState(std::string_view bytes);

} // namespace chestnutvane
