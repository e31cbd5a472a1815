// The order in which waiting requests are placed on targets, with fair shares of teams.
//
// Load: more requests wait than slots become free, and one team sends most of them. Requests that
// can still meet their aim go first, then the more important; within one importance the team that
// used least of its share goes first (start-time fair queueing over expected slot time), and the
// requests of a team keep the order of arrival. Shares that a team does not use go to the others.
//
// Example:
//
//   for (const std::size_t index : fairOrder(requests, shares, now))
//       place(requests[index]);
//
// Pure functions without state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/admission/team_shares.h"

namespace chestnutvane {

// A waiting request as far as its turn depends on it.
struct QueuedRequest
{
    bool isLate = false; // can no longer meet its aim
    int importance = 5; // 0 is the most important
    TimePoint arrival;
    std::uint64_t team = 0; // 0: of no team; such requests share like one team
    Duration work{0}; // expected slot time
};

// Returns the indices of the requests in the order of placement. If all are of one team, that is
// the order of (isLate, importance, arrival); equal requests keep their order.
[[nodiscard]] std::vector<std::size_t> fairOrder(std::span<const QueuedRequest> requests,
                                                 const TeamShares &shares, TimePoint now);

} // namespace chestnutvane
