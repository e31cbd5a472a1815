// An asynchronous HTTP/1.1 client on libcurl with one thread of its own.
//
// Example:
//
//   auto client = HttpClient::create({});
//   value(client)->send(request, [](Result<HttpResponse, HttpError> result) { ... });
//
// Thread-safe. Callbacks run on the client's thread, exactly once for each send, and must not
// block.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chestnutvane/base/result.h"
#include "chestnutvane/connection/http_message.h"

namespace chestnutvane {

// Limit in bytes of the memory for the answers that a client reads. All of them hold at most twice
// as much, which is half of the 128 MB of an instance.
inline constexpr std::size_t maxBufferedResponses = 32U << 20U;

struct HttpClientOptions
{
    int maxIdleConnections = 512;
    // Idle connections older than this are not reused, so that a path that went silent while idle
    // is rarely met.
    std::chrono::seconds maxIdleAge{30};
};

struct HttpClientError
{
    std::string detail;
};

class HttpClient
{
public:
    using SendId = std::uint64_t;
    using Callback = std::function<void(Result<HttpResponse, HttpError>)>;

    static Result<std::unique_ptr<HttpClient>, HttpClientError> create(HttpClientOptions options);

    // Cancels what is in flight, calls the remaining callbacks and joins the thread.
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    SendId send(HttpRequest request, Callback callback);

    // Ends an exchange; its callback is called with Cancelled unless it has already been called.
    // The connection is closed.
    void cancel(SendId id);

    // Stops reusing the connections to "host:port" that are open now. Exchanges in flight go on.
    void abandonConnections(const std::string &authority);

private:
    struct Impl;
    explicit HttpClient(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
