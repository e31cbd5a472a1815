#include "chestnutvane/connection/retry_after.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Guards against a header that ends the process, holds a target off for ever, or is not obeyed.
TEST(RetryAfterTest, EachKindOfValueHasItsRule)
{
    struct Case
    {
        std::vector<std::string_view> values;
        Duration pause;
        const char *rule;
    };
    const Case cases[]{
            {{}, 0s, "absent"},
            {{"2"}, 2s, "taken"},
            {{"0.25"}, 250ms, "taken"},
            {{"600"}, 600s, "taken"},
            {{"601"}, 600s, "bounded"},
            {{std::string_view("99999999999999999999999999999999")}, 600s, "bounded"},
            {{"0"}, 0s, "zero"},
            {{"0.0"}, 0s, "zero"},
            {{"-1"}, 0s, "negative"},
            {{""}, 0s, "not-a-number"},
            {{"soon"}, 0s, "not-a-number"},
            {{"1 s"}, 0s, "not-a-number"},
            {{"1e3"}, 0s, "not-a-number"},
            {{"inf"}, 0s, "not-a-number"},
            {{"nan"}, 0s, "not-a-number"},
            {{"Sat, 05 Dec 2026 22:22:14 GMT"}, 0s, "not-a-number"},
            {{"1", "3"}, 3s, "repeated"},
            {{"soon", "0.5"}, 500ms, "repeated"},
            {{"-4", "soon"}, 0s, "repeated"},
    };
    for (const auto &[values, pause, rule] : cases) {
        const RetryAfter read = readRetryAfter(values);
        EXPECT_EQ(read.pause, pause) << (values.empty() ? "" : values[0]);
        EXPECT_EQ(enumName(retryAfterRuleNames, read.rule), rule)
                << (values.empty() ? "" : values[0]);
    }
    const std::string digits(400, '9');
    EXPECT_EQ(readRetryAfter({digits}).pause, maxPause);
}

// Guards against any text that gives a pause outside of the bounds.
RC_GTEST_PROP(RetryAfterTest, EachPauseIsWithinTheBounds, (const std::vector<std::string> &texts))
{
    const RetryAfter read = readRetryAfter({texts.begin(), texts.end()});
    RC_ASSERT(read.pause >= Duration::zero());
    RC_ASSERT(read.pause <= maxPause);
}

} // namespace
} // namespace chestnutvane
