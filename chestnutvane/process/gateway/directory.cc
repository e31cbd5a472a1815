#include "chestnutvane/process/gateway/directory.h"

#include <algorithm>
#include <set>

namespace chestnutvane {
namespace {

template <class Condition>
std::vector<std::string> addressesWhere(const std::vector<DirectoryInstance> &instances,
                                        Condition condition)
{
    std::vector<std::string> addresses;
    for (const auto &instance : instances) {
        if (condition(instance) && addresses.size() < maxDirectoryAddresses)
            addresses.push_back(instance.callerAddress);
    }
    return addresses;
}

std::set<std::string> homeRegionsOf(const RouteTable *table, const std::string &host)
{
    std::set<std::string> homes;
    if (table == nullptr)
        return homes;
    for (const Route &route : table->routes()) {
        if (route.host == host)
            homes.insert(route.homeRegions.begin(), route.homeRegions.end());
    }
    return homes;
}

} // namespace

std::vector<std::string> instancesFor(const DirectoryQuery &query,
                                      const std::vector<DirectoryInstance> &instances,
                                      const RouteTable *table)
{
    auto inCallerRegion = addressesWhere(instances, [&query](const DirectoryInstance &instance) {
        return instance.serving && instance.region == query.region;
    });
    if (!inCallerRegion.empty())
        return inCallerRegion;
    if (table == nullptr) {
        return addressesWhere(instances, [&query](const DirectoryInstance &instance) {
            return instance.region == query.region;
        });
    }
    const auto homes = homeRegionsOf(table, query.host);
    auto inHomeRegions = addressesWhere(instances, [&homes](const DirectoryInstance &instance) {
        return instance.serving && homes.contains(instance.region);
    });
    if (!inHomeRegions.empty())
        return inHomeRegions;
    auto serving = addressesWhere(
            instances, [](const DirectoryInstance &instance) { return instance.serving; });
    if (!serving.empty())
        return serving;
    return addressesWhere(instances, [](const DirectoryInstance &) { return true; });
}

} // namespace chestnutvane
