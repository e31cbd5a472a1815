#include "chestnutvane/process/gateway/admission/return_time.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;

const ExpectedRoom room{
        .slots = 120, .meanRun = milliseconds(1200), .instances = 10, .waiting = 4, .refused = 20};

RefusedRequest requestOf(int id)
{
    return {hash64(std::to_string(id)), milliseconds(600), milliseconds(400), milliseconds(9000)};
}

// A tenth of the slots, ten a second, become free for this instance.
TEST(ReturnTimeTest, ReturnsAreSpreadOverTheTimeInWhichRoomIsExpected)
{
    constexpr int requests = 1000;
    constexpr double evenly = requests / 4.0;
    std::vector<int> perBucket(4, 0);
    for (int id = 0; id < requests; ++id) {
        const Duration at = returnTime(room, requestOf(id));
        EXPECT_GE(at, milliseconds(500)); // the waiting ones have left
        EXPECT_LE(at, maxReturnTime);
        ++perBucket.at(static_cast<std::size_t>((at - milliseconds(500)) / milliseconds(251)));
    }
    EXPECT_LE(*std::max_element(perBucket.begin(), perBucket.end()), 1.25 * evenly);
}

TEST(ReturnTimeTest, EqualIdsGetEqualTimes)
{
    EXPECT_EQ(returnTime(room, requestOf(3)), returnTime(room, requestOf(3)));
    EXPECT_NE(returnTime(room, requestOf(3)), returnTime(room, requestOf(4)));
}

TEST(ReturnTimeTest, ACallerThatMayStillBeInTimeReturnsInTime)
{
    RefusedRequest request = requestOf(1);
    request.timeToAim = milliseconds(1300);
    for (int id = 0; id < 100; ++id) {
        request.idHash = requestOf(id).idHash;
        EXPECT_LE(returnTime(room, request) + request.run, request.timeToAim);
    }
}

TEST(ReturnTimeTest, WithoutRoomInReachReturnsAreStillSpread)
{
    ExpectedRoom full = room;
    full.waiting = 500;
    RefusedRequest first = requestOf(1);
    first.idHash = 0;
    RefusedRequest last = requestOf(1);
    last.idHash = ~std::uint64_t{0};
    EXPECT_GE(returnTime(full, last) - returnTime(full, first),
              maxReturnTime / 2 - milliseconds(1));
}

RC_GTEST_PROP(ReturnTimeTest, ItIsPositiveAndWithinTheCallersPatience, ())
{
    const ExpectedRoom any{static_cast<double>(*rc::gen::inRange(0, 500)),
                           milliseconds(*rc::gen::inRange(0, 5000)),
                           static_cast<double>(*rc::gen::inRange(0, 100)),
                           static_cast<double>(*rc::gen::inRange(0, 1000)),
                           static_cast<double>(*rc::gen::inRange(0, 1000))};
    const RefusedRequest request{*rc::gen::arbitrary<std::uint64_t>(),
                                 milliseconds(*rc::gen::inRange(0, 5000)),
                                 milliseconds(*rc::gen::inRange(-5000, 5000)),
                                 milliseconds(*rc::gen::inRange(-100, 20000))};
    const Duration at = returnTime(any, request);
    RC_ASSERT(at >= minReturnTime);
    RC_ASSERT(at <= std::max<Duration>(request.timeToDeadline / 3, minReturnTime));
    RC_ASSERT(at <= maxReturnTime);
}

} // namespace
} // namespace chestnutvane
