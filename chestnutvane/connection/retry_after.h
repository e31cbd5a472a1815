// Reads and writes the Retry-After header of a refusal, in seconds with an optional fraction.
//
// Example:
//
//   const RetryAfter asked = readRetryAfter({"0.5"});
//   if (asked.pause > Duration::zero())
//       holdOff(asked.pause);
//
// Pure functions without state.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// How the header was read.
enum class RetryAfterRule {
    Absent, // no header
    Taken,
    Bounded, // above maxPause, which is taken
    Zero, // no pause
    Negative, // ignored
    NotANumber, // ignored; dates among them
    Repeated, // several headers, the longest pause is taken
};

inline constexpr EnumName<RetryAfterRule> retryAfterRuleNames[] = {
        {RetryAfterRule::Absent, "absent"},     {RetryAfterRule::Taken, "taken"},
        {RetryAfterRule::Bounded, "bounded"},   {RetryAfterRule::Zero, "zero"},
        {RetryAfterRule::Negative, "negative"}, {RetryAfterRule::NotANumber, "not-a-number"},
        {RetryAfterRule::Repeated, "repeated"},
};

struct RetryAfter
{
    Duration pause{0}; // zero if nothing is asked for, or the header is ignored
    RetryAfterRule rule = RetryAfterRule::Absent;
};

// The longest pause that a target gets.
inline constexpr std::chrono::minutes maxPause{10};

// Reads the values of all Retry-After headers of a message.
[[nodiscard]] RetryAfter readRetryAfter(const std::vector<std::string_view> &values);

// Writes the value of the header, in seconds with two decimals.
[[nodiscard]] std::string retryAfterText(Duration pause);

} // namespace chestnutvane
