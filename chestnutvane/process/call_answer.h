// Conversions between what a target, the once table and a caller are given.
//
// Example:
//
//   ForwardAnswer answer = answerOf(onceResult);
//   respond(refusal(Outcome::NotRun, Reason::NoTarget, 503));
//
// Free functions without state, safe to call from any thread.
#pragma once

#include <string_view>
#include <vector>

#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/forward_message.h"
#include "chestnutvane/process/once_table.h"
#include "chestnutvane/request/request_flow.h"

namespace chestnutvane {

// Tells whether a header goes on to the other side. Headers that concern one connection do not, and
// neither do the system's own "Vane-*" headers, which a caller or target must not forge.
bool isPassedOn(std::string_view name);

// Returns the headers that go on to the other side.
std::vector<HttpHeader> passedOnHeaders(const std::vector<HttpHeader> &headers);

// Returns an answer without a target's content.
ForwardAnswer refusal(Outcome outcome, Reason reason, int status);

// Returns the answer for the result of a one-time request.
ForwardAnswer answerOf(const OnceResult &result);

// Returns the answer for the result of a flow.
ForwardAnswer answerOf(FlowResult result);

// Returns the result of a flow as the once table stores it.
OnceResult onceResultOf(FlowResult result);

} // namespace chestnutvane
