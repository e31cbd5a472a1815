// Rows of the JSON that an instance answers to operators.
//
// Example:
//
//   for (const FleetUnit &unit : fleetUnits(version, members, headroom, now))
//       body["fleet-units"].push_back(fleetUnitJson(unit));
#pragma once

#include <nlohmann/json.hpp>

#include "chestnutvane/process/crash_suspects.h"
#include "chestnutvane/process/fleet_units.h"

namespace chestnutvane {

// A unit of the fleet; members that are not known are null.
nlohmann::json fleetUnitJson(const FleetUnit &unit);

// A suspect. The fingerprint is written as text, because readers of JSON may round numbers of 64
// bits.
nlohmann::json suspectJson(const SuspectReport &suspect);

} // namespace chestnutvane
