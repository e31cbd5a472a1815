// Spreads the requests of a route over the services of its split, in proportion to their weights.
//
// Smooth weighted round robin: over any run of requests each share is met to within one request.
//
// Example:
//
//   SplitChoice choice;
//   const std::string &service = choice.next(route);
//
// Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

class SplitChoice
{
public:
    // The service for the next request of the route, which must have a share.
    const std::string &next(const Route &route);

private:
    struct State
    {
        std::vector<RouteShare> shares;
        std::vector<double> credits;
    };
    std::map<std::string, State> states_; // by route name
};

} // namespace chestnutvane
