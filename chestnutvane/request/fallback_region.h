// Chooses the region that a request goes to after the broker of its region could not serve it.
//
// Example:
//
//   std::vector<FallbackRegion> candidates = ...; // not tried yet, nearest first
//   if (const auto index = chooseFallback(candidates, Reason::Overloaded, point))
//       askBrokerOf(candidates[*index].region);
//
// Functions without state, safe to call from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

struct FallbackRegion
{
    std::uint16_t region = 0;
    double headroom = 0; // share of the slots that steering may still fill, 0 to 1
    double slots = 0;
    double linkShare = 0; // share of the link that is free under its cap, 0 to 1
};

// A region with less headroom takes no requests that another region refused: its own callers need
// the rest, and reports are up to 1 s old.
inline constexpr double minFallbackHeadroom = 0.1;

// Whether a refusal for this reason is about one region, so that another one may serve the request.
[[nodiscard]] constexpr bool isRegionSpecific(Reason reason)
{
    return reason == Reason::NoTarget || reason == Reason::BrokerUnreachable
            || reason == Reason::Overloaded;
}

// Whether a region has room for requests of another one.
[[nodiscard]] bool hasSpareCapacity(const FallbackRegion &candidate);

// Picks among the candidates with room, weighted by their free slots; "point" in [0, 1) is the
// request's place in that distribution, so that all requests do not go to one region while its
// report is old. Without any room an overloaded request stays refused. One that its region cannot
// serve at all (NoTarget, BrokerUnreachable) goes to the first candidate, whose broker decides.
[[nodiscard]] std::optional<std::size_t> chooseFallback(std::span<const FallbackRegion> candidates,
                                                        Reason reason, double sample);

} // namespace chestnutvane
