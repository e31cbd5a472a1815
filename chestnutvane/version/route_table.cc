#include "chestnutvane/version/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>

namespace chestnutvane {
namespace {

std::string normalisedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::optional<RouteFault> checkRoute(const Route &route,
                                     const std::map<std::string, ServiceSpec> &services)
{
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        return RouteFault::BadPrefix;
    if (route.shares.empty())
        return RouteFault::NoService;
    double sum = 0;
    for (const auto &[service, weight] : route.shares) {
        if (!services.contains(service))
            return RouteFault::NoService;
        if (weight < 0)
            return RouteFault::BadWeight;
        sum += weight;
    }
    if (sum <= 0)
        return RouteFault::BadWeight;
    if (route.timeLimit.count() <= 0 || route.maxAttempts < 1)
        return RouteFault::BadLimit;
    return std::nullopt;
}

} // namespace

Result<std::shared_ptr<const RouteTable>, RouteError>
RouteTable::create(std::uint64_t revision, std::vector<Route> routes,
                   std::map<std::string, ServiceSpec> services, CallerLimits limits,
                   TeamTable teams)
{
    const std::shared_ptr<RouteTable> table(new RouteTable);
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (const auto fault = checkRoute(routes[i], services))
            return RouteError{*fault, routes[i].name};
        const std::string host = normalisedHost(routes[i].host);
        if (!places.insert({host, routes[i].pathPrefix}).second)
            return RouteError{RouteFault::SamePlace, routes[i].name};
        table->byHost_[host].push_back(i);
    }
    for (auto &[host, indices] : table->byHost_)
        std::sort(indices.begin(), indices.end(), [&routes](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    table->revision_ = revision;
    table->routes_ = std::move(routes);
    table->services_ = std::move(services);
    table->limits_ = limits;
    table->teams_ = std::move(teams);
    return std::shared_ptr<const RouteTable>(table);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = byHost_.find(normalisedHost(host));
    if (routes == byHost_.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const std::size_t index : routes->second) {
        if (path.starts_with(routes_[index].pathPrefix))
            return &routes_[index];
    }
    return nullptr;
}

const ServiceSpec *RouteTable::service(const std::string &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace chestnutvane
