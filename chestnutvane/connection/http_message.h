// Requests and answers of HTTP, and why an exchange of them failed.
//
// Example:
//
//   HttpRequest request{.method = "POST", .url = "http://127.0.0.1:9001/checkout", .body = body};
//   const std::string *id = findHeader(response.headers, "Vane-Request-Id");
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// Returns the value of the first header with the name (case-insensitive), or nothing.
const std::string *findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

// Whether two texts differ at most in the case of ASCII letters, as names of headers may.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::shared_ptr<const std::string> body; // may be null; shared, because retries send it again
    Milliseconds timeout{5000}; // for the whole exchange
    Milliseconds connectTimeout{1000};
    // If positive, the exchange fails as Timeout when no byte has moved in either direction for
    // this long, so that `timeout` can leave time for a long body on a slow link.
    Milliseconds progressTimeout{0};
    // Sends on a new connection and never resends. Without it libcurl sends a request again by
    // itself when a reused connection closes before the first byte of the answer, POST included.
    bool freshConnection = false;
    std::size_t maxResponseBytes = 16U << 20U;
    // If positive, onSilence is called once when no byte of the answer has come for this long after
    // the request started. The exchange goes on. New connections are watched as well: one may go
    // silent right after it was opened.
    Milliseconds silenceLimit{0};
    std::function<void()> onSilence;
};

struct HttpResponse
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
    bool reusedConnection = false;
};

// Why an exchange failed.
enum class HttpFailure {
    ConnectFailed, // refused, unreachable or timed out before a connection was open
    ConnectionLost, // closed or reset before the answer was complete
    Timeout,
    Cancelled,
    ResponseTooLarge,
    BadRequest, // the request could not be formed, for example a bad URL
    ShuttingDown, // the client is being destroyed
};

inline constexpr EnumName<HttpFailure> httpFailureNames[] = {
        {HttpFailure::ConnectFailed, "connect-failed"},
        {HttpFailure::ConnectionLost, "connection-lost"},
        {HttpFailure::Timeout, "timeout"},
        {HttpFailure::Cancelled, "cancelled"},
        {HttpFailure::ResponseTooLarge, "response-too-large"},
        {HttpFailure::BadRequest, "bad-request"},
        {HttpFailure::ShuttingDown, "shutting-down"},
};

struct HttpError
{
    HttpFailure failure = HttpFailure::ConnectFailed;
    bool mayHaveBeenSent = false; // false: no byte of the request can have left this process
    bool reusedConnection = false;
    std::string detail;
};

} // namespace chestnutvane
