#include "chestnutvane/process/gateway/admission/arrival_rates.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint begin = TimePoint{} + std::chrono::hours(1);

TEST(ArrivalRatesTest, OnlyMoreImportantRequestsWithAShorterAimAreMoreUrgent)
{
    ArrivalRates rates;
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = begin + milliseconds(100) * i;
        rates.onArrival(0, milliseconds(500), now);
        rates.onArrival(0, milliseconds(4000), now);
        rates.onArrival(2, milliseconds(3000), now);
        rates.onArrival(2, milliseconds(300), now);
    }
    const TimePoint end = begin + seconds(10);
    EXPECT_NEAR(rates.moreUrgentThan(2, milliseconds(3000), end), 10, 1);
    EXPECT_EQ(rates.moreUrgentThan(0, milliseconds(500), end), 0);
    EXPECT_NEAR(rates.perSecond(end), 40, 4);
}

TEST(ArrivalRatesTest, ABurstIsSeenWithinTheWindowAndForgottenSoonAfter)
{
    ArrivalRates rates;
    for (int i = 0; i < 200; ++i)
        rates.onArrival(0, milliseconds(500), begin + milliseconds(10) * i);
    EXPECT_GT(rates.perSecond(begin + ArrivalRates::window), 60);
    EXPECT_LT(rates.perSecond(begin + 4 * ArrivalRates::window), 10);
}

TEST(ArrivalRatesTest, WithoutArrivalsTheRateIsZero)
{
    EXPECT_EQ(ArrivalRates().perSecond(begin), 0);
}

} // namespace
} // namespace chestnutvane
