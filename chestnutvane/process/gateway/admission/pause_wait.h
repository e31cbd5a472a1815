// Decides whether a request waits for a target that asked for a pause.
//
// Example:
//
//   if (shouldAwaitReturn(returnsAt, {now, deadline, meanRunTime}))
//       wait();
//   else
//       refuse(returnsAt - now);
//
// Pure functions without state.
#pragma once

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// A request whose targets all pause or are out of use.
struct PausedRequest
{
    TimePoint now;
    TimePoint deadline; // the caller's, or the route's time limit
    Duration runTime{0}; // expected at a target that returns
};

// Returns whether the request should wait for a target that returns at the time. A caller honours a
// Retry-After for a third of its time only, so waiting serves it better as long as the answer is
// expected well before the deadline. A request that cannot be answered in time is refused at once.
[[nodiscard]] bool shouldAwaitReturn(TimePoint returnsAt, const PausedRequest &request);

} // namespace chestnutvane
