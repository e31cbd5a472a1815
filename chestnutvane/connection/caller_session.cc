#include "chestnutvane/connection/caller_session.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "chestnutvane/connection/framing_limits.h"

namespace chestnutvane::internal {
namespace {

using Error = boost::system::error_code;

// Bytes read behind a request that cannot be handled yet; the connection is not read beyond them.
constexpr std::size_t maxPipelinedBytes = 65536;
constexpr std::size_t readChunkBytes = 8192;
// How long an ended connection waits for the caller's close, so that unread bytes do not reset it.
constexpr Milliseconds lingerTime{1000};
// A caller that does not read its answer is given up after this time.
constexpr Milliseconds writeLimit{10000};

// Whether bytes have arrived that were not read yet. A connection with such bytes is not idle: the
// event loop of a busy process may be behind, and closing would lose a request.
bool hasUnreadBytes(const Tcp::socket &socket)
{
    Error failure;
    return socket.available(failure) > 0 && !failure;
}

} // namespace

CallerSession::CallerSession(Tcp::socket socket,
                             std::shared_ptr<const SessionEnvironment> environment)
    : socket_(std::move(socket)), environment_(std::move(environment)),
      readTimer_(socket_.get_executor()), writeTimer_(socket_.get_executor())
{ }

void CallerSession::start()
{
    Error failure; // an option that cannot be set only costs speed
    socket_.set_option(Tcp::no_delay(true), failure);
    socket_.non_blocking(true, failure);
    if (const auto remote = socket_.remote_endpoint(failure); !failure)
        peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
    newParser();
    setReadTimer(environment_->limits().idleTimeout);
    read();
}

void CallerSession::newParser()
{
    const auto limits = environment_->limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser_->body_limit(limits.maxBodyBytes);
    headerStarted_ = false;
}

void CallerSession::read()
{
    if (reading_ || callerClosed_ || state_ == State::Closed)
        return;
    if (state_ == State::Open && (held_ || !takesMore_) && buffer_.size() >= maxPipelinedBytes)
        return;
    reading_ = true;
    // The buffer may be consumed while the wait is outstanding, so its memory is not given away.
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error &failure) {
        self->reading_ = false;
        self->onReadable(failure);
    });
}

void CallerSession::onReadable(Error failure)
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
        return abandon();
    }
    buffer_.commit(bytes);
    if (state_ == State::Lingering)
        buffer_.consume(buffer_.size());
    else
        consume();
    read();
}

void CallerSession::consume()
{
    while (state_ == State::Open && takesMore_ && !held_ && buffer_.size() > 0) {
        if (!parseSome())
            return;
    }
}

// Feeds the buffered bytes to the parser. Returns whether a further call may get further.
bool CallerSession::parseSome()
{
    if (!headerStarted_) {
        headerStarted_ = true;
        setReadTimer(environment_->limits().headerTimeout);
    }
    const bool hadHeader = parser_->is_header_done();
    Error failure;
    const std::size_t used = parser_->put(buffer_.data(), failure);
    buffer_.consume(used);
    if (failure && failure != http::error::need_more) {
        refuse(failure == http::error::body_limit ? http::status::payload_too_large
                       : failure == http::error::header_limit
                       ? http::status::request_header_fields_too_large
                       : http::status::bad_request);
        return false;
    }
    if (parser_->is_done()) {
        readTimer_.cancel();
        held_ = {std::make_shared<const HttpRequestMessage>(parser_->release()), Clock::now()};
        newParser();
        startHeld();
        return true;
    }
    if (parser_->is_header_done()) {
        setReadTimer(environment_->limits().idleTimeout);
        if (!hadHeader && parser_->get()[http::field::expect] == "100-continue") {
            interimDue_ = true;
            sendInterim();
        }
    }
    if (used > 0)
        return true;
    if (parser_->is_header_done()) { // the parser itself bounds the head
        const auto unparsed = buffer_.data();
        const auto excess =
                chunkFramingExcess({static_cast<const char *>(unparsed.data()), unparsed.size()});
        if (excess)
            refuse(*excess);
    }
    return false;
}

// The interim answer follows the answers to the requests before.
void CallerSession::sendInterim()
{
    if (!interimDue_ || !pipeline_.isEmpty() || writing_)
        return;
    interimDue_ = false;
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    Error ignored; // a failed write shows at the next read
    net::write(socket_, net::buffer(interim), ignored);
}

void CallerSession::refuse(http::status status)
{
    readTimer_.cancel();
    takesMore_ = false;
    if (environment_->onRefused)
        environment_->onRefused(peer_, status);
    pipeline_.setAnswer(pipeline_.add(http::verb::unknown), HttpResponseMessage(status, 11));
    writeNext();
}

void CallerSession::startHeld()
{
    if (!held_ || !pipeline_.mayStart(held_->message->method()))
        return;
    // The last answer before ends the connection, and the caller sends the request again.
    if (environment_->isClosing() && !pipeline_.isEmpty())
        return;
    Call call;
    call.request = held_->message;
    call.arrival = held_->arrival;
    call.peer = peer_;
    held_.reset();
    takesMore_ = call.request->keep_alive();
    const std::uint64_t number = pipeline_.add(call.request->method());
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    call.answer = [weak, number](HttpResponseMessage response) {
        if (const auto self = weak.lock()) {
            self->pipeline_.setAnswer(number, std::move(response));
            self->writeNext();
        }
    };
    call.onGone = [weak, number](std::function<void()> gone) {
        if (const auto self = weak.lock())
            self->pipeline_.setOnGone(number, std::move(gone));
    };
    environment_->handler(std::move(call));
}

void CallerSession::writeNext()
{
    if (writing_ || state_ != State::Open)
        return;
    auto answer = pipeline_.takeAnswer();
    if (!answer)
        return;
    // Requests that are worked on are answered before the connection ends.
    const bool close = pipeline_.isEmpty() && (environment_->isClosing() || !takesMore_);
    answer->keep_alive(!close);
    answer->prepare_payload();
    if (answer->payload_size() == boost::none || *answer->payload_size() == 0)
        answer->content_length(0);
    writing_ = std::make_shared<HttpResponseMessage>(std::move(*answer));
    setWriteTimer(writeLimit);
    http::async_write(socket_, *writing_,
                      [self = shared_from_this(), keep = writing_, close](const Error &failure,
                                                                          std::size_t /*bytes*/) {
                          self->onWritten(failure, close);
                      });
}

void CallerSession::onWritten(const Error &failure, bool close)
{
    writing_ = nullptr;
    writeTimer_.cancel();
    if (state_ != State::Open)
        return;
    if (failure || callerClosed_)
        return abandon();
    if (close)
        return linger();
    writeNext();
    startHeld();
    consume();
    sendInterim();
    if (state_ != State::Open)
        return;
    if (pipeline_.isEmpty() && !writing_ && !held_ && !headerStarted_) {
        if (environment_->isClosing() && !hasUnreadBytes(socket_))
            return linger();
        setReadTimer(environment_->limits().idleTimeout);
    }
    read();
}

void CallerSession::closeIfIdle()
{
    if (state_ == State::Open && pipeline_.isEmpty() && !writing_ && !held_ && !headerStarted_
        && !hasUnreadBytes(socket_)) // otherwise the answer ends the connection
        linger();
}

// Tells the handler that the caller has gone, and ends the connection once nothing is written.
void CallerSession::abandon()
{
    const auto functions = pipeline_.abandon();
    held_.reset();
    if (!writing_)
        close();
    for (const auto &gone : functions)
        gone();
}

void CallerSession::linger()
{
    state_ = State::Lingering;
    held_.reset();
    readTimer_.cancel();
    Error ignored; // the caller may have closed already
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    buffer_.consume(buffer_.size());
    setWriteTimer(lingerTime);
    read();
}

void CallerSession::close()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    readTimer_.cancel();
    writeTimer_.cancel();
    Error ignored; // the socket is given up in any case
    socket_.close(ignored);
    environment_->onClosed(shared_from_this());
}

void CallerSession::setReadTimer(Milliseconds time)
{
    readTimer_.expires_after(time);
    readTimer_.async_wait([weak = weak_from_this()](const Error &failure) {
        if (const auto self = weak.lock(); self && !failure)
            self->onReadTimer();
    });
}

void CallerSession::setWriteTimer(Milliseconds time)
{
    writeTimer_.expires_after(time);
    writeTimer_.async_wait([weak = weak_from_this()](const Error &failure) {
        const auto self = weak.lock();
        if (!self || failure || self->writeTimer_.expiry() > Clock::now())
            return; // cancelled or set again
        self->writing_ = nullptr; // its write ends with the connection
        self->abandon();
    });
}

void CallerSession::onReadTimer()
{
    if (readTimer_.expiry() > Clock::now() || state_ != State::Open)
        return; // set again meanwhile
    if (headerStarted_)
        refuse(http::status::request_timeout);
    else if (pipeline_.isEmpty() && !writing_ && !held_ && !hasUnreadBytes(socket_))
        linger();
}

} // namespace chestnutvane::internal
