// Selects the instances that a caller may connect to, for the directory.
//
// Callers pick one of the named instances at random, whatever its size. So an instance with few
// processor cores is named to fewer callers: with a fifth of the cores of the largest one to a
// fifth of them. A caller is told the same instances each time, as it closes its connections to
// others.
//
// Example:
//
//   auto addresses = instancesFor(query, instances, table.get());
//
// Pure functions without state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

// An instance that the directory may return to callers.
struct DirectoryInstance
{
    std::string callerAddress;
    std::string zone;
    std::string region;
    bool serving = true; // false: stopping, or starting and without routes or targets
    double coreShare = 1; // processor cores that it may use
};

struct DirectoryQuery
{
    std::string host;
    std::string region; // region of the caller
    std::string zone;
    std::string caller; // the caller's IP address
};

// What shows that another instance runs, for an instance that hears no other one.
struct InstanceSigns
{
    std::optional<Duration> sinceReport; // since its last report arrived; nothing: unknown
    Duration sinceListed{0}; // since the start of the store read that listed it
    bool hasCurrentLease = true; // the list tells that its lease was renewed lately
    bool canReadList = true; // false: the store cannot be read, and no newer list can be had
};

// Time after its last sign of life for which a silent instance is still named. An entry in the
// store outlives its instance by instanceEntryTtl, the next read of the list starts within
// isolatedInstanceReadPeriod, and 1.2 s are left for the call.
inline constexpr Milliseconds maxInstanceSilence{5000};

// Whether an instance that the store lists may still be named to callers although its reports have
// stopped. While the store cannot be read, all listed instances may be: they are more likely cut
// off from this instance than dead.
bool mayNameSilentInstance(const InstanceSigns &signs);

// Named to each caller at least, so that it has others when one fails.
inline constexpr std::size_t minDirectoryAddresses = 4;
// Maximum number of addresses in a response.
inline constexpr std::size_t maxDirectoryAddresses = 64;

// Returns the caller addresses of the serving instances of the caller's region. If there are none,
// returns those in the home regions of the host's routes; if there are none either, those of all
// regions. Instances that are not serving are returned only if no instance is serving. Without a
// table the homes are unknown, so only instances of the caller's region are returned, or none. Of
// each group a part is chosen by the caller and the instances' cores.
std::vector<std::string> instancesFor(const DirectoryQuery &query,
                                      const std::vector<DirectoryInstance> &instances,
                                      const RouteTable *table);

} // namespace chestnutvane
