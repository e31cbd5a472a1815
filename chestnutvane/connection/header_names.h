// The names of the headers that steer a request. A platform may have names of its own.
//
// Example:
//
//   HeaderNames names;
//   names.requestId = "Request-Id";
#pragma once

#include <string>

namespace chestnutvane {

struct HeaderNames
{
    std::string requestId = "Vane-Request-Id"; // of one attempt of a caller; echoed by targets
    std::string deadlineMs = "Vane-Deadline-Ms"; // milliseconds that the sender still waits
    std::string objectKey = "Vane-Object-Key"; // equal for requests about the same object
    std::string expectedTarget = "Vane-Expected-Target"; // another target refuses with 421
    std::string seal = "Answer-Seal"; // a target's mark of an answer of its own
    std::string notRun = "Vane-Not-Run"; // a target's word that it did not run the request
    std::string load = "Target-Load"; // "running,waiting,slots"
    std::string leaving = "Target-Leaving"; // "1": the target that answers is shutting down
    std::string credentials = "Authorization"; // of a caller: scheme and key of its team
    std::string credentialScheme = "Bearer";
    std::string team = "Vane-Team"; // the name of the caller's team, for the target
    std::string targetId = "Answer-Target"; // the id of the target that answers
};

} // namespace chestnutvane
