#include "chestnutvane/connection/caller_connection.h"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

namespace chestnutvane {
namespace internal {
namespace {

using Error = boost::system::error_code;

// Bytes read behind a request that is being worked on; the connection is not read beyond them.
constexpr std::size_t maxPipelinedBytes = 65536;
constexpr std::size_t readChunkBytes = 8192;
// How long an ended connection waits for the caller's close, so that unread bytes do not reset it.
constexpr Milliseconds lingerTime{1000};

class Listener;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket socket, std::shared_ptr<Listener> listener);

    void start();
    void closeIfIdle();
    void close();

private:
    enum class State {
        Reading, // of a request
        Working, // the handler has the request
        Answering,
        Lingering, // the sending side is closed
        Closed,
    };

    void read();
    void onReadable(Error failure);
    void consume();
    void newParser();
    void refuse(http::status status);
    void dispatch();
    void answer(HttpResponseMessage response);
    void onAnswered(const Error &failure, bool close);
    void linger();
    void setTimer(Milliseconds time);
    void onTimer();

    Tcp::socket socket_;
    std::shared_ptr<Listener> listener_;
    net::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::shared_ptr<HttpResponseMessage> response_;
    std::function<void()> gone_;
    std::string peer_;
    std::uint64_t callNumber_ = 0; // answers to an earlier call are dropped
    State state_ = State::Reading;
    bool reading_ = false; // a read is outstanding
    bool callerClosed_ = false;
    bool headerStarted_ = false;
    bool requestKeepsAlive_ = true;
};

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(net::io_context &io, CallHandler handler,
             std::function<CallerConnectionLimits()> limits)
        : io_(io), acceptor_(io), retryTimer_(io), handler_(std::move(handler)),
          limits_(std::move(limits))
    { }

    std::optional<std::string> open(const std::string &endpoint);
    void accept();

    void startClosing()
    {
        closing_ = true;
        const auto connections = connections_;
        for (const auto &connection : connections)
            connection->closeIfIdle();
    }

    void stopAccepting()
    {
        Error ignored; // closing an acceptor that is already closed is no failure
        acceptor_.close(ignored);
    }

    [[nodiscard]] std::size_t openConnections() const { return connections_.size(); }

    // Closes the acceptor and all connections.
    void closeAll();

    void remove(const std::shared_ptr<Connection> &connection) { connections_.erase(connection); }
    [[nodiscard]] bool isClosing() const { return closing_; }
    [[nodiscard]] CallerConnectionLimits limits() const { return limits_(); }
    [[nodiscard]] const CallHandler &handler() const { return handler_; }
    net::io_context &io() { return io_; }

private:
    net::io_context &io_;
    Tcp::acceptor acceptor_;
    net::steady_timer retryTimer_;
    CallHandler handler_;
    std::function<CallerConnectionLimits()> limits_;
    std::set<std::shared_ptr<Connection>> connections_;
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
    const auto connections = connections_;
    for (const auto &connection : connections)
        connection->close();
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
        auto connection = std::make_shared<Connection>(std::move(socket), self);
        self->connections_.insert(connection);
        connection->start();
        self->accept();
    });
}

Connection::Connection(Tcp::socket socket, std::shared_ptr<Listener> listener)
    : socket_(std::move(socket)), listener_(std::move(listener)), timer_(listener_->io())
{ }

void Connection::start()
{
    Error failure; // an option that cannot be set only costs speed
    socket_.set_option(Tcp::no_delay(true), failure);
    socket_.non_blocking(true, failure);
    if (const auto remote = socket_.remote_endpoint(failure); !failure)
        peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
    newParser();
    setTimer(listener_->limits().idleTimeout);
    read();
}

void Connection::newParser()
{
    const auto limits = listener_->limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser_->body_limit(limits.maxBodyBytes);
    headerStarted_ = false;
}

void Connection::read()
{
    if (reading_ || callerClosed_ || state_ == State::Closed)
        return;
    if (state_ != State::Reading && state_ != State::Lingering
        && buffer_.size() >= maxPipelinedBytes)
        return;
    reading_ = true;
    // The buffer may be consumed while the wait is outstanding, so its memory is not given away.
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error &failure) {
        self->reading_ = false;
        self->onReadable(failure);
    });
}

void Connection::onReadable(Error failure)
{
    if (state_ == State::Closed)
        return;
    std::size_t bytes = 0;
    if (!failure)
        bytes = socket_.read_some(buffer_.prepare(readChunkBytes), failure);
    if (failure == net::error::would_block || failure == net::error::try_again)
        return read();
    if (failure) {
        callerClosed_ = true;
        if (state_ == State::Working) {
            ++callNumber_;
            if (auto gone = std::exchange(gone_, nullptr))
                gone();
        }
        if (state_ != State::Answering)
            close();
        return;
    }
    buffer_.commit(bytes);
    if (state_ == State::Lingering)
        buffer_.consume(buffer_.size());
    else if (state_ == State::Reading)
        consume();
    read();
}

void Connection::consume()
{
    if (state_ != State::Reading || buffer_.size() == 0)
        return;
    if (!headerStarted_) {
        headerStarted_ = true;
        setTimer(listener_->limits().headerTimeout);
    }
    const bool hadHeader = parser_->is_header_done();
    Error failure;
    const std::size_t used = parser_->put(buffer_.data(), failure);
    buffer_.consume(used);
    if (failure && failure != http::error::need_more) {
        if (failure == http::error::body_limit)
            return refuse(http::status::payload_too_large);
        if (failure == http::error::header_limit)
            return refuse(http::status::request_header_fields_too_large);
        return refuse(http::status::bad_request);
    }
    if (parser_->is_done())
        return dispatch();
    if (parser_->is_header_done()) {
        setTimer(listener_->limits().idleTimeout);
        if (!hadHeader && parser_->get()[http::field::expect] == "100-continue") {
            static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
            Error ignored; // a failed write shows at the next read
            net::write(socket_, net::buffer(interim), ignored);
        }
        if (used > 0 && buffer_.size() > 0)
            consume();
    }
}

void Connection::refuse(http::status status)
{
    state_ = State::Working;
    requestKeepsAlive_ = false;
    HttpResponseMessage response(status, 11);
    answer(std::move(response));
}

void Connection::dispatch()
{
    timer_.cancel();
    state_ = State::Working;
    Call call;
    call.request = std::make_shared<const HttpRequestMessage>(parser_->release());
    call.arrival = Clock::now();
    call.peer = peer_;
    requestKeepsAlive_ = call.request->keep_alive();
    const std::uint64_t number = ++callNumber_;
    const std::weak_ptr<Connection> weak = weak_from_this();
    call.answer = [weak, number](HttpResponseMessage response) {
        if (const auto self = weak.lock(); self && self->callNumber_ == number)
            self->answer(std::move(response));
    };
    call.onGone = [weak, number](std::function<void()> gone) {
        if (const auto self = weak.lock(); self && self->callNumber_ == number)
            self->gone_ = std::move(gone);
    };
    listener_->handler()(std::move(call));
}

void Connection::answer(HttpResponseMessage response)
{
    if (state_ != State::Working)
        return;
    state_ = State::Answering;
    gone_ = nullptr;
    response.keep_alive(requestKeepsAlive_ && !listener_->isClosing()
                        && response[http::field::connection] != "close");
    response.prepare_payload();
    if (response.payload_size() == boost::none || *response.payload_size() == 0)
        response.content_length(0);
    response_ = std::make_shared<HttpResponseMessage>(std::move(response));
    const bool close = !response_->keep_alive();
    constexpr Milliseconds writeLimit{10000}; // a caller that does not read is given up
    setTimer(writeLimit);
    http::async_write(socket_, *response_,
                      [self = shared_from_this(), keep = response_, close](const Error &failure,
                                                                           std::size_t /*bytes*/) {
                          self->onAnswered(failure, close);
                      });
}

void Connection::onAnswered(const Error &failure, bool close)
{
    if (state_ != State::Answering)
        return;
    response_ = nullptr;
    if (failure || callerClosed_)
        return this->close();
    if (close)
        return linger();
    state_ = State::Reading;
    newParser();
    if (listener_->isClosing() && buffer_.size() == 0)
        return linger();
    setTimer(listener_->limits().idleTimeout);
    consume();
    read();
}

void Connection::closeIfIdle()
{
    if (state_ == State::Reading && !headerStarted_)
        linger();
}

void Connection::linger()
{
    state_ = State::Lingering;
    Error ignored; // the caller may have closed already
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    buffer_.consume(buffer_.size());
    setTimer(lingerTime);
    read();
}

void Connection::close()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    timer_.cancel();
    gone_ = nullptr;
    Error ignored; // the socket is given up in any case
    socket_.close(ignored);
    listener_->remove(shared_from_this());
}

void Connection::setTimer(Milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([weak = weak_from_this()](const Error &failure) {
        if (const auto self = weak.lock(); self && !failure)
            self->onTimer();
    });
}

void Connection::onTimer()
{
    if (timer_.expiry() > net::steady_timer::clock_type::now())
        return; // set again meanwhile
    if (state_ == State::Reading) {
        if (headerStarted_)
            return refuse(http::status::request_timeout);
        return linger();
    }
    if (state_ == State::Answering || state_ == State::Lingering)
        close();
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
                       std::function<CallerConnectionLimits()> limits)
{
    auto listener = std::make_shared<internal::Listener>(io, std::move(handler), std::move(limits));
    if (auto failure = listener->open(endpoint))
        return ListenError{endpoint, *failure};
    listener->accept();
    return std::shared_ptr<CallerListener>(
            std::make_shared<internal::ListenerHandle>(std::move(listener)));
}

} // namespace chestnutvane
