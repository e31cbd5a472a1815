// Distributes the requests of a route over the services of its traffic split, by weight.
//
// Smooth weighted round robin: in any sequence of requests each service is within one request of
// its share.
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
    // Returns the service for the next request of the route. The route must have at least one
    // share.
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
