// Run times of requests at targets, learned from answers.
//
// Example:
//
//   WorkTimes times;
//   times.learn("seat-maps", "box-office", true, run);
//   WorkEstimate work = times.estimate("seat-maps", "box-office", route.aim);
//
// Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/placement.h"

namespace chestnutvane {

class WorkTimes
{
public:
    // Counts a run on a target that was thought to have served the object lately, or not.
    void learn(const std::string &route, const std::string &service, bool warm, Duration run);

    // The estimate for a route. Without a run so far it is derived from the aim of the route.
    [[nodiscard]] WorkEstimate estimate(const std::string &route, const std::string &service,
                                        Duration aim) const;

private:
    struct Mean
    {
        double seconds = 0;
        int runs = 0;
        void add(double sample);
    };
    struct RouteTimes
    {
        Mean warm;
        Mean cold;
    };
    std::map<std::string, RouteTimes> routes_;
    std::map<std::string, Mean> services_;
};

} // namespace chestnutvane
