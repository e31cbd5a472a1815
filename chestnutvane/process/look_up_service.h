// Answers look-ups: which instances a caller uses for a service.
//
// Example:
//
//   LookUpService lookUps(instance);
//   lookUps.start();
//   auto answer = lookUps.lookUp("box-office", "10.1.2.3");
//
// Thread-safe. Look-ups read a snapshot that is replaced at most every refreshInterval, so they
// wait for no lock that a change of the configuration or of the members holds.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/shared_snapshot.h"
#include "chestnutvane/request/fallback_region.h"
#include "chestnutvane/request/outcome.h"
#include "chestnutvane/version/entry_choice.h"

namespace chestnutvane {

struct LookUpEntry
{
    std::string id;
    std::string zone;
    std::string address; // of the caller listener
    double weight = 0; // 0: fall-back
    std::string keyPrefix;
};

struct LookUpAnswer
{
    std::string region;
    std::uint64_t revision = 0;
    Milliseconds ttl{0};
    std::vector<LookUpEntry> entries;
    std::vector<std::string> steps; // how the region was chosen
};

// What look-ups and routing need, as of one moment. Immutable.
struct RoutingSnapshot
{
    std::shared_ptr<const Version> version;
    std::vector<EntryInstance> instances;
    std::vector<LookUpEntry> entries; // by index of "instances"
    EntryTable table;
    std::vector<double> moveProgress; // by index in RuleSet::moves
    std::vector<UnitCapacity> units;
    std::vector<double> linkShare;
};

class LookUpService
{
public:
    explicit LookUpService(Instance &instance);

    // Starts the timer that refreshes the snapshot.
    void start();

    // Makes a new snapshot now.
    void refresh();

    // Finds the instances for a caller. Errors: NoConfiguration, UnknownService, BadRequest (the
    // client is no address), NoTarget (no instance is live).
    Result<LookUpAnswer, Reason> lookUp(const std::string &service, const std::string &client);

    // The region that a request that arrived here is tried in first: the own one, or if it has no
    // target of the service, a fallback. Nothing: no region has a target.
    std::optional<std::string> firstRegion(const Version &version, const std::string &service);

    // The region to try after the last of "tried" refused for a reason, or nothing. "point" in
    // [0, 1) spreads the requests over the regions with room.
    std::optional<std::string> fallbackRegion(const Version &version, const std::string &service,
                                              std::span<const std::string> tried, Reason reason,
                                              double point);

    // Whether a region other than "from" has room for requests of the service.
    bool hasRoomElsewhere(const Version &version, const std::string &service,
                          const std::string &from);

private:
    std::shared_ptr<const RoutingSnapshot> snapshot();
    std::vector<FallbackRegion> fallbackCandidates(const Version &version,
                                                   const std::string &service,
                                                   std::span<const std::string> tried);

    Instance &instance_;
    SharedSnapshot<RoutingSnapshot> snapshot_;
};

} // namespace chestnutvane
