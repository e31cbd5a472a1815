#include "chestnutvane/request/fallback_region.h"

namespace chestnutvane {
namespace internal {
namespace {

double freeSlots(const FallbackRegion &candidate)
{
    return hasSpareCapacity(candidate) ? candidate.headroom * candidate.slots : 0;
}

} // namespace
} // namespace internal

bool hasSpareCapacity(const FallbackRegion &candidate)
{
    return candidate.headroom >= minFallbackHeadroom && candidate.linkShare > 0
            && candidate.slots > 0;
}

std::optional<std::size_t> chooseFallback(std::span<const FallbackRegion> candidates, Reason reason,
                                          double sample)
{
    if (candidates.empty() || !isRegionSpecific(reason))
        return std::nullopt;
    double totalFreeSlots = 0;
    for (const auto &candidate : candidates)
        totalFreeSlots += internal::freeSlots(candidate);
    std::optional<std::size_t> chosen;
    double cumulativeFreeSlots = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!hasSpareCapacity(candidates[i]))
            continue;
        chosen = i; // the result if rounding puts the scaled sample at or above the last sum
        cumulativeFreeSlots += internal::freeSlots(candidates[i]);
        if (sample * totalFreeSlots < cumulativeFreeSlots)
            return chosen;
    }
    if (!chosen && reason != Reason::Overloaded)
        chosen = 0;
    return chosen;
}

} // namespace chestnutvane
