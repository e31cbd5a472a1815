// What a run of a whole deployment does: its rules, the callers' mix and load, the drained zone.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chestnutvane/version/rule_set.h"
#include "testing/deployment.h"

namespace chestnutvane {

// The callers of a region.
struct CallerGroup
{
    std::string region;
    std::string clientPrefix;
    // Requests for each request that the region's own slots would get. Where a clients rule sends
    // part of a region's callers to another region, it evens out the load of both.
    double factor = 1;
};

struct ServiceLoad
{
    std::string service;
    double use = 0.5; // part of the slots that the callers keep in use
    nlohmann::json mix; // as in caller_standin --mix
};

struct RunScenario
{
    std::string rulesFile;
    std::string drainedZone;
    std::vector<CallerGroup> callers;
    std::vector<ServiceLoad> services;
};

// Returns the scenario "lumenwick" or "liga".
std::optional<RunScenario> findScenario(const std::string &name);

// Places instances over the zones of all regions, the same number in each region.
std::vector<InstanceSpec> placeInstances(const RuleSet &rules, int count);

// Requests/s of a group that keep the wanted part of the region's slots in use.
double requestRate(const RuleSet &rules, const ServiceLoad &load, const CallerGroup &group);

// Names of the targets in a zone.
std::set<std::string> targetsInZone(const RuleSet &rules, const std::string &zone);

} // namespace chestnutvane
