// Reads the answer of a target's health endpoint.
//
// Example:
//
//   TargetReport report = readTargetHealth(target, response);
#pragma once

#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/slot_broker.h"

namespace chestnutvane {

// Reads load, age and leaving from the JSON body and the start id from the header Vane-Start-Id.
// What is missing or malformed keeps its default, because a health endpoint may mislead.
TargetReport readTargetHealth(TargetId target, const HttpResponse &response);

} // namespace chestnutvane
