// The parts of a load report that most reports do not have. They are encoded as a map with short
// names, so that one that an instance does not know is ignored.
//
// Pure functions without state.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "chestnutvane/process/gateway/fleet/load_report.h"

namespace chestnutvane {

// Encodes the parts that the report has; an empty map if there are none.
nlohmann::json encodeParts(const LoadReport &report);

// Sets the parts of a report. Throws nlohmann::json::exception for a value of another type.
void decodeParts(const nlohmann::json &parts, LoadReport &report);

} // namespace chestnutvane
