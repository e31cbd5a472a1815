#include "chestnutvane/process/gateway/split_choice.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

Route split(std::vector<RouteShare> shares)
{
    Route route;
    route.name = "r";
    route.shares = std::move(shares);
    return route;
}

// Guards against a share that deviates from its weight, also over a few requests.
TEST(SplitChoiceTest, SharesFollowTheWeightsToWithinOneRequest)
{
    SplitChoice choice;
    const Route route = split({{"a", 90}, {"b", 10}});
    int b = 0;
    for (int n = 1; n <= 200; ++n) {
        b += choice.next(route) == "b" ? 1 : 0;
        EXPECT_NEAR(b, n * 0.1, 1);
    }
}

// Guards against a service with weight 0 that gets requests.
TEST(SplitChoiceTest, AShareWithoutWeightGetsNothing)
{
    SplitChoice choice;
    const Route route = split({{"a", 1}, {"b", 0}});
    for (int n = 0; n < 50; ++n)
        EXPECT_EQ(choice.next(route), "a");
}

// Guards against a change of weights that takes effect late because credits of the old ones remain.
TEST(SplitChoiceTest, NewWeightsHoldFromTheNextRequest)
{
    SplitChoice choice;
    for (int n = 0; n < 7; ++n)
        (void)choice.next(split({{"a", 90}, {"b", 10}}));
    int b = 0;
    for (int n = 0; n < 100; ++n)
        b += choice.next(split({{"a", 50}, {"b", 50}})) == "b" ? 1 : 0;
    EXPECT_NEAR(b, 50, 1);
}

} // namespace
} // namespace chestnutvane
