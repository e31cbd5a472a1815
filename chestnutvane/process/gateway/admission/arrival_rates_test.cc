#include "chestnutvane/process/gateway/admission/arrival_rates.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint begin = TimePoint{} + std::chrono::hours(1);

TEST(ArrivalRatesTest, TheShareIsThatOfLessImportantRequests)
{
    ArrivalRates rates;
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = begin + milliseconds(100) * i;
        rates.onArrival(0, now);
        rates.onArrival(2, now);
        rates.onArrival(2, now);
        rates.onArrival(5, now);
    }
    const TimePoint end = begin + seconds(10);
    EXPECT_NEAR(rates.lessImportantShare(0, end), 0.75, 0.01);
    EXPECT_NEAR(rates.lessImportantShare(2, end), 0.25, 0.01);
    EXPECT_EQ(rates.lessImportantShare(5, end), 0);
    EXPECT_NEAR(rates.perSecond(end), 40, 4);
}

TEST(ArrivalRatesTest, ABurstIsSeenWithinTheWindowAndForgottenSoonAfter)
{
    ArrivalRates rates;
    for (int i = 0; i < 200; ++i)
        rates.onArrival(0, begin + milliseconds(10) * i);
    EXPECT_GT(rates.perSecond(begin + ArrivalRates::window), 60);
    EXPECT_LT(rates.perSecond(begin + 4 * ArrivalRates::window), 10);
}

TEST(ArrivalRatesTest, WithoutArrivalsTheRateIsZero)
{
    EXPECT_EQ(ArrivalRates().perSecond(begin), 0);
    EXPECT_EQ(ArrivalRates().lessImportantShare(0, begin), 0);
}

} // namespace
} // namespace chestnutvane
