// Rates at which requests of each importance arrive at this instance, for one service.
//
// Example:
//
//   rates.onArrival(request.importance, now);
//   const double share = rates.lessImportantShare(request.importance, now);
//
// Not thread-safe.
#pragma once

#include <map>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

class ArrivalRates
{
public:
    void onArrival(int importance, TimePoint now);

    // Requests per second of all importances.
    [[nodiscard]] double perSecond(TimePoint now) const;

    // Share of the requests that are less important than the importance given.
    [[nodiscard]] double lessImportantShare(int importance, TimePoint now) const;

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

    std::map<int, Count> counts_; // by importance, 0 is the most important
};

} // namespace chestnutvane
