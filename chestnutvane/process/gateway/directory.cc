#include "chestnutvane/process/gateway/directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/store/instance_entry.h"

namespace chestnutvane {
namespace {

// Returns a hash of caller and instance in [0, 1), divided by the instance's part of the largest
// core share. The caller is told of the instances below 1.
double selectionRank(const DirectoryQuery &query, const DirectoryInstance &instance,
                     double largestShare)
{
    const double hash = unitInterval(hash64(instance.callerAddress, hash64(query.caller)));
    return hash * largestShare / instance.coreShare;
}

// Returns the addresses of the instances that meet the condition and are chosen for the caller.
template <class Condition>
std::vector<std::string> addressesWhere(const DirectoryQuery &query,
                                        const std::vector<DirectoryInstance> &instances,
                                        Condition condition)
{
    double largestShare = 0;
    for (const DirectoryInstance &instance : instances) {
        if (condition(instance))
            largestShare = std::max(largestShare, instance.coreShare);
    }
    std::vector<std::pair<double, std::string>> ranked;
    for (const DirectoryInstance &instance : instances) {
        if (condition(instance))
            ranked.emplace_back(selectionRank(query, instance, largestShare),
                                instance.callerAddress);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> addresses;
    for (const auto &[rank, address] : ranked) {
        const bool isChosen = rank < 1 || addresses.size() < minDirectoryAddresses;
        if (isChosen && addresses.size() < maxDirectoryAddresses)
            addresses.push_back(address);
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

bool mayNameSilentInstance(const InstanceSigns &signs)
{
    if (!signs.canReadList)
        return true;
    const Duration sinceRenewal = signs.sinceListed + instanceEntryTtl;
    if (!signs.sinceReport)
        return sinceRenewal <= maxInstanceSilence;
    const Duration silence =
            signs.hasCurrentLease ? std::min(*signs.sinceReport, sinceRenewal) : *signs.sinceReport;
    return silence <= maxInstanceSilence;
}

std::vector<std::string> instancesFor(const DirectoryQuery &query,
                                      const std::vector<DirectoryInstance> &instances,
                                      const RouteTable *table)
{
    auto inCallerRegion =
            addressesWhere(query, instances, [&query](const DirectoryInstance &instance) {
                return instance.serving && instance.region == query.region;
            });
    if (!inCallerRegion.empty())
        return inCallerRegion;
    if (table == nullptr) {
        return addressesWhere(query, instances, [&query](const DirectoryInstance &instance) {
            return instance.region == query.region;
        });
    }
    const auto homes = homeRegionsOf(table, query.host);
    auto inHomeRegions =
            addressesWhere(query, instances, [&homes](const DirectoryInstance &instance) {
                return instance.serving && homes.contains(instance.region);
            });
    if (!inHomeRegions.empty())
        return inHomeRegions;
    auto serving = addressesWhere(
            query, instances, [](const DirectoryInstance &instance) { return instance.serving; });
    if (!serving.empty())
        return serving;
    return addressesWhere(query, instances, [](const DirectoryInstance &) { return true; });
}

} // namespace chestnutvane
