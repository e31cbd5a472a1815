#include "chestnutvane/request/fallback_region.h"

namespace chestnutvane {
namespace internal {
namespace {

double freeSlots(const FallbackRegion &candidate)
{
    return hasRoom(candidate) ? candidate.headroom * candidate.slots : 0;
}

} // namespace
} // namespace internal

bool hasRoom(const FallbackRegion &candidate)
{
    return candidate.headroom >= minFallbackHeadroom && candidate.linkShare > 0
            && candidate.slots > 0;
}

std::optional<std::size_t> chooseFallback(std::span<const FallbackRegion> candidates, Reason reason,
                                          double point)
{
    if (candidates.empty() || !isRegional(reason))
        return std::nullopt;
    double total = 0;
    for (const auto &candidate : candidates)
        total += internal::freeSlots(candidate);
    std::optional<std::size_t> chosen;
    double below = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!hasRoom(candidates[i]))
            continue;
        chosen = i; // the last one with room, should rounding leave the point above the sum
        below += internal::freeSlots(candidates[i]);
        if (point * total < below)
            return chosen;
    }
    if (!chosen && reason != Reason::Overloaded)
        chosen = 0;
    return chosen;
}

} // namespace chestnutvane
