// The routes and teams of one configuration revision: which service serves a host and a path, how,
// and for whom.
//
// Example:
//
//   auto table = RouteTable::create(revision, routes, services, limits);
//   if (const Route *route = table->find("tickets.example", "/seats/7"))
//       forward(*route);
//
// A RouteTable is immutable, so it may be read from any thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/request/request_class.h"
#include "chestnutvane/version/team_table.h"

namespace chestnutvane {

// A part of a route's requests, for one service.
struct RouteShare
{
    std::string service;
    double weight = 1; // relative to the other shares of the route

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with "/"
    Repeat repeat = Repeat::AtMostOnce;
    std::vector<RouteShare> shares; // one, or several for a weighted split
    Milliseconds timeLimit{10000}; // the longest that a caller is kept waiting
    Milliseconds aim{1000}; // an answer after it has little worth to the caller
    int importance = 5; // 0 is the most important
    int maxAttempts = 1; // targets that one request may be sent to
    bool objectAffinity = false; // a target that served the object of a request lately is faster
    std::vector<std::string> homeRegions; // empty: any region may serve the route
    bool openToAll = false; // needs no key of a team
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // that a target accepts from all instances together
    Milliseconds coldTime{0}; // how long a target is cold after its start
    double coldPerSecond = 0; // requests a second that a cold target bears
};

// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 16777216;
    Milliseconds headerTimeout{5000};
    Milliseconds idleTimeout{15000};
};

enum class RouteFault {
    BadPrefix, // the prefix does not begin and end with "/"
    NoService, // the route has no share, or one of a service that does not exist
    BadWeight, // a weight is negative, or all are 0
    SamePlace, // two routes have the same host and prefix
    BadLimit, // a time limit or a number of attempts is not positive
};

inline constexpr EnumName<RouteFault> routeFaultNames[] = {
        {RouteFault::BadPrefix, "bad-prefix"}, {RouteFault::NoService, "no-service"},
        {RouteFault::BadWeight, "bad-weight"}, {RouteFault::SamePlace, "same-place"},
        {RouteFault::BadLimit, "bad-limit"},
};

struct RouteError
{
    RouteFault fault = RouteFault::BadPrefix;
    std::string route;
};

class RouteTable
{
public:
    // Checks the routes and builds the index. Errors: the first faulty route.
    static Result<std::shared_ptr<const RouteTable>, RouteError>
    create(std::uint64_t revision, std::vector<Route> routes,
           std::map<std::string, ServiceSpec> services, CallerLimits limits, TeamTable teams = {});

    // The route of the host with the longest prefix that begins the path, or nullptr. A query
    // string may follow the path. The host is compared without regard to case and port.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    [[nodiscard]] const ServiceSpec *service(const std::string &name) const;
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const CallerLimits &limits() const { return limits_; }
    [[nodiscard]] const std::vector<Route> &routes() const { return routes_; }
    [[nodiscard]] const TeamTable &teams() const { return teams_; }

private:
    RouteTable() = default;

    std::uint64_t revision_ = 0;
    std::vector<Route> routes_;
    std::map<std::string, ServiceSpec> services_;
    CallerLimits limits_;
    TeamTable teams_;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_; // longest prefix first
};

} // namespace chestnutvane
