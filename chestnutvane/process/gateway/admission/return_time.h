// When a caller whose request was refused for lack of room should return.
//
// Load: a burst is refused within a few hundred milliseconds. If all callers are told the same
// time, they return as a second burst and are refused again, and most callers return only once.
// Returns are spread over the time in which room is expected for them.
//
// Example:
//
//   const Duration retryAfter = returnTime(room, request);
//
// Pure functions without state.
#pragma once

#include <cstdint>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// The room that callers of this instance can expect.
struct ExpectedRoom
{
    double slots = 0; // of the targets that may serve the request
    Duration meanRun{0}; // of the requests that occupy the slots
    double instances = 1; // that share the slots
    double waiting = 0; // requests that wait at this instance and are served before it
    double refused = 0; // requests refused lately by this instance that have not returned yet
};

// The refused request.
struct RefusedRequest
{
    std::uint64_t idHash = 0; // spreads the returns; equal for equal ids
    Duration run{0};
    Duration timeToAim{0}; // may be negative
    Duration timeToDeadline{0};
};

// Returns the Retry-After time, from minReturnTime to maxReturnTime. It begins when the requests
// that wait now are expected to have left, and its spread is the time that the refused ones need.
// It does not exceed a third of the time left, which is as long as callers wait. A caller that may
// still be served within its aim is told a time that allows it, if there is one.
[[nodiscard]] Duration returnTime(const ExpectedRoom &room, const RefusedRequest &request);

// An immediate return would meet the same lack of room.
inline constexpr Milliseconds minReturnTime{10};
// The longest time for which the load can be predicted from what waits now.
inline constexpr Milliseconds maxReturnTime{1500};

} // namespace chestnutvane
