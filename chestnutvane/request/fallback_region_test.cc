#include "chestnutvane/request/fallback_region.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <vector>

namespace chestnutvane {
namespace {

std::vector<FallbackRegion> generatedRegions()
{
    const auto share = [] { return *rc::gen::inRange(0, 11) / 10.0; };
    std::vector<FallbackRegion> regions(static_cast<std::size_t>(*rc::gen::inRange(0, 7)));
    for (auto &region : regions)
        region = {
                .headroom = share(), .slots = *rc::gen::inRange(0, 4) * 12.0, .linkShare = share()};
    return regions;
}

// The naive version: one lot for each tenth of a free slot, and the point picks a lot.
std::optional<std::size_t> pickLot(const std::vector<FallbackRegion> &regions, double point)
{
    std::vector<std::size_t> lots;
    for (std::size_t i = 0; i < regions.size(); ++i) {
        const auto count = std::lround(regions[i].headroom * regions[i].slots * 10);
        const bool roomy = regions[i].headroom >= minFallbackHeadroom && regions[i].linkShare > 0;
        lots.insert(lots.end(), static_cast<std::size_t>(roomy ? count : 0), i);
    }
    if (lots.empty())
        return std::nullopt;
    return lots[static_cast<std::size_t>(point * static_cast<double>(lots.size()))];
}

// Guards against requests sent to a region without headroom or over a full link, and against a
// share that differs from the free slots.
RC_GTEST_PROP(FallbackRegionTest, AgreesWithLots, ())
{
    const auto regions = generatedRegions();
    // Between the borders of lots, where the two versions may round differently.
    const double point = (*rc::gen::inRange(0, 1000) + 0.4567) / 1000;
    RC_ASSERT(chooseFallback(regions, Reason::Overloaded, point) == pickLot(regions, point));
}

// Guards against a request that is refused although another region may serve it, and against
// requests sent elsewhere that must not run there: a suspect, or one whose time is over.
TEST(FallbackRegionTest, ReasonDecidesWhetherToGoElsewhere)
{
    const std::vector<FallbackRegion> full{{.region = 1, .slots = 12, .linkShare = 1},
                                           {.region = 2, .slots = 12, .linkShare = 1}};
    EXPECT_EQ(chooseFallback(full, Reason::Overloaded, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback(full, Reason::NoTarget, 0.5), 0U);
    EXPECT_EQ(chooseFallback(full, Reason::BrokerUnreachable, 0.5), 0U);
    std::vector<FallbackRegion> roomy = full;
    roomy[1].headroom = 0.5;
    EXPECT_EQ(chooseFallback(roomy, Reason::Overloaded, 0.5), 1U);
    EXPECT_EQ(chooseFallback(roomy, Reason::BrokerUnreachable, 0.5), 1U);
    EXPECT_EQ(chooseFallback(roomy, Reason::CrashSuspect, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback(roomy, Reason::DeadlineExceeded, 0.5), std::nullopt);
    EXPECT_EQ(chooseFallback({}, Reason::NoTarget, 0.5), std::nullopt);
}

} // namespace
} // namespace chestnutvane
