#include <atomic>
#include <charconv>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "chestnutvane/connection/peer_link.h"
#include "chestnutvane/connection/peer_session.h"
#include "chestnutvane/connection/socket_address.h"

namespace chestnutvane {
namespace {

using internal::PeerRole;
using internal::PeerSession;
using internal::PeerSessionEvents;
using ConnectionId = std::uint64_t;

// Without a limit, a connect on a path that drops packets takes about two minutes to fail.
constexpr Milliseconds connectTimeout{1000};
constexpr std::size_t maxReplyBytes = 20U << 20U;

struct Call
{
    std::string address;
    std::string path;
    std::string body; // empty once it is submitted
    PeerClient::Callback callback;
    std::unique_ptr<asio::steady_timer> timer;
    ConnectionId connection = 0;
    std::int32_t stream = -1; // -1 while the connection is being made
    bool sent = false; // the peer may have received a byte of it
    bool replyComplete = false;
    int status = 0;
    std::string reply;
};

struct Connection
{
    std::string address;
    std::shared_ptr<asio::ip::tcp::socket> socket; // until it is connected
    std::unique_ptr<asio::steady_timer> timer; // of the connect
    std::shared_ptr<PeerSession> session; // null until it is connected
    std::vector<PeerClient::CallId> waiting; // for the connect
    std::unordered_map<std::int32_t, PeerClient::CallId> streams;
};

} // namespace

// All functions run on the client's thread.
struct PeerClient::Impl
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{io.get_executor()};
    std::unordered_map<CallId, Call> calls;
    std::unordered_map<ConnectionId, Connection> connections;
    std::unordered_map<std::string, ConnectionId> byAddress; // connections that take new calls
    ConnectionId lastConnection = 0;
    bool stopping = false;
    std::atomic<CallId> lastCall{0};
    std::thread thread;

    void start(CallId id, Call call, Milliseconds timeout);
    void enqueue(CallId id);
    bool submit(CallId id, Call &call, ConnectionId connectionId, Connection &connection);
    ConnectionId connect(const std::string &address, const asio::ip::tcp::endpoint &endpoint);
    void connected(ConnectionId id, const std::error_code &failure);
    PeerSessionEvents makeEvents(ConnectionId id);
    Call *findCall(ConnectionId connection, std::int32_t stream);
    void streamClosed(ConnectionId connection, std::int32_t stream, std::uint32_t errorCode);
    void finish(CallId id, Result<std::string, PeerError> result);
    void fail(CallId id, PeerFailure failure, const std::string &detail);
    void retire(ConnectionId id);
    void closeIfUnused(ConnectionId id);
    void connectionEnded(ConnectionId id, const std::string &detail);
    void stop();
};

void PeerClient::Impl::start(CallId id, Call call, Milliseconds timeout)
{
    if (stopping)
        return call.callback(PeerError{PeerFailure::Cancelled, "client is shutting down"});
    call.timer = std::make_unique<asio::steady_timer>(io, timeout);
    call.timer->async_wait([this, id, timeout](const std::error_code &cancelled) {
        if (!cancelled)
            fail(id, PeerFailure::Timeout,
                 "no reply in " + std::to_string(timeout.count()) + " ms");
    });
    calls.emplace(id, std::move(call));
    enqueue(id);
}

// Gives a call that was not sent to the connection of its address, which is made if need be.
void PeerClient::Impl::enqueue(CallId id)
{
    Call &call = calls.at(id);
    if (const auto known = byAddress.find(call.address); known != byAddress.end()) {
        const ConnectionId connectionId = known->second;
        Connection &connection = connections.at(connectionId);
        if (!connection.session) {
            call.connection = connectionId;
            connection.waiting.push_back(id);
            return;
        }
        if (submit(id, call, connectionId, connection))
            return;
        // The peer announced its end or the stream numbers are used up.
        retire(connectionId);
    }
    const auto endpoint = parseSocketAddress(call.address);
    if (!endpoint)
        return fail(id, PeerFailure::NotSent, "bad address \"" + call.address + "\"; want IP:port");
    call.connection = connect(call.address, *endpoint);
    connections.at(call.connection).waiting.push_back(id);
}

bool PeerClient::Impl::submit(CallId id, Call &call, ConnectionId connectionId,
                              Connection &connection)
{
    const std::int32_t stream = connection.session->submitRequest(call.path, call.body);
    if (stream < 0)
        return false;
    call.connection = connectionId;
    call.stream = stream;
    connection.streams[stream] = id;
    return true;
}

ConnectionId PeerClient::Impl::connect(const std::string &address,
                                       const asio::ip::tcp::endpoint &endpoint)
{
    const ConnectionId id = ++lastConnection;
    Connection &connection = connections[id];
    byAddress[address] = id;
    connection.address = address;
    connection.socket = std::make_shared<asio::ip::tcp::socket>(io);
    connection.timer = std::make_unique<asio::steady_timer>(io, connectTimeout);
    connection.timer->async_wait([this, id](const std::error_code &cancelled) {
        if (!cancelled)
            connected(id, std::make_error_code(std::errc::timed_out));
    });
    connection.socket->async_connect(
            endpoint, [this, id, socket = connection.socket](const std::error_code &failure) {
                connected(id, failure);
            });
    return id;
}

void PeerClient::Impl::connected(ConnectionId id, const std::error_code &failure)
{
    const auto found = connections.find(id);
    if (found == connections.end() || found->second.session)
        return; // given up or decided before
    Connection &connection = found->second;
    connection.timer->cancel();
    std::error_code reason = failure;
    // TCP connects a socket to itself if the system picks the wanted port for this end.
    std::error_code ignored;
    if (!reason
        && connection.socket->local_endpoint(ignored)
                == connection.socket->remote_endpoint(ignored))
        reason = std::make_error_code(std::errc::connection_refused);
    if (reason) {
        connection.socket->close(ignored);
        return connectionEnded(id, "cannot connect: " + reason.message());
    }
    connection.session =
            PeerSession::create(std::move(*connection.socket), PeerRole::Client, 0, makeEvents(id));
    connection.socket.reset();
    for (const CallId callId : std::exchange(connection.waiting, {})) {
        const auto call = calls.find(callId); // absent if it was cancelled meanwhile
        if (call != calls.end() && !submit(callId, call->second, id, connection))
            fail(callId, PeerFailure::NotSent, "session takes no requests");
    }
}

PeerSessionEvents PeerClient::Impl::makeEvents(ConnectionId id)
{
    PeerSessionEvents events;
    events.hasOpenCalls = [this, id] { return !connections.at(id).streams.empty(); };
    events.requestSent = [this, id](std::int32_t stream) {
        if (Call *call = findCall(id, stream))
            call->sent = true;
    };
    events.streamOpened = [](std::int32_t) {}; // a peer server opens none
    events.header = [this, id](std::int32_t stream, std::string_view name, std::string_view value) {
        Call *call = findCall(id, stream);
        if (call != nullptr && name == ":status")
            std::from_chars(value.data(), value.data() + value.size(), call->status);
    };
    events.data = [this, id](std::int32_t stream, std::string_view bytes) {
        Call *call = findCall(id, stream);
        if (call == nullptr)
            return;
        if (call->reply.size() + bytes.size() > maxReplyBytes)
            return fail(connections.at(id).streams.at(stream), PeerFailure::ConnectionLost,
                        "reply too large");
        call->reply += bytes;
    };
    events.messageEnd = [this, id](std::int32_t stream) {
        Call *call = findCall(id, stream);
        if (call == nullptr)
            return;
        call->replyComplete = true;
        const CallId callId = connections.at(id).streams.at(stream);
        if (call->status == 200)
            finish(callId, std::move(call->reply));
        else
            fail(callId, PeerFailure::Refused, std::to_string(call->status) + ": " + call->reply);
    };
    events.streamClosed = [this, id](std::int32_t stream, std::uint32_t errorCode) {
        streamClosed(id, stream, errorCode);
    };
    events.closed = [this, id](const std::string &detail) { connectionEnded(id, detail); };
    return events;
}

Call *PeerClient::Impl::findCall(ConnectionId connection, std::int32_t stream)
{
    const auto &streams = connections.at(connection).streams;
    const auto found = streams.find(stream);
    return found == streams.end() ? nullptr : &calls.at(found->second);
}

void PeerClient::Impl::streamClosed(ConnectionId connection, std::int32_t stream,
                                    std::uint32_t errorCode)
{
    if (findCall(connection, stream) == nullptr)
        return;
    const CallId id = connections.at(connection).streams.at(stream);
    const std::string detail = std::string("stream reset: ") + nghttp2_http2_strerror(errorCode);
    if (errorCode == NGHTTP2_CANCEL)
        fail(id, PeerFailure::Cancelled, detail);
    else if (errorCode == NGHTTP2_REFUSED_STREAM)
        fail(id, PeerFailure::Refused, detail);
    else
        fail(id, PeerFailure::ConnectionLost, detail);
}

// Ends a call in every case: forgets it, resets what is left of its stream, calls its callback.
void PeerClient::Impl::finish(CallId id, Result<std::string, PeerError> result)
{
    auto node = calls.extract(id);
    if (!node)
        return;
    Call &call = node.mapped();
    call.timer->cancel();
    if (const auto found = connections.find(call.connection); found != connections.end()) {
        Connection &connection = found->second;
        if (call.stream < 0) {
            std::erase(connection.waiting, id);
        } else {
            connection.streams.erase(call.stream);
            if (!call.replyComplete || connection.session->isUploading(call.stream))
                connection.session->resetStream(call.stream, NGHTTP2_CANCEL);
            closeIfUnused(call.connection);
        }
    }
    call.callback(std::move(result));
}

// Ends a call with an error. Where the failure tells nothing about the peer, a call of which no
// byte was written ends with NotSent; its request is dropped by the reset in finish().
void PeerClient::Impl::fail(CallId id, PeerFailure failure, const std::string &detail)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    const bool aboutTransport =
            failure == PeerFailure::ConnectionLost || failure == PeerFailure::Timeout;
    if (aboutTransport && !found->second.sent)
        failure = PeerFailure::NotSent;
    finish(id, PeerError{failure, detail});
}

// Takes no more calls on a connection. Its open calls go on.
void PeerClient::Impl::retire(ConnectionId id)
{
    const auto entry = byAddress.find(connections.at(id).address);
    if (entry != byAddress.end() && entry->second == id)
        byAddress.erase(entry);
    closeIfUnused(id);
}

// Closes a retired connection after its last call. Posted, because a session must not be closed
// from one of its events.
void PeerClient::Impl::closeIfUnused(ConnectionId id)
{
    const Connection &connection = connections.at(id);
    const auto entry = byAddress.find(connection.address);
    const bool retired = entry == byAddress.end() || entry->second != id;
    if (!retired || !connection.streams.empty())
        return;
    asio::post(io, [this, id] {
        if (const auto found = connections.find(id); found != connections.end())
            found->second.session->close("connection is no longer used");
    });
}

void PeerClient::Impl::connectionEnded(ConnectionId id, const std::string &detail)
{
    auto node = connections.extract(id);
    if (!node)
        return;
    const Connection &connection = node.mapped();
    const auto entry = byAddress.find(connection.address);
    if (entry != byAddress.end() && entry->second == id)
        byAddress.erase(entry);
    for (const CallId call : connection.waiting)
        fail(call, PeerFailure::NotSent, detail);
    for (const auto &[stream, call] : connection.streams)
        fail(call, PeerFailure::ConnectionLost, detail);
}

void PeerClient::Impl::stop()
{
    stopping = true;
    while (!calls.empty())
        fail(calls.begin()->first, PeerFailure::Cancelled, "client is shutting down");
    while (!connections.empty()) {
        const auto &[id, connection] = *connections.begin();
        std::error_code ignored;
        if (connection.session) {
            connection.session->close("client is shutting down");
        } else {
            connection.socket->close(ignored);
            connection.timer->cancel();
            connectionEnded(id, "client is shutting down");
        }
    }
    workGuard.reset();
}

Result<std::unique_ptr<PeerClient>, PeerServerError> PeerClient::create()
{
    auto impl = std::make_unique<Impl>();
    impl->thread = std::thread([core = impl.get()] { core->io.run(); });
    return std::unique_ptr<PeerClient>(new PeerClient(std::move(impl)));
}

PeerClient::PeerClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

PeerClient::~PeerClient()
{
    asio::post(impl_->io, [core = impl_.get()] { core->stop(); });
    impl_->thread.join();
}

PeerClient::CallId PeerClient::call(const std::string &address, std::string name, std::string body,
                                    Milliseconds timeout, Callback callback)
{
    const CallId id = ++impl_->lastCall;
    Call call;
    call.address = address;
    call.path = "/peer/" + std::move(name);
    call.body = std::move(body);
    call.callback = std::move(callback);
    asio::post(impl_->io, [core = impl_.get(), id, timeout, call = std::move(call)]() mutable {
        core->start(id, std::move(call), timeout);
    });
    return id;
}

void PeerClient::cancel(CallId id)
{
    asio::post(impl_->io, [core = impl_.get(), id] {
        core->fail(id, PeerFailure::Cancelled, "cancelled by the caller");
    });
}

void PeerClient::disconnect(const std::string &address)
{
    asio::post(impl_->io, [core = impl_.get(), address] {
        const auto known = core->byAddress.find(address);
        if (known == core->byAddress.end())
            return;
        const ConnectionId id = known->second;
        if (const auto session = core->connections.at(id).session)
            session->close("disconnected by the caller");
        else
            core->connected(id, std::make_error_code(std::errc::connection_aborted));
    });
}

} // namespace chestnutvane
