#include "chestnutvane/connection/caller_places.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

CallerPlace placeOf(CallerStage stage, std::size_t share = 1, int progress = 1)
{
    return {{stage, 0, TimePoint(Milliseconds(progress)), false}, share};
}

// Guards against a listener that ends what callers wait for while others hold places for nothing.
TEST(CallerPlacesTest, WhatIsWorthLeastGoesFirst)
{
    const CallerPlace order[]{placeOf(CallerStage::Ending), placeOf(CallerStage::Idle),
                              placeOf(CallerStage::Head), placeOf(CallerStage::Body)};
    for (std::size_t i = 0; i + 1 < std::size(order); ++i) {
        EXPECT_TRUE(mayYieldPlace(order[i]));
        EXPECT_TRUE(yieldsPlaceBefore(order[i], order[i + 1]));
        EXPECT_FALSE(yieldsPlaceBefore(order[i + 1], order[i]));
    }
    EXPECT_FALSE(mayYieldPlace(placeOf(CallerStage::Handled)));
    CallerPlace pipelined = placeOf(CallerStage::Head);
    pipelined.standing.hasOpenCalls = true;
    EXPECT_FALSE(mayYieldPlace(pipelined));
}

// Guards against one address that keeps all others out.
TEST(CallerPlacesTest, TheAddressWithTheMostConnectionsGoesFirst)
{
    EXPECT_TRUE(
            yieldsPlaceBefore(placeOf(CallerStage::Head, 50, 9), placeOf(CallerStage::Head, 2, 1)));
    EXPECT_TRUE(
            yieldsPlaceBefore(placeOf(CallerStage::Head, 2, 1), placeOf(CallerStage::Head, 2, 9)));
}

TEST(CallerPlacesTest, SharesCountLiveConnections)
{
    CallerShares shares;
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    auto first = shares.add(address);
    {
        const auto second = shares.add(address);
        EXPECT_EQ(*first, 2U);
    }
    EXPECT_EQ(*first, 1U);
    first.reset();
    EXPECT_EQ(*shares.add(address), 1U);
}

} // namespace
} // namespace chestnutvane
