// An HTTP/1.1 server on RESTinio with bounded bodies and connections.
//
// Example:
//
//   auto server = HttpServer::create({.address = "127.0.0.1", .port = 8080},
//           [](ServerRequest request, Responder respond) { respond({.status = 204}); });
//
// The handler runs on the server's worker threads and must not block; it keeps the responder and
// calls it exactly once, from any thread. A request over a limit never reaches the handler: it is
// refused with 4xx and "Vane-Outcome: not-run".
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/close_watch.h"
#include "chestnutvane/connection/http_message.h"

namespace chestnutvane {

struct ServerRequest
{
    std::string method;
    std::string path; // without the query
    std::string query; // without "?"
    std::vector<HttpHeader> headers;
    std::string body;
    std::string remoteAddress; // IP address of the peer
    std::uint16_t remotePort = 0;
    // Tells of a close by the peer before the answer. Not of one behind a further request on the
    // same connection. A peer that closes only its sending side counts as gone.
    std::shared_ptr<CloseWatch> closeWatch;
};

struct ServerResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    bool closeConnection = false;
    // Closes the connection without an answer, so that the peer cannot take it for a complete one.
    bool abort = false;
};

using Responder = std::function<void(ServerResponse)>;
using Handler = std::function<void(ServerRequest, Responder)>;

struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0: chosen by the system, see HttpServer::port()
    int threads = 2;
    std::size_t maxBodyBytes = 16U << 20U;
    std::size_t maxConnections = 1024;
    Milliseconds readTimeout{10'000}; // for the next complete request on a connection
    Milliseconds handleTimeout{120'000}; // for the handler to respond
};

struct HttpServerError
{
    std::string detail; // for example, the address is in use
};

class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>, HttpServerError> create(HttpServerOptions options,
                                                                       Handler handler);

    // Closes the listener and all connections and joins the threads.
    ~HttpServer();

    // The port of the listener.
    [[nodiscard]] std::uint16_t port() const;

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
