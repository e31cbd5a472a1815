// Accepts the connections of callers: reads HTTP/1.1 requests and writes their answers in order.
//
// A connection keeps reading while requests are worked on, so that it learns of a caller that goes
// away. Pipelined requests with safe methods are handled at the same time (call_pipeline.h).
//
// Example:
//
//   acceptCallers(io, endpoint, [](Call call) { call.answer(makeAnswer(call.request)); }, options);
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/caller_memory.h"
#include "chestnutvane/connection/http_types.h"

namespace chestnutvane {

struct CallerConnectionLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 16777216;
    Milliseconds headerTimeout{5000}; // from the first byte of a request to the end of its headers
    Milliseconds idleTimeout{15000}; // between requests, and between two reads of a body
};

// A request and the means to answer it.
struct Call
{
    std::shared_ptr<const HttpRequestMessage> request;
    TimePoint arrival; // when the request was complete
    std::string peer; // "IP:port" of the caller

    // Sends the answer. Must be called once, unless the caller has gone.
    std::function<void(HttpResponseMessage)> answer;

    // Sets the function that is called if the caller goes away before the answer.
    std::function<void(std::function<void()>)> onGone;
};

using CallHandler = std::function<void(Call)>;

// Called for each request that is refused before it reaches the handler, because it is malformed,
// above a limit or too slow: "IP:port" of the caller, and the status of the answer.
using RefusalObserver = std::function<void(const std::string &peer, http::status status)>;

// What is known of a request once its head is complete.
struct HeadVerdict
{
    // Answers the request without its body, and ends the connection. The request does not reach the
    // handler.
    std::optional<HttpResponseMessage> refusal;
    int importance = 0; // 0: highest; the least important gives way first
};

// How a listener keeps within the memory and the descriptors of its process.
struct CallerGuards
{
    // Shared by the listeners of a process. Null: memory has no bound.
    std::shared_ptr<CallerMemory> memory;
    // Open connections. Beyond it, one that works on no request gives way to the new one.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    // Asked when a head is complete and its body is not. May be empty.
    std::function<HeadVerdict(const HttpRequestMessage &head)> checkHead;
    // Called when no connection can be accepted, once until one is accepted again. May be empty.
    std::function<void(const std::string &detail)> onAcceptFailed;
};

struct ListenError
{
    std::string endpoint;
    std::string detail;
};

// The open connections of one listener. The end of the object closes all of them.
class CallerListener
{
public:
    // Starts to listen on "IP:port". The limits are read at the start of each request.
    static Result<std::shared_ptr<CallerListener>, ListenError>
    create(net::io_context &io, const std::string &endpoint, CallHandler handler,
           std::function<CallerConnectionLimits()> limits, RefusalObserver onRefused = {},
           CallerGuards guards = {});

    virtual ~CallerListener() = default;

    // From now on the answer to the last request that is worked on closes its connection, and idle
    // connections are closed.
    virtual void startClosing() = 0;

    // Stops to accept connections.
    virtual void stopAccepting() = 0;

    [[nodiscard]] virtual std::size_t openConnections() const = 0;
};

} // namespace chestnutvane
