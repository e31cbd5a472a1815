// The peer message "forward": a one-time request on its way to the incarnation that its key names,
// and the answer to it. Encoded as CBOR by nlohmann-json.
//
// Example:
//
//   std::string body = encode(ForwardRequest{...});
//   if (auto request = decodeForwardRequest(body); isOk(request))
//       run(value(request));
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

struct ForwardRequest
{
    std::string service;
    std::string method;
    std::string path; // within the service
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string key;
    Milliseconds remaining{0}; // time to the deadline
};

struct ForwardAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

std::string encode(const ForwardRequest &request);
std::string encode(const ForwardAnswer &answer);

// Decoding never throws: malformed input yields a MessageError.
Result<ForwardRequest, MessageError> decodeForwardRequest(std::string_view body);
Result<ForwardAnswer, MessageError> decodeForwardAnswer(std::string_view body);

} // namespace chestnutvane
