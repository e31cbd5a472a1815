// Durations as numbers, for the arithmetic of rates.
#pragma once

#include "chestnutvane/base/time.h"

namespace chestnutvane {

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace chestnutvane
