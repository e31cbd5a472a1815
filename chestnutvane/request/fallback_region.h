// Chooses the region to which a request falls back after the broker of a region refused a grant or
// could not be reached.
//
// Example:
//
//   std::vector<FallbackRegion> candidates = ...; // regions not tried yet, nearest first
//   double sample = std::uniform_real_distribution<>(0, 1)(generator);
//   if (const auto index = chooseFallback(candidates, Reason::Overloaded, sample))
//       requestGrant(candidates[*index].region);
//
// Thread-safe: the functions have no state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

// A region that may serve the request, and its spare capacity according to the last reports.
struct FallbackRegion
{
    std::uint16_t region = 0; // region id, not interpreted here
    double headroom = 0; // share of the region's slots that steering may still assign, 0 to 1
    double slots = 0; // slots of the service in the region
    double linkShare = 0; // unused share of the bandwidth cap of the link to the region, 0 to 1
};

// Minimum headroom of a region that receives requests which another region refused. The remaining
// slots are reserved for the region's own callers, and absorb the error of reports, which are up to
// 1 s old.
inline constexpr double minFallbackHeadroom = 0.1;

// Returns whether the reason concerns only the region that was tried, so that another region may be
// able to serve the request.
[[nodiscard]] constexpr bool isRegionSpecific(Reason reason)
{
    return reason == Reason::NoTarget || reason == Reason::BrokerUnreachable
            || reason == Reason::Overloaded;
}

// Returns whether a region can accept requests from other regions: it has slots, at least the
// minimum headroom, and free bandwidth on the link.
[[nodiscard]] bool hasSpareCapacity(const FallbackRegion &candidate);

// Returns the index of the fallback region, or nothing if the request must not fall back.
//
// Chooses among the candidates with spare capacity, with probabilities proportional to their free
// slots. "sample" is a uniform random number in [0, 1) that selects from this distribution. The
// random choice avoids sending all requests to the same region while its report is out of date.
//
// If no candidate has spare capacity, a request refused as Overloaded does not fall back. A request
// that its region cannot serve at all (NoTarget, BrokerUnreachable) falls back to the first
// candidate, whose broker admits or refuses it.
[[nodiscard]] std::optional<std::size_t> chooseFallback(std::span<const FallbackRegion> candidates,
                                                        Reason reason, double sample);

} // namespace chestnutvane
