#include "chestnutvane/connection/caller_connection.h"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/connection/caller_session.h"

namespace chestnutvane {
namespace internal {
namespace {

using Error = boost::system::error_code;

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(net::io_context &io, CallHandler handler,
             std::function<CallerConnectionLimits()> limits, RefusalObserver onRefused)
        : acceptor_(io),
          retryTimer_(io), environment_{std::move(handler), std::move(limits), std::move(onRefused),
                                        [this] { return closing_; },
                                        [this](const auto &session) { sessions_.erase(session); }}
    { }

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
    }

    [[nodiscard]] std::size_t openConnections() const { return sessions_.size(); }

    // Closes the acceptor and all connections.
    void closeAll();

private:
    Tcp::acceptor acceptor_;
    net::steady_timer retryTimer_;
    SessionEnvironment environment_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
    bool closing_ = false;
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
    retryTimer_.cancel();
    const auto sessions = sessions_; // an end changes the set
    for (const auto &session : sessions)
        session->close();
}

void Listener::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const Error &failure, Tcp::socket socket) {
        if (failure == net::error::operation_aborted)
            return;
        if (failure) { // out of descriptors: try again when some may be free
            constexpr Milliseconds pause{20};
            self->retryTimer_.expires_after(pause);
            self->retryTimer_.async_wait([self](const Error &ended) {
                if (!ended)
                    self->accept();
            });
            return;
        }
        // A session keeps the listener alive.
        auto session = std::make_shared<CallerSession>(
                std::move(socket),
                std::shared_ptr<const SessionEnvironment>(self, &self->environment_));
        self->sessions_.insert(session);
        session->start();
        self->accept();
    });
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
                       std::function<CallerConnectionLimits()> limits, RefusalObserver onRefused)
{
    auto listener = std::make_shared<internal::Listener>(io, std::move(handler), std::move(limits),
                                                         std::move(onRefused));
    if (auto failure = listener->open(endpoint))
        return ListenError{endpoint, *failure};
    listener->accept();
    return std::shared_ptr<CallerListener>(
            std::make_shared<internal::ListenerHandle>(std::move(listener)));
}

} // namespace chestnutvane
