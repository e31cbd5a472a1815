// Clock and duration types. Decision code receives time as an argument and never reads a clock.
#pragma once

#include <chrono>

namespace chestnutvane {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

} // namespace chestnutvane
