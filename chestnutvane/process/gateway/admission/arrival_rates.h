// Rates at which requests of each urgency arrive at this instance, per service.
//
// Example:
//
//   rates.onArrival(route.importance, route.aim, now);
//   const double urgent = rates.moreUrgentThan(route.importance, route.aim, now);
//
// Not thread-safe.
#pragma once

#include <map>
#include <utility>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

class ArrivalRates
{
public:
    void onArrival(int importance, Duration aim, TimePoint now);

    // Requests per second of all kinds.
    [[nodiscard]] double perSecond(TimePoint now) const;

    // Requests per second that are more important than the request given and have a shorter aim.
    [[nodiscard]] double moreUrgentThan(int importance, Duration aim, TimePoint now) const;

    // Time constant of the rates. Bursts rise within a second or two; a shorter time would count
    // too few requests at one instance of many.
    static constexpr Milliseconds window{2000};

private:
    struct Count
    {
        double requests = 0; // decaying
        TimePoint at{};
    };
    [[nodiscard]] static double decayedCount(const Count &count, TimePoint now);

    std::map<std::pair<int, Duration>, Count> counts_; // by importance and aim
};

} // namespace chestnutvane
