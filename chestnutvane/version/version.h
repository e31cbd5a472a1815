// One configuration revision, compiled for use.
//
// Example:
//
//   auto version = compileVersion(7, rulesText);
//   std::shared_ptr<const Version> current = value(version);
//
// Immutable once made; readers share it and a new revision replaces it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/version/class_match.h"
#include "chestnutvane/version/prefix_table.h"
#include "chestnutvane/version/region_choice.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

struct Version
{
    std::uint64_t revision = 0;
    RuleSet rules;
    ClassMatch classes{{}};
    ClientTable clients;
    RegionPlan plan; // its "clients" are indexed by the choices of the client table
    std::unordered_map<TargetId, TargetRule> targets;
    std::unordered_map<std::string, std::string> regionOfZone;
};

struct VersionError
{
    std::string detail; // the first reason why the rules cannot be used
};

// Compiles the text of a rule file.
Result<std::shared_ptr<const Version>, VersionError> compileVersion(std::uint64_t revision,
                                                                    std::string_view rules);

// Region of a zone, or empty if no region has it.
std::string regionOfZone(const Version &version, const std::string &zone);

// Targets of a unit.
std::vector<TargetRule> targetsOfUnit(const Version &version, std::string_view service,
                                      std::string_view region);

// Whether a drain rule covers the target: by its name, its zone or its region.
bool isDrained(const Version &version, const TargetRule &target);

// Whether the service has an undrained target in the region.
bool hasTargets(const Version &version, std::string_view service, std::string_view region);

} // namespace chestnutvane
