// Tells whether a process listens at an address, by opening a connection and closing it at once.
//
// Example:
//
//   probePort(io, "10.0.0.7:8080", {.limit = Milliseconds(150)}, [](PortState state) {
//       if (state == PortState::Closed)
//           onProcessEnded();
//   });
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <functional>
#include <string>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_types.h"

namespace chestnutvane {

enum class PortState {
    Listening,
    Closed, // the machine refuses the connection: no process listens
    Unknown, // no answer in time, no path, or not "IP:port"
};

inline constexpr EnumName<PortState> portStateNames[] = {
        {PortState::Listening, "listening"},
        {PortState::Closed, "closed"},
        {PortState::Unknown, "unknown"},
};

struct ProbeTimes
{
    Duration delay{0}; // before the connection is opened
    Duration limit{0}; // for its opening
};

// Probes "IP:port". The callback is called exactly once, never from within probePort().
void probePort(net::io_context &io, const std::string &address, const ProbeTimes &times,
               std::function<void(PortState)> callback);

} // namespace chestnutvane
