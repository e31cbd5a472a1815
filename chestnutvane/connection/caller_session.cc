#include "chestnutvane/connection/caller_session.h"

#include <algorithm>
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
// As above when memory is short.
constexpr std::size_t maxTightPipelinedBytes = 8192;
// Fields of requests of one connection that are handled at the same time, as stored.
constexpr std::size_t maxHandledFieldBytes = 65536;
// Further requests of a connection wait while its caller has not taken more than these bytes.
constexpr std::size_t maxUntakenAnswerBytes = 262144;
// Receive buffer of a connection that is not read on, in bytes.
constexpr int pausedReceiveBytes = 32768;
// An unfinished request makes progress with so many bytes; fewer do not keep it from giving way.
constexpr std::size_t progressBytes = 4096;
// What a connection holds besides its buffers, in bytes: its objects here and in the event loop.
constexpr std::size_t connectionBytes = 4096;
// What a field of a head takes besides its text, in bytes, and an answer besides its body.
constexpr std::size_t fieldOverheadBytes = 80;
constexpr std::size_t answerOverheadBytes = 1024;
// A body is charged for itself and for the copy that goes to a target, or for its spare capacity
// while it comes in chunks.
constexpr std::size_t bodyCharge = 2;
// Seconds after which a request that was refused for room may come again.
constexpr const char *roomRetryAfter = "0.5";
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

std::size_t storedFieldBytes(const HttpRequestMessage &head)
{
    std::size_t bytes = head.target().size();
    for (const auto &field : head)
        bytes += field.name_string().size() + field.value().size() + fieldOverheadBytes;
    return bytes;
}

// A complete request, charged for until nobody uses it.
struct ChargedRequest
{
    ChargedRequest(HttpRequestMessage &&request, const std::shared_ptr<CallerMemory> &memory,
                   std::size_t fieldBytes)
        : message(std::move(request)), fields(memory, MemoryPart::Requests, fieldBytes),
          body(memory, MemoryPart::Bodies, bodyCharge * message.body().size())
    { }

    HttpRequestMessage message;
    MemoryHold fields;
    MemoryHold body;
};

} // namespace

CallerSession::CallerSession(Tcp::socket socket,
                             std::shared_ptr<const SessionEnvironment> environment,
                             CallerShares &shares)
    : socket_(std::move(socket)), environment_(std::move(environment)),
      readTimer_(socket_.get_executor()), writeTimer_(socket_.get_executor()),
      account_(environment_->guards.memory, *this),
      handledFieldBytes_(std::make_shared<std::size_t>(0)), readProgress_(Clock::now())
{
    Error failure; // a connection that has ended already shows at the first read
    const auto remote = socket_.remote_endpoint(failure);
    if (!failure)
        peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
    addressShare_ = shares.add(remote.address());
}

void CallerSession::start()
{
    Error failure; // an option that cannot be set only costs speed
    socket_.set_option(Tcp::no_delay(true), failure);
    socket_.non_blocking(true, failure);
    newParser();
    if (!chargeReading())
        return close();
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
    fieldBytes_ = 0;
    importance_ = 0;
}

void CallerSession::read()
{
    if (reading_ || callerClosed_ || state_ == State::Closed)
        return;
    const bool tight = !takesMore_ || environment_->guards.memory->isTight(MemoryPart::Requests);
    if (state_ == State::Open && (held_ || !takesMore_)
        && buffer_.size() >= (tight ? maxTightPipelinedBytes : maxPipelinedBytes)) {
        Error ignored; // an option that cannot be set only costs memory
        if (!std::exchange(boundsReceiving_, true))
            socket_.set_option(net::socket_base::receive_buffer_size(pausedReceiveBytes), ignored);
        return;
    }
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
    unmarkedBytes_ += bytes;
    if (unmarkedBytes_ >= progressBytes || !headerStarted_) {
        unmarkedBytes_ = 0;
        readProgress_ = Clock::now();
    }
    if (state_ == State::Lingering)
        buffer_.consume(buffer_.size());
    else
        consume();
    if (state_ == State::Open && !chargeReading())
        giveWay(MemoryPart::Requests);
    read();
}

// Charges for what reading holds. Returns false if there is no room for it.
bool CallerSession::chargeReading()
{
    return account_.resize(MemoryPart::Requests,
                           connectionBytes + buffer_.capacity() + fieldBytes_);
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
    const bool hasHeader = parser_->is_header_done();
    if (hasHeader && !hadHeader) {
        fieldBytes_ = storedFieldBytes(parser_->get());
        const bool hasRoom = chargeReading();
        if (state_ != State::Open)
            return false; // gave way to another connection meanwhile
        if (!hasRoom) {
            refuseForRoom();
            return false;
        }
        if (!parser_->is_done() && !checkHead())
            return false;
    }
    if (hasHeader) {
        const bool hasRoom =
                account_.resize(MemoryPart::Bodies, bodyCharge * parser_->get().body().size());
        if (state_ != State::Open)
            return false;
        if (!hasRoom) {
            refuseForRoom();
            return false;
        }
    }
    if (parser_->is_done()) {
        readTimer_.cancel();
        held_ = {takeRequest(), Clock::now()};
        newParser();
        startHeld();
        return true;
    }
    if (hasHeader) {
        setReadTimer(environment_->limits().idleTimeout);
        if (!hadHeader && parser_->get()[http::field::expect] == "100-continue") {
            interimDue_ = true;
            sendInterim();
        }
    }
    if (used > 0)
        return true;
    if (hasHeader) { // the parser itself bounds the head
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

// Returns false if the request is refused for its head.
bool CallerSession::checkHead()
{
    if (!environment_->guards.checkHead)
        return true;
    HeadVerdict verdict = environment_->guards.checkHead(parser_->get());
    importance_ = verdict.importance;
    if (verdict.refusal)
        refuse(std::move(*verdict.refusal));
    return !verdict.refusal;
}

// Takes the complete request from the parser. Its memory is charged until nobody uses it.
std::shared_ptr<const HttpRequestMessage> CallerSession::takeRequest()
{
    auto charged = std::make_shared<ChargedRequest>(parser_->release(), environment_->guards.memory,
                                                    fieldBytes_);
    account_.release(MemoryPart::Bodies);
    *handledFieldBytes_ += fieldBytes_;
    const HttpRequestMessage *message = &charged->message;
    return {message,
            [charged = std::move(charged), total = handledFieldBytes_,
             bytes = fieldBytes_](const HttpRequestMessage *) { *total -= bytes; }};
}

void CallerSession::refuse(http::status status)
{
    if (environment_->onRefused)
        environment_->onRefused(peer_, status);
    refuse(HttpResponseMessage(status, 11));
}

// Answers without reading the rest, behind the answers to the requests before.
void CallerSession::refuse(HttpResponseMessage refusal)
{
    readTimer_.cancel();
    takesMore_ = false;
    headerStarted_ = false;
    interimDue_ = false;
    parser_.reset();
    buffer_ = {};
    fieldBytes_ = 0;
    account_.release(MemoryPart::Bodies);
    setAnswer(pipeline_.add(http::verb::unknown), std::move(refusal));
}

// The request has not run.
void CallerSession::refuseForRoom()
{
    if (environment_->onRefused)
        environment_->onRefused(peer_, http::status::service_unavailable);
    HttpResponseMessage refusal(http::status::service_unavailable, 11);
    refusal.set(http::field::retry_after, roomRetryAfter);
    refuse(std::move(refusal));
    (void)chargeReading(); // returns what the refusal has freed
}

void CallerSession::setAnswer(std::uint64_t number, HttpResponseMessage answer)
{
    const std::size_t bytes = answer.body().size() + answerOverheadBytes;
    if (!pipeline_.setAnswer(number, std::move(answer)))
        return;
    answerBytes_ += bytes;
    writeNext();
    if (!account_.resize(MemoryPart::Answers, answerBytes_))
        giveWay(MemoryPart::Answers);
}

bool CallerSession::mayStartHeld() const
{
    if (!pipeline_.mayStart(held_->message->method()))
        return false;
    return pipeline_.isEmpty()
            || (*handledFieldBytes_ <= maxHandledFieldBytes
                && answerBytes_ <= maxUntakenAnswerBytes);
}

void CallerSession::startHeld()
{
    if (!held_ || !mayStartHeld())
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
        if (const auto self = weak.lock())
            self->setAnswer(number, std::move(response));
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
    writeStart_ = Clock::now();
    setWriteTimer(writeLimit);
    http::async_write(socket_, *writing_,
                      [self = shared_from_this(), keep = writing_, close](const Error &failure,
                                                                          std::size_t /*bytes*/) {
                          self->onWritten(failure, close);
                      });
}

void CallerSession::onWritten(const Error &failure, bool close)
{
    const std::size_t written = writing_ ? writing_->body().size() + answerOverheadBytes : 0;
    writing_ = nullptr;
    writeTimer_.cancel();
    if (state_ != State::Open)
        return;
    answerBytes_ -= std::min(written, answerBytes_);
    (void)account_.resize(MemoryPart::Answers, answerBytes_); // does not grow
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
        if (buffer_.size() == 0)
            buffer_ = {}; // an idle connection holds no buffer
        setReadTimer(environment_->limits().idleTimeout);
    }
    if (!chargeReading())
        giveWay(MemoryPart::Requests);
    read();
}

CallerStage CallerSession::stage() const
{
    if (headerStarted_)
        return parser_->is_header_done() ? CallerStage::Body : CallerStage::Head;
    if (pipeline_.hasOpenCalls() || held_)
        return CallerStage::Handled;
    if (state_ == State::Lingering || (!takesMore_ && !writing_))
        return CallerStage::Ending;
    return pipeline_.isEmpty() && !writing_ ? CallerStage::Idle : CallerStage::Handled;
}

CallerStanding CallerSession::standing(MemoryPart part) const
{
    const bool answering = part == MemoryPart::Answers && writing_;
    return {stage(), importance_, answering ? writeStart_ : readProgress_,
            pipeline_.hasOpenCalls()};
}

// Requests that are handled go on; only their answers are lost with the connection.
bool CallerSession::giveWay(MemoryPart part)
{
    const auto self = shared_from_this(); // an end drops the listener's reference
    const CallerStage now = stage();
    if (part == MemoryPart::Answers || now == CallerStage::Ending) {
        // Posted, as the handler may be what asks for room.
        for (auto &gone : pipeline_.abandon())
            net::post(socket_.get_executor(), std::move(gone));
        close();
        return true;
    }
    if (now == CallerStage::Head || now == CallerStage::Body) {
        refuseForRoom();
        return true;
    }
    if (now == CallerStage::Handled || hasUnreadBytes(socket_))
        return false;
    close();
    return true;
}

CallerPlace CallerSession::place() const
{
    CallerStanding now = standing(MemoryPart::Requests);
    now.hasOpenCalls =
            now.hasOpenCalls || writing_ != nullptr; // a refusal would land in the answer
    return {now, addressShare_ ? *addressShare_ : 0};
}

bool CallerSession::yieldPlace()
{
    const CallerStage now = stage();
    if (now == CallerStage::Idle && hasUnreadBytes(socket_))
        return false;
    if (now == CallerStage::Head || now == CallerStage::Body) {
        if (environment_->onRefused)
            environment_->onRefused(peer_, http::status::service_unavailable);
        const std::string refusal = std::string("HTTP/1.1 503 Service Unavailable\r\nRetry-After: ")
                + roomRetryAfter + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        Error ignored; // a caller that takes nothing gets no refusal
        socket_.write_some(net::buffer(refusal), ignored);
    }
    (void)pipeline_.abandon();
    close();
    return true;
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
    parser_.reset();
    headerStarted_ = false;
    buffer_ = {};
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
    held_.reset();
    parser_.reset();
    headerStarted_ = false;
    buffer_ = {};
    addressShare_.reset();
    for (const auto part : {MemoryPart::Requests, MemoryPart::Bodies, MemoryPart::Answers})
        account_.release(part);
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
