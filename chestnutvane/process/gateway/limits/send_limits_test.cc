#include "chestnutvane/process/gateway/limits/send_limits.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <limits>
#include <random>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const TimePoint start = TimePoint{} + 1h;

// Guards against shares of the instances that add up to more than the limit of a target in its cold
// start, also in a fleet with more instances than the limit has requests.
RC_GTEST_PROP(ColdStartRateShareTest, SharesOfAllInstancesKeepTheBound, ())
{
    const ColdStartRateLimit totalLimit{*rc::gen::inRange(1, 100) / 10.0, 1.5, 5};
    const auto instances = *rc::gen::inRange<std::size_t>(1, 100);
    const double allowed = totalLimit.perSecond * totalLimit.overshoot + totalLimit.slack;
    std::size_t sum = 0;
    for (std::size_t rank = 0; rank < instances; ++rank)
        sum += coldStartRateShare(totalLimit, {instances, rank});
    RC_ASSERT(static_cast<double>(sum) <= allowed);
    RC_ASSERT(sum >= 1U); // the target gets some requests
}

// Guards against a counter that keeps events for longer or shorter than its window.
TEST(SlidingWindowCounterTest, CountsTheEventsOfTheWindow)
{
    SlidingWindowCounter eventCounter(1s);
    eventCounter.add(start);
    eventCounter.add(start + 400ms);
    EXPECT_EQ(eventCounter.count(start + 999ms), 2U);
    EXPECT_EQ(eventCounter.count(start + 1000ms), 1U);
    EXPECT_EQ(eventCounter.count(start + 1400ms), 0U);
}

// Guards against retries above the limit in any window, summed over all instances. Each instance
// sees a part of the requests; one of them may see nearly all.
RC_GTEST_PROP(RetryLimiterTest, RetriesOfAllInstancesKeepTheBoundInEachWindow, ())
{
    const RetryLimit totalLimit{0.2, 56, 10s};
    constexpr std::size_t instances = 8;
    std::vector<RetryLimiter> limiters(instances, RetryLimiter(totalLimit));
    SlidingWindowCounter requests(totalLimit.window);
    SlidingWindowCounter retries(totalLimit.window);
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const int busyPercent = *rc::gen::inRange(0, 100);
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<std::size_t> any(0, instances - 1);
    for (int step = 0; step < 3000; ++step) {
        const TimePoint now = start + step * 10ms;
        const std::size_t instance = percent(random) < busyPercent ? 0 : any(random);
        limiters[instance].onRequest(now);
        requests.add(now);
        for (int attempt = 0; attempt < 3; ++attempt) { // all attempts fail
            if (limiters[instance].tryAcquire(now, instances))
                retries.add(now);
        }
        const double allowed =
                totalLimit.ratio * static_cast<double>(requests.count(now)) + totalLimit.slack;
        RC_ASSERT(static_cast<double>(retries.count(now)) <= allowed);
    }
}

// Guards against a limiter that refuses the first retries of a service with few requests.
TEST(RetryLimiterTest, AQuietServiceMayRetry)
{
    RetryLimiter limiter({0.2, 56, 10s});
    limiter.onRequest(start);
    EXPECT_TRUE(limiter.tryAcquire(start, 8));
}

// Guards against instances that start together and each spend the whole slack of the retries.
TEST(RetryLimiterTest, AnInstanceThatKnowsNoOtherYetGetsNoSlack)
{
    RetryLimiter limiter({.ratio = 0.2, .slack = 200});
    EXPECT_FALSE(limiter.tryAcquire(Clock::now(), std::numeric_limits<std::size_t>::max()));
    EXPECT_TRUE(limiter.tryAcquire(Clock::now(), 2));
}

} // namespace
} // namespace chestnutvane
