// Decides which requests an instance still sends to targets during its graceful shutdown.
//
// The process ends at a fixed time, and an attempt in flight is cut then. A request that is refused
// instead has not run, and its caller can send it to another instance at once. Callers may use a
// directory response for some seconds after the shutdown began, so requests arrive until the end.
//
// Example:
//
//   if (!maySendBeforeShutdown({begin, end}, {now, deadline, expectedResponseTime, isRepeatable}))
//       refuse();
//
// Pure functions without state.
#pragma once

#include "chestnutvane/base/time.h"

namespace chestnutvane {

struct ShutdownWindow
{
    TimePoint begin; // when the shutdown began
    TimePoint end; // when the process ends
};

// A request at the time of the decision.
struct ShutdownRequest
{
    TimePoint now;
    TimePoint answeredAt; // when it is answered at the latest: its deadline or time limit
    Duration expectedResponseTime{0};
    bool isRepeatable = false; // false: it runs at most once
};

// Time after the beginning of a shutdown in which requests are sent that may outlast the process.
// The platform allows to cut requests that callers sent in the first 3 s; the rest covers the way
// from the caller and the delivery of the signal.
inline constexpr Milliseconds shutdownSendTime{2800};

// Returns whether a request may be sent to a target. One whose deadline passes before the end is
// answered in any case. Any other may be sent only within shutdownSendTime, and only if it is
// expected to end well before the process; an at-most-once request with a wider margin, since a cut
// leaves its caller without knowledge of whether it ran.
[[nodiscard]] bool maySendBeforeShutdown(const ShutdownWindow &window,
                                         const ShutdownRequest &request);

} // namespace chestnutvane
