#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "chestnutvane/connection/peer_link.h"
#include "chestnutvane/connection/peer_session.h"

namespace chestnutvane {
namespace {

using internal::PeerRole;
using internal::PeerSession;
using internal::PeerSessionEvents;

constexpr std::string_view pathPrefix = "/peer/";
// Pause after a failed accept. Without it a process out of file descriptors would loop at full
// speed, because the waiting connection stays ready.
constexpr Milliseconds acceptPause{100};

// Ends once: by a response or by cancellation, whichever is first.
class CallState : public PeerCallState
{
public:
    void onCancelled(std::function<void()> callback) override
    {
        {
            const std::lock_guard lock(mutex_);
            if (!cancelled_) {
                if (!answered_)
                    callback_ = std::move(callback);
                return;
            }
        }
        callback();
    }

    void cancel()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(mutex_);
            if (answered_ || cancelled_)
                return;
            cancelled_ = true;
            callback = std::exchange(callback_, nullptr);
        }
        if (callback)
            callback();
    }

    // Returns false if the call has already ended.
    bool answer()
    {
        std::function<void()> dropped; // destroyed without the lock: it may own other calls
        const std::lock_guard lock(mutex_);
        if (answered_ || cancelled_)
            return false;
        answered_ = true;
        dropped = std::exchange(callback_, nullptr);
        return true;
    }

private:
    std::mutex mutex_;
    std::function<void()> callback_;
    bool cancelled_ = false;
    bool answered_ = false;
};

struct IncomingCall
{
    std::string method;
    std::string path;
    std::string body;
    bool refused = false; // answered before its body was complete
    std::shared_ptr<CallState> state = std::make_shared<CallState>();
};

struct Connection
{
    std::shared_ptr<PeerSession> session;
    std::unordered_map<std::int32_t, IncomingCall> calls; // by stream
};

// The state of a server. All functions except respond() run on the server's thread.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(PeerServerOptions options, PeerHandler handler)
        : options_(std::move(options)), handler_(std::move(handler))
    { }

    std::error_code listen()
    {
        std::error_code failure;
        const auto address = asio::ip::make_address(options_.address, failure);
        if (failure)
            return failure;
        const asio::ip::tcp::endpoint endpoint(address, options_.port);
        acceptor_.open(endpoint.protocol(), failure);
        // Lets a restarted instance bind while old connections are in TIME_WAIT.
        if (!failure)
            acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
        if (!failure)
            acceptor_.bind(endpoint, failure);
        if (!failure)
            acceptor_.listen(asio::socket_base::max_listen_connections, failure);
        if (!failure)
            port_ = acceptor_.local_endpoint(failure).port();
        return failure;
    }

    void accept()
    {
        acceptor_.async_accept(
                [this](const std::error_code &failure, asio::ip::tcp::socket socket) {
                    if (stopping_)
                        return;
                    if (!failure) {
                        open(std::move(socket));
                        return accept();
                    }
                    acceptTimer_.expires_after(acceptPause);
                    acceptTimer_.async_wait([this](const std::error_code &cancelled) {
                        if (!cancelled && !stopping_)
                            accept();
                    });
                });
    }

    void stop()
    {
        stopping_ = true;
        std::error_code ignored;
        acceptor_.close(ignored);
        acceptTimer_.cancel();
        while (!connections_.empty())
            connections_.begin()->second.session->close("server is shutting down");
        workGuard_.reset();
    }

    asio::io_context &io() { return io_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    void open(asio::ip::tcp::socket socket)
    {
        const std::uint64_t id = ++lastConnection_;
        Connection &connection = connections_[id];
        PeerSessionEvents events;
        events.hasOpenCalls = [&connection] { return !connection.calls.empty(); };
        events.requestSent = [](std::int32_t) {};
        events.streamOpened = [&connection](std::int32_t stream) {
            connection.calls.try_emplace(stream);
        };
        events.header = [this, &connection](std::int32_t stream, std::string_view name,
                                            std::string_view value) {
            addHeader(connection, stream, name, value);
        };
        events.data = [this, &connection](std::int32_t stream, std::string_view bytes) {
            addData(connection, stream, bytes);
        };
        events.messageEnd = [this, id, &connection](std::int32_t stream) {
            dispatch(id, connection, stream);
        };
        events.streamClosed = [&connection](std::int32_t stream, std::uint32_t) {
            if (auto call = connection.calls.extract(stream))
                call.mapped().state->cancel(); // no effect after a response
        };
        events.closed = [this, id](const std::string &) {
            const auto closed = connections_.extract(id);
            for (const auto &[stream, call] : closed.mapped().calls)
                call.state->cancel();
        };
        connection.session = PeerSession::create(std::move(socket), PeerRole::Server,
                                                 options_.maxConcurrentStreams, std::move(events));
    }

    void addHeader(Connection &connection, std::int32_t stream, std::string_view name,
                   std::string_view value)
    {
        const auto found = connection.calls.find(stream);
        if (found == connection.calls.end())
            return;
        if (name == ":method")
            found->second.method = value;
        else if (name == ":path")
            found->second.path = value;
    }

    void addData(Connection &connection, std::int32_t stream, std::string_view bytes)
    {
        const auto found = connection.calls.find(stream);
        if (found == connection.calls.end() || found->second.refused)
            return;
        IncomingCall &call = found->second;
        if (call.body.size() + bytes.size() > options_.maxBodyBytes)
            return refuse(connection, stream, call, 413, "body too large");
        call.body += bytes;
    }

    void refuse(Connection &connection, std::int32_t stream, IncomingCall &call, int status,
                const char *detail)
    {
        call.refused = true;
        call.body = {};
        call.state->answer();
        connection.session->submitResponse(stream, status, detail);
    }

    void dispatch(std::uint64_t id, Connection &connection, std::int32_t stream)
    {
        const auto found = connection.calls.find(stream);
        if (found == connection.calls.end() || found->second.refused)
            return;
        IncomingCall &call = found->second;
        if (call.method != "POST" || !call.path.starts_with(pathPrefix))
            return refuse(connection, stream, call, 404, "not a peer call");
        PeerCall peerCall{call.path.substr(pathPrefix.size()), std::move(call.body), call.state};
        handler_(std::move(peerCall),
                 [weak = weak_from_this(), id, stream,
                  state = call.state](Result<std::string, PeerError> result) {
                     if (!state->answer())
                         return;
                     if (const auto core = weak.lock())
                         core->respond(id, stream, std::move(result));
                 });
    }

    // Thread-safe. Posted handlers hold no reference to the core, so that one posted after the
    // server has stopped does not keep it alive.
    void respond(std::uint64_t id, std::int32_t stream, Result<std::string, PeerError> result)
    {
        asio::post(io_, [this, id, stream, reply = std::move(result)]() mutable {
            const auto found = connections_.find(id);
            if (found == connections_.end() || !found->second.calls.contains(stream))
                return;
            PeerSession &session = *found->second.session;
            if (isOk(reply))
                session.submitResponse(stream, 200, std::move(value(reply)));
            else if (error(reply).failure == PeerFailure::Cancelled)
                session.resetStream(stream, NGHTTP2_CANCEL);
            else
                session.submitResponse(stream, 503, error(reply).detail);
        });
    }

    const PeerServerOptions options_;
    const PeerHandler handler_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_{io_.get_executor()};
    asio::ip::tcp::acceptor acceptor_{io_};
    asio::steady_timer acceptTimer_{io_};
    std::unordered_map<std::uint64_t, Connection> connections_;
    std::uint64_t lastConnection_ = 0;
    std::uint16_t port_ = 0;
    bool stopping_ = false;
};

} // namespace

struct PeerServer::Impl
{
    std::shared_ptr<ServerCore> core;
    std::thread thread;
};

Result<std::unique_ptr<PeerServer>, PeerServerError> PeerServer::create(PeerServerOptions options,
                                                                        PeerHandler handler)
{
    const std::string place = options.address + ":" + std::to_string(options.port);
    auto impl = std::make_unique<Impl>();
    impl->core = std::make_shared<ServerCore>(std::move(options), std::move(handler));
    if (const std::error_code failure = impl->core->listen())
        return PeerServerError{"cannot listen on " + place + ": " + failure.message()};
    impl->core->accept();
    impl->thread = std::thread([core = impl->core.get()] { core->io().run(); });
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }

PeerServer::~PeerServer()
{
    asio::post(impl_->core->io(), [core = impl_->core.get()] { core->stop(); });
    impl_->thread.join();
}

std::uint16_t PeerServer::port() const
{
    return impl_->core->port();
}

} // namespace chestnutvane
