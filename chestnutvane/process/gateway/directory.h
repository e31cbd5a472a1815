// Decides which instances a caller is told to connect to.
//
// Example:
//
//   auto addresses = instancesFor(query, instances, table.get());
//
// Pure functions without state.
#pragma once

#include <string>
#include <vector>

#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

// An instance that may be named to callers.
struct DirectoryInstance
{
    std::string callerAddress;
    std::string zone;
    std::string region;
    bool serving = true; // false: it is stopping or does not know enough yet
};

struct DirectoryQuery
{
    std::string host;
    std::string region; // of the caller
    std::string zone;
};

// The longest answer.
inline constexpr std::size_t maxDirectoryAddresses = 64;

// The instances of the caller's region; without any, those of the home regions of the host's
// routes; without any, those of all regions. Instances that are not serving are named only if there
// is no other one at all.
std::vector<std::string> instancesFor(const DirectoryQuery &query,
                                      const std::vector<DirectoryInstance> &instances,
                                      const RouteTable *table);

} // namespace chestnutvane
