#include "chestnutvane/process/gateway/admission/shutdown_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;

const TimePoint begin = TimePoint{} + std::chrono::hours(1);
const ShutdownWindow window{begin, begin + milliseconds(5500)};

// A request at some time after the beginning of the shutdown, with the given time left.
ShutdownRequest requestAt(milliseconds after, milliseconds timeLeft, milliseconds expected,
                          bool isRepeatable)
{
    return {begin + after, begin + after + timeLeft, expected, isRepeatable};
}

// Guards against a request that is cut although it came late in the shutdown.
TEST(ShutdownAdmissionTest, ALateRequestThatMayOutlastTheProcessIsNotSent)
{
    for (const bool isRepeatable : {false, true}) {
        EXPECT_FALSE(maySendBeforeShutdown(window,
                                           requestAt(milliseconds(3050), milliseconds(3000),
                                                     milliseconds(900), isRepeatable)));
        EXPECT_FALSE(maySendBeforeShutdown(window,
                                           requestAt(milliseconds(4600), milliseconds(1000),
                                                     milliseconds(300), isRepeatable)));
    }
}

// Guards against refusing requests that are answered before the end in any case.
TEST(ShutdownAdmissionTest, ARequestWhoseDeadlinePassesBeforeTheEndIsSent)
{
    EXPECT_TRUE(maySendBeforeShutdown(
            window, requestAt(milliseconds(4000), milliseconds(1000), milliseconds(900), false)));
}

// Guards against an instance that refuses everything from the beginning of its shutdown.
TEST(ShutdownAdmissionTest, AnEarlyRequestThatShouldEndInTimeIsSent)
{
    EXPECT_TRUE(maySendBeforeShutdown(
            window, requestAt(milliseconds(100), milliseconds(8000), milliseconds(1700), false)));
    EXPECT_TRUE(maySendBeforeShutdown(
            window, requestAt(milliseconds(2500), milliseconds(8000), milliseconds(2400), true)));
    EXPECT_FALSE(maySendBeforeShutdown(
            window, requestAt(milliseconds(2500), milliseconds(8000), milliseconds(2900), true)));
}

// Guards against a cut that leaves the caller of an at-most-once request in doubt.
TEST(ShutdownAdmissionTest, AnAtMostOnceRequestNeedsAWiderMargin)
{
    EXPECT_FALSE(maySendBeforeShutdown(
            window, requestAt(milliseconds(2500), milliseconds(8000), milliseconds(1500), false)));
    EXPECT_TRUE(maySendBeforeShutdown(
            window, requestAt(milliseconds(2500), milliseconds(8000), milliseconds(900), false)));
}

// Guards against a request that is sent after the send time and runs until the end of the process.
RC_GTEST_PROP(ShutdownAdmissionTest, WhatIsSentLateIsAnsweredBeforeTheEnd, ())
{
    const auto after = milliseconds(*rc::gen::inRange(0, 6000));
    const auto timeLeft = milliseconds(*rc::gen::inRange(1, 20000));
    const auto expected = milliseconds(*rc::gen::inRange(0, 10000));
    const auto request = requestAt(after, timeLeft, expected, *rc::gen::arbitrary<bool>());
    if (after >= shutdownSendTime && maySendBeforeShutdown(window, request))
        RC_ASSERT(request.answeredAt < window.end);
}

} // namespace
} // namespace chestnutvane
