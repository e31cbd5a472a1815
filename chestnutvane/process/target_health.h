// Parses the response of a target's health endpoint.
//
// Example:
//
//   TargetReport report = readTargetHealth(targetId, response);
//
// Safe to call from any thread.
#pragma once

#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/slot_broker.h"

namespace chestnutvane {

// Reads load, age and leaving from the JSON body and the start id from the header Vane-Start-Id.
// Missing or malformed values keep their defaults, because a health endpoint may be wrong.
TargetReport readTargetHealth(TargetId target, const HttpResponse &response);

} // namespace chestnutvane
