// A clock that counts the time for which the machine was suspended, unlike Clock.
//
// Ages of facts from outside (a lease, a list, a report) are judged by it: after a suspension they
// are older than Clock says.
#pragma once

#include <chrono>

namespace chestnutvane {

struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name

    // Reads CLOCK_BOOTTIME.
    static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

} // namespace chestnutvane
