// Calls the operator listeners of a deployment, one after the other until one answers.
//
// Example:
//
//   OperatorClient client({"127.0.0.11:8081", "127.0.0.12:8081"}, makeExchange(httpClient));
//   auto answer = client.get("/v1/status", Milliseconds(2000));
//
// Not thread-safe. Calls block.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"

namespace chestnutvane {

struct OperatorAnswer
{
    int status = 0;
    nlohmann::json body; // an object
    std::string server;
};

enum class CallFailure {
    NoServer, // no server took the request; it had no effect
    AnswerLost, // a server may have handled the request
};

inline constexpr EnumName<CallFailure> callFailureNames[] = {
        {CallFailure::NoServer, "no-server"},
        {CallFailure::AnswerLost, "answer-lost"},
};

struct CallError
{
    CallFailure failure = CallFailure::NoServer;
    std::string detail; // each server asked, with its failure
};

// One HTTP exchange; blocks until its end.
using Exchange = std::function<Result<HttpResponse, HttpError>(HttpRequest)>;

// Exchanges over a client, which must outlive the function.
Exchange makeExchange(HttpClient &client);

class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> servers, Exchange exchange);

    // Reads from the first server that gives a JSON object with a status below 500. The timeout
    // holds for each server. Errors: NoServer.
    Result<OperatorAnswer, CallError> get(const std::string &pathAndQuery, Milliseconds timeout);

    // Sends to the next server only while no server can have received the request. After an
    // AnswerLost the next call starts with another server.
    Result<OperatorAnswer, CallError> post(const std::string &path, const nlohmann::json &body,
                                           Milliseconds timeout);

private:
    Result<OperatorAnswer, CallError> askOne(const std::string &server, HttpRequest request);

    std::vector<std::string> servers_;
    Exchange exchange_;
    std::size_t first_ = 0; // index of the server to ask first
};

// Text of a member of an answer; empty if it is absent or no text.
std::string textMember(const nlohmann::json &object, const char *name);

// Number of a member of an answer; 0 if it is absent or no whole number.
std::uint64_t numberMember(const nlohmann::json &object, const char *name);

// Encodes a text for use in a query.
std::string queryEncoded(std::string_view text);

} // namespace chestnutvane
