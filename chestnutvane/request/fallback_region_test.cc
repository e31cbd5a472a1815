#include "chestnutvane/request/fallback_region.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <vector>

namespace chestnutvane {
namespace {

std::vector<FallbackRegion> generateRegions()
{
    const auto share = [] { return *rc::gen::inRange(0, 11) / 10.0; };
    std::vector<FallbackRegion> regions(static_cast<std::size_t>(*rc::gen::inRange(0, 7)));
    for (auto &region : regions)
        region = {
                .headroom = share(), .slots = *rc::gen::inRange(0, 4) * 12.0, .linkShare = share()};
    return regions;
}

// Reference implementation: lists each region once per tenth of a free slot, and uses the sample as
// an index into the list.
std::optional<std::size_t> chooseByEnumeration(const std::vector<FallbackRegion> &regions,
                                               double sample)
{
    std::vector<std::size_t> entries;
    for (std::size_t i = 0; i < regions.size(); ++i) {
        const auto count = std::lround(regions[i].headroom * regions[i].slots * 10);
        const bool eligible =
                regions[i].headroom >= minFallbackHeadroom && regions[i].linkShare > 0;
        entries.insert(entries.end(), static_cast<std::size_t>(eligible ? count : 0), i);
    }
    if (entries.empty())
        return std::nullopt;
    return entries[static_cast<std::size_t>(sample * static_cast<double>(entries.size()))];
}

// Guards against choosing a region without headroom or behind a saturated link, and against
// probabilities that are not proportional to the free slots.
RC_GTEST_PROP(FallbackRegionTest, AgreesWithEnumeration, ())
{
    const auto regions = generateRegions();
    // The offset keeps samples off the boundaries between entries, where the two implementations
    // may round differently.
    const double sample = (*rc::gen::inRange(0, 1000) + 0.4567) / 1000;
    RC_ASSERT(chooseFallback(regions, Reason::Overloaded, sample)
              == chooseByEnumeration(regions, sample));
}

// Guards against refusing a request that another region may serve, and against a fallback of
// requests that must not run in any region: crash suspects and requests past their deadline.
TEST(FallbackRegionTest, ReasonDecidesWhetherToFallBack)
{
    const std::vector<FallbackRegion> noHeadroom{{.region = 1, .slots = 12, .linkShare = 1},
                                                 {.region = 2, .slots = 12, .linkShare = 1}};
    EXPECT_EQ(chooseFallback(noHeadroom, Reason::Overloaded, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback(noHeadroom, Reason::NoTarget, 0.5), 0U);
    EXPECT_EQ(chooseFallback(noHeadroom, Reason::BrokerUnreachable, 0.5), 0U);
    std::vector<FallbackRegion> oneWithHeadroom = noHeadroom;
    oneWithHeadroom[1].headroom = 0.5;
    EXPECT_EQ(chooseFallback(oneWithHeadroom, Reason::Overloaded, 0.5), 1U);
    EXPECT_EQ(chooseFallback(oneWithHeadroom, Reason::BrokerUnreachable, 0.5), 1U);
    EXPECT_EQ(chooseFallback(oneWithHeadroom, Reason::CrashSuspect, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback(oneWithHeadroom, Reason::DeadlineExceeded, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback({}, Reason::NoTarget, 0.5), std::nullopt);
}

} // namespace
} // namespace chestnutvane
