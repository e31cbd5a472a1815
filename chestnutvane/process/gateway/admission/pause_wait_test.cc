#include "chestnutvane/process/gateway/admission/pause_wait.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const TimePoint start = TimePoint{} + 1h;

// Guards against a refusal that costs a caller an answer in time, and against a wait that cannot
// end well.
TEST(PauseWaitTest, ARequestWaitsOnlyForATargetThatCanStillAnswer)
{
    const PausedRequest request{start, start + 2s, 400ms};
    EXPECT_TRUE(shouldAwaitReturn(start + 200ms, request));
    EXPECT_TRUE(shouldAwaitReturn(start + 1300ms, request));
    EXPECT_FALSE(shouldAwaitReturn(start + 1301ms, request));
    EXPECT_FALSE(shouldAwaitReturn(start + 5s, request));
    EXPECT_FALSE(shouldAwaitReturn(start + 200ms, {start, start + 500ms, 400ms}));
    EXPECT_FALSE(shouldAwaitReturn(start + 1ms, {start, start - 1s, 0ms}));
}

// Guards against a wait whose answer would come after the deadline.
RC_GTEST_PROP(PauseWaitTest, WhatIsWaitedForEndsBeforeTheDeadline, ())
{
    const auto time = [] { return std::chrono::milliseconds(*rc::gen::inRange(0, 10000)); };
    const PausedRequest request{start, start + time(), time()};
    const TimePoint returnsAt = start + time();
    if (shouldAwaitReturn(returnsAt, request))
        RC_ASSERT(returnsAt + request.runTime <= request.deadline);
}

} // namespace
} // namespace chestnutvane
