#include "chestnutvane/connection/caller_connection.h"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/connection/caller_places.h"
#include "chestnutvane/connection/caller_session.h"

namespace chestnutvane {
namespace internal {
namespace {

using Error = boost::system::error_code;

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(net::io_context &io, CallHandler handler,
             std::function<CallerConnectionLimits()> limits, RefusalObserver onRefused,
             CallerGuards guards)
        : acceptor_(io), retryTimer_(io), environment_{std::move(handler),
                                                       std::move(limits),
                                                       std::move(onRefused),
                                                       std::move(guards),
                                                       [this] { return closing_; },
                                                       [this](const auto &session) { sessions_.erase(session); }}
    {
        if (!environment_.guards.memory)
            environment_.guards.memory = std::make_shared<CallerMemory>(unboundedCallerMemory());
    }

    std::optional<std::string> open(const std::string &endpoint);
    void accept();

    void startClosing()
    {
        closing_ = true;
        const auto sessions = sessions_; // an end changes the set
        for (const auto &session : sessions)
            session->closeIfIdle();
    }

    void stopAccepting()
    {
        Error ignored; // closing an acceptor that is already closed is no failure
        acceptor_.close(ignored);
        retryTimer_.cancel();
    }

    [[nodiscard]] std::size_t openConnections() const { return sessions_.size(); }

    // Closes the acceptor and all connections.
    void closeAll();

private:
    [[nodiscard]] bool makePlace();
    void onAcceptFailed(const Error &failure);

    Tcp::acceptor acceptor_;
    net::steady_timer retryTimer_;
    SessionEnvironment environment_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
    CallerShares shares_;
    bool closing_ = false;
    bool acceptFails_ = false;
};

std::optional<std::string> Listener::open(const std::string &endpoint)
{
    const auto local = parseEndpoint(endpoint);
    if (!local)
        return "not IP:port";
    Error failure;
    acceptor_.open(local->protocol(), failure);
    if (!failure)
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor_.bind(*local, failure);
    if (!failure)
        acceptor_.listen(net::socket_base::max_listen_connections, failure);
    return failure ? std::optional(failure.message()) : std::nullopt;
}

void Listener::closeAll()
{
    stopAccepting();
    const auto sessions = sessions_; // an end changes the set
    for (const auto &session : sessions)
        session->close();
}

void Listener::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const Error &failure, Tcp::socket socket) {
        if (failure == net::error::operation_aborted)
            return;
        if (failure)
            return self->onAcceptFailed(failure);
        self->acceptFails_ = false;
        if (self->sessions_.size() >= self->environment_.guards.maxConnections
            && !self->makePlace()) {
            Error ignored; // the socket is given up in any case
            socket.close(ignored);
            return self->accept();
        }
        // A session keeps the listener alive.
        auto session = std::make_shared<CallerSession>(
                std::move(socket),
                std::shared_ptr<const SessionEnvironment>(self, &self->environment_),
                self->shares_);
        self->sessions_.insert(session);
        session->start();
        self->accept();
    });
}

// Tries again when some descriptors may be free.
void Listener::onAcceptFailed(const Error &failure)
{
    if (!acceptor_.is_open())
        return;
    constexpr Milliseconds pause{20};
    if (!std::exchange(acceptFails_, true) && environment_.guards.onAcceptFailed)
        environment_.guards.onAcceptFailed(failure.message());
    retryTimer_.expires_after(pause);
    retryTimer_.async_wait([self = shared_from_this()](const Error &ended) {
        if (!ended && self->acceptor_.is_open())
            self->accept();
    });
}

// Closes the connection that is worth least to its caller. Returns false if requests are handled on
// all of them.
bool Listener::makePlace()
{
    std::set<std::shared_ptr<CallerSession>> unable;
    while (true) {
        std::shared_ptr<CallerSession> first;
        CallerPlace firstPlace;
        for (const auto &session : sessions_) {
            const CallerPlace place = session->place();
            if (mayYieldPlace(place) && !unable.contains(session)
                && (!first || yieldsPlaceBefore(place, firstPlace))) {
                first = session;
                firstPlace = place;
            }
        }
        if (!first)
            return false;
        if (first->yieldPlace())
            return true;
        unable.insert(first);
    }
}

// What the user of a listener holds: its end closes the connections, which keep the listener alive.
class ListenerHandle : public CallerListener
{
public:
    explicit ListenerHandle(std::shared_ptr<Listener> listener) : listener_(std::move(listener)) { }
    ~ListenerHandle() override { listener_->closeAll(); }

    ListenerHandle(const ListenerHandle &) = delete;
    ListenerHandle &operator=(const ListenerHandle &) = delete;

    void startClosing() override { listener_->startClosing(); }
    void stopAccepting() override { listener_->stopAccepting(); }
    [[nodiscard]] std::size_t openConnections() const override
    {
        return listener_->openConnections();
    }

private:
    std::shared_ptr<Listener> listener_;
};

} // namespace
} // namespace internal

Result<std::shared_ptr<CallerListener>, ListenError>
CallerListener::create(net::io_context &io, const std::string &endpoint, CallHandler handler,
                       std::function<CallerConnectionLimits()> limits, RefusalObserver onRefused,
                       CallerGuards guards)
{
    auto listener = std::make_shared<internal::Listener>(io, std::move(handler), std::move(limits),
                                                         std::move(onRefused), std::move(guards));
    if (auto failure = listener->open(endpoint))
        return ListenError{endpoint, *failure};
    listener->accept();
    return std::shared_ptr<CallerListener>(
            std::make_shared<internal::ListenerHandle>(std::move(listener)));
}

} // namespace chestnutvane
