#include "chestnutvane/connection/retry_after.h"

#include <charconv>
#include <cmath>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

RetryAfter readOne(std::string_view text)
{
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto [next, failure] =
            std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (next != end || text.empty())
        return {Duration{0}, RetryAfterRule::NotANumber};
    if (failure == std::errc::result_out_of_range) // digits only, so it is huge or next to zero
        return {maxPause, RetryAfterRule::Bounded};
    if (failure != std::errc{} || !std::isfinite(seconds))
        return {Duration{0}, RetryAfterRule::NotANumber};
    if (seconds < 0)
        return {Duration{0}, RetryAfterRule::Negative};
    if (seconds == 0)
        return {Duration{0}, RetryAfterRule::Zero};
    if (Seconds(seconds) > maxPause)
        return {maxPause, RetryAfterRule::Bounded};
    return {std::chrono::duration_cast<Duration>(Seconds(seconds)), RetryAfterRule::Taken};
}

} // namespace

RetryAfter readRetryAfter(const std::vector<std::string_view> &values)
{
    if (values.empty())
        return {};
    RetryAfter longest = readOne(values.front());
    if (values.size() == 1)
        return longest;
    for (const std::string_view value : values)
        longest.pause = std::max(longest.pause, readOne(value).pause);
    longest.rule = RetryAfterRule::Repeated;
    return longest;
}

std::string retryAfterText(Duration pause)
{
    const std::string seconds = std::to_string(Seconds(pause).count());
    constexpr std::size_t decimals = 2;
    return seconds.substr(0, seconds.find('.') + 1 + decimals);
}

} // namespace chestnutvane
