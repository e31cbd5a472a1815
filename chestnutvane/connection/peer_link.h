// Calls between instances: one HTTP/2 connection (nghttp2) for each pair, one stream for each call.
//
// Example:
//
//   auto server = PeerServer::create({.address = "127.0.0.1", .port = 8082},
//           [](PeerCall call, PeerResponder respond) { respond(handle(call)); });
//   auto client = PeerClient::create();
//   value(client)->call("127.0.0.1:8082", "heartbeat", body, Milliseconds{500},
//           [](Result<std::string, PeerError> reply) { ... });
//
// A connection on which calls are open and nothing comes, not even the answer to a PING for 1 s, is
// closed; its calls end with ConnectionLost and the next call makes a new connection.
//
// Both classes are thread-safe. Callbacks and handlers run on threads of this module, and must not
// block.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Why a call failed.
enum class PeerFailure {
    NotSent, // no connection could be made; the peer cannot have received the call
    Refused, // the peer answered that it does not handle the call
    ConnectionLost, // the peer may have received the call; also a reply above 20 MiB
    Timeout, // the peer may have received the call
    Cancelled, // by this side, by the peer, or because the client is being destroyed
};

inline constexpr EnumName<PeerFailure> peerFailureNames[] = {
        {PeerFailure::NotSent, "not-sent"},
        {PeerFailure::Refused, "refused"},
        {PeerFailure::ConnectionLost, "connection-lost"},
        {PeerFailure::Timeout, "timeout"},
        {PeerFailure::Cancelled, "cancelled"},
};

struct PeerError
{
    PeerFailure failure = PeerFailure::NotSent;
    std::string detail;
};

// Set by the server when the caller of a call has reset its stream or gone away.
class PeerCallState
{
public:
    virtual ~PeerCallState() = default;

    // Registers a function that is called once if the call is cancelled before its response, also
    // when it has been cancelled already.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

struct PeerCall
{
    std::string name; // the last part of the path "/peer/NAME"
    std::string body; // CBOR
    std::shared_ptr<PeerCallState> state;
};

// Ends a call. Call exactly once, from any thread. Of errors, Cancelled resets the stream, so that
// the caller gets Cancelled; every other error reaches the caller as Refused with its detail.
using PeerResponder = std::function<void(Result<std::string, PeerError>)>;
using PeerHandler = std::function<void(PeerCall, PeerResponder)>;

struct PeerServerOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 20U << 20U;
    std::uint32_t maxConcurrentStreams = 4096;
};

struct PeerServerError
{
    std::string detail;
};

class PeerServer
{
public:
    static Result<std::unique_ptr<PeerServer>, PeerServerError> create(PeerServerOptions options,
                                                                       PeerHandler handler);
    // Closes the listener and all connections and joins the thread.
    ~PeerServer();

    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    // The port that the server listens on, also when the options left the choice to the system.
    [[nodiscard]] std::uint16_t port() const;

private:
    struct Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

class PeerClient
{
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(Result<std::string, PeerError>)>;

    static Result<std::unique_ptr<PeerClient>, PeerServerError> create();

    // Ends open calls with Cancelled and joins the thread.
    ~PeerClient();

    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    // Sends a call to the peer at "IP:port" ("[IP]:port" for IPv6). Never sends a call twice. The
    // timeout covers the connect too; a call that was not sent by then ends with NotSent.
    CallId call(const std::string &address, std::string name, std::string body,
                Milliseconds timeout, Callback callback);

    // Resets the stream of a call. Its callback gets Cancelled unless it has been called already.
    void cancel(CallId id);

    // Closes the connection to a peer, so that the next call makes a new one. Used when the
    // connection has gone silent.
    void disconnect(const std::string &address);

private:
    struct Impl;
    explicit PeerClient(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
