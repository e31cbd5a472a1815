#include "chestnutvane/connection/target_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "chestnutvane/connection/answer_end.h"
#include "chestnutvane/connection/framing_limits.h"

namespace chestnutvane {
namespace internal {
namespace {

using Error = boost::system::error_code;

// Answers of earlier requests that are dropped on one connection before it is given up.
constexpr int maxExtraAnswers = 3;
constexpr int statusMisdirected = 421;
// A connection on which more requests were refused is not reused.
constexpr std::size_t maxRefusedIds = 8;
// Share of a target's stated idle time for which a connection is reused: a request that crosses
// the target's close may have run and cannot be sent again.
constexpr double idleShare = 0.6;

std::optional<TargetLoad> parseLoad(std::string_view text)
{
    constexpr std::size_t requiredFigures = 3;
    int figures[requiredFigures + 1] = {};
    std::size_t count = 0;
    const char *at = text.data();
    const char *const end = text.data() + text.size();
    for (int &figure : figures) {
        const auto [next, failure] = std::from_chars(at, end, figure);
        if (failure != std::errc{})
            break;
        ++count;
        at = next != end && *next == ',' ? next + 1 : next;
    }
    if (count < requiredFigures)
        return std::nullopt;
    TargetLoad load{figures[0], figures[1], figures[2], std::nullopt};
    if (count > requiredFigures)
        load.runTimePercent = figures[requiredFigures];
    return load;
}

std::vector<std::string_view> headerValues(const HttpResponseMessage &message, http::field field)
{
    std::vector<std::string_view> values;
    const auto [first, last] = message.equal_range(field);
    for (auto header = first; header != last; ++header)
        values.emplace_back(header->value().data(), header->value().size());
    return values;
}

// Reads "timeout=N" of a Keep-Alive header.
std::optional<std::chrono::seconds> parseKeepAlive(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *const begin = text.data() + at + key.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

// Tells whether the connection has failed and neither a read nor a write was told so far.
bool hasPendingError(Tcp::socket &socket)
{
    int pending = 0;
    socklen_t size = sizeof(pending);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size) != 0
            || pending != 0;
}

class Exchange : public TargetExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(net::io_context &io, TargetPool &pool, ExchangeRequest request, Callback callback)
        : io_(io), pool_(pool), request_(std::move(request)), callback_(std::move(callback)),
          socket_(io), timer_(io)
    { }

    void begin();
    void cancel() override;

private:
    void connect();
    void send();
    void receive();
    // Reads until the answer is complete, or its buffered bytes exceed the bounds.
    void readSome();
    void onSomeRead(const Error &failure);
    void onReadEnded(const Error &failure);
    // What was read so far, where the read ended with an error or with the end of the answer.
    [[nodiscard]] ReceivedAnswer received(const Error &failure);
    void onInformational();
    void onFinal();
    void accept(http::response<http::string_body> message);
    void fail(ExchangeFailure failure);
    void finish(std::variant<TargetAnswer, ExchangeError> outcome);
    void keepConnection(const HttpResponseMessage &message);
    void closeSocket();
    void uncount(); // releases the memory counted in the pool
    void setTimer(TimePoint at, ExchangeFailure failure);

    net::io_context &io_;
    TargetPool &pool_;
    ExchangeRequest request_;
    Callback callback_;
    Tcp::socket socket_;
    std::vector<std::string> refusedIds_; // of earlier requests on the connection
    net::steady_timer timer_;
    boost::beast::flat_buffer buffer_{maxAnswerReadAheadBytes};
    std::optional<http::response_parser<http::string_body>> parser_;
    ExchangeResult result_;
    TimePoint connectStart_;
    TimePoint sendStart_;
    int extraAnswers_ = 0;
    int informationalAnswers_ = 0;
    std::size_t bufferedBytes_ = 0; // of the answer's body, as counted in the pool
    bool isCounted_ = false; // in the pool
    bool sent_ = false; // a byte of the request may be on its way
    bool written_ = false; // the whole request was written
    bool writeFailed_ = false;
    bool done_ = false;
};

void Exchange::begin()
{
    const TimePoint now = Clock::now();
    if (auto idle = pool_.take(request_.address, request_.requestId, now)) {
        socket_ = std::move(idle->socket);
        refusedIds_ = std::move(idle->refusedIds);
        result_.reused = true;
        send();
        return;
    }
    connect();
}

void Exchange::connect()
{
    const auto endpoint = parseEndpoint(request_.address);
    if (!endpoint) {
        net::post(io_, [self = shared_from_this()] { self->fail(ExchangeFailure::ConnectFailed); });
        return;
    }
    connectStart_ = Clock::now();
    setTimer(std::min(request_.limit, connectStart_ + request_.connectLimit),
             ExchangeFailure::ConnectTimedOut);
    socket_.async_connect(*endpoint, [self = shared_from_this()](const Error &failure) {
        if (self->done_)
            return;
        if (failure)
            return self->fail(ExchangeFailure::ConnectFailed);
        self->result_.connectTime = Clock::now() - self->connectStart_;
        Error ignored; // an option that cannot be set only costs speed
        self->socket_.set_option(Tcp::no_delay(true), ignored);
        self->send();
    });
}

void Exchange::send()
{
    sent_ = true;
    sendStart_ = Clock::now();
    setTimer(request_.limit, ExchangeFailure::TimedOut);
    http::async_write(socket_, *request_.message,
                      [self = shared_from_this(), keep = request_.message](const Error &failure,
                                                                           std::size_t) {
                          // A failed write is judged by the read: an early answer may be there.
                          self->written_ = !failure;
                          self->writeFailed_ = bool(failure);
                      });
    receive();
}

void Exchange::receive()
{
    parser_.emplace();
    parser_->body_limit(request_.maxAnswerBytes);
    parser_->eager(true);
    if (!std::exchange(isCounted_, true))
        pool_.answerMemory().startAnswer();
    readSome();
}

void Exchange::readSome()
{
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error &failure, std::size_t) {
                              if (!self->done_)
                                  self->onSomeRead(failure);
                          });
}

void Exchange::onSomeRead(const Error &failure)
{
    if (failure || parser_->is_done()) {
        // The error that ended the write may be reported behind the end of the stream.
        if (!failure && parser_->need_eof() && !written_)
            return net::post(io_, [self = shared_from_this()] {
                if (!self->done_)
                    self->onReadEnded({});
            });
        return onReadEnded(failure);
    }
    const std::size_t size = parser_->get().body().size();
    const std::size_t before = std::exchange(bufferedBytes_, size);
    if (!pool_.answerMemory().resizeAnswer(before, size))
        return fail(ExchangeFailure::Garbled);
    readSome();
}

void Exchange::onReadEnded(const Error &failure)
{
    switch (judgeAnswer(received(failure))) {
    case AnswerVerdict::Cut:
        return fail(ExchangeFailure::ConnectionLost);
    case AnswerVerdict::Malformed:
        return fail(ExchangeFailure::Garbled);
    case AnswerVerdict::Informational:
        return onInformational();
    case AnswerVerdict::Final:
        return onFinal();
    }
}

ReceivedAnswer Exchange::received(const Error &failure)
{
    ReceivedAnswer answer;
    if (!failure) {
        answer.read = AnswerRead::Complete;
        answer.status = parser_->get().result_int();
        answer.endsWithConnection = parser_->need_eof();
        answer.connectionFailed = writeFailed_ || hasPendingError(socket_);
        return answer;
    }
    const bool isSyntax = failure.category()
                    == boost::beast::http::make_error_code(http::error::bad_version).category()
            && failure != http::error::end_of_stream && failure != http::error::partial_message;
    answer.read = isSyntax ? AnswerRead::Garbled : AnswerRead::Cut;
    return answer;
}

void Exchange::onInformational()
{
    if (++informationalAnswers_ > maxInformationalAnswers)
        return fail(ExchangeFailure::Garbled);
    receive();
}

void Exchange::onFinal()
{
    auto message = parser_->release();
    const auto id = message.find(request_.names.requestId);
    if (id != message.end() && id->value() != request_.requestId) {
        if (++extraAnswers_ > maxExtraAnswers || !message.keep_alive())
            return fail(ExchangeFailure::Garbled);
        return receive();
    }
    accept(std::move(message));
}

void Exchange::accept(http::response<http::string_body> message)
{
    TargetAnswer answer;
    const bool saysNotRun = message.find(request_.names.notRun) != message.end();
    answer.otherTarget = message.result_int() == statusMisdirected;
    answer.notRun = saysNotRun || answer.otherTarget;
    const bool hasSeal = message.find(request_.names.seal) != message.end();
    const bool hasId = message.find(request_.names.requestId) != message.end();
    const bool isEncoded = message.find(http::field::content_encoding) != message.end();
    if (!answer.notRun && (!hasSeal || !hasId || isEncoded))
        return fail(ExchangeFailure::Garbled);
    if (answer.notRun) {
        if (!hasId && (result_.reused || extraAnswers_ > 0))
            return fail(ExchangeFailure::Garbled); // it may answer an earlier request
        refusedIds_.push_back(request_.requestId);
    }
    if (const auto load = message.find(request_.names.load); load != message.end())
        answer.load = parseLoad({load->value().data(), load->value().size()});
    answer.leaving = message[request_.names.leaving] == "1";
    answer.answeredBy = std::string(message[request_.names.targetId]);
    if (answer.notRun && message.result() == http::status::service_unavailable)
        answer.retryAfter = readRetryAfter(headerValues(message, http::field::retry_after));
    keepConnection(message);
    answer.message = std::move(message);
    finish(std::move(answer));
}

void Exchange::keepConnection(const HttpResponseMessage &message)
{
    if (!written_ || buffer_.size() > 0 || !message.keep_alive() || parser_->need_eof()
        || refusedIds_.size() > maxRefusedIds || message[request_.names.leaving] == "1")
        return;
    Duration idle = request_.maxIdle;
    if (const auto header = message.find(http::field::keep_alive); header != message.end()) {
        if (const auto stated = parseKeepAlive({header->value().data(), header->value().size()}))
            idle = std::min(idle, std::chrono::duration_cast<Duration>(*stated * idleShare));
    }
    pool_.put(request_.address, {std::move(socket_), std::move(refusedIds_)}, Clock::now() + idle);
    socket_ = Tcp::socket(io_);
}

void Exchange::cancel()
{
    if (done_)
        return;
    done_ = true;
    callback_ = nullptr;
    timer_.cancel();
    closeSocket();
    uncount();
}

void Exchange::fail(ExchangeFailure failure)
{
    finish(ExchangeError{failure, sent_});
}

void Exchange::finish(std::variant<TargetAnswer, ExchangeError> outcome)
{
    if (done_)
        return;
    done_ = true;
    timer_.cancel();
    closeSocket();
    uncount();
    if (sent_)
        result_.elapsed = Clock::now() - sendStart_;
    result_.outcome = std::move(outcome);
    std::exchange(callback_, nullptr)(std::move(result_));
}

void Exchange::closeSocket()
{
    Error ignored; // the socket is given up in any case
    socket_.close(ignored);
}

void Exchange::uncount()
{
    if (std::exchange(isCounted_, false))
        pool_.answerMemory().endAnswer(std::exchange(bufferedBytes_, 0));
}

void Exchange::setTimer(TimePoint at, ExchangeFailure failure)
{
    timer_.expires_at(at);
    timer_.async_wait([weak = weak_from_this(), failure](const Error &ended) {
        if (const auto self = weak.lock();
            self && !ended && !self->done_ && self->timer_.expiry() <= Clock::now())
            self->fail(failure);
    });
}

// Tells whether the peer has neither closed the connection nor sent anything on it.
bool isQuiet(Tcp::socket &socket)
{
    Error failure;
    socket.non_blocking(true, failure);
    char byte = 0;
    socket.receive(net::buffer(&byte, 1), Tcp::socket::message_peek, failure);
    return failure == net::error::would_block;
}

} // namespace
} // namespace internal

std::optional<PooledConnection> TargetPool::take(const std::string &address,
                                                 const std::string &requestId, TimePoint now)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return std::nullopt;
    auto &connections = found->second;
    // The last one is used first, so that the others can expire.
    for (std::size_t i = connections.size(); i-- > 0;) {
        const auto &refusedIds = connections[i].connection.refusedIds;
        if (std::find(refusedIds.begin(), refusedIds.end(), requestId) != refusedIds.end())
            continue;
        Idle idle = std::move(connections[i]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        if (idle.until > now && internal::isQuiet(idle.connection.socket))
            return std::move(idle.connection);
    }
    return std::nullopt;
}

void TargetPool::put(const std::string &address, PooledConnection connection, TimePoint until)
{
    idle_[address].push_back({std::move(connection), until});
}

void TargetPool::drop(const std::string &address)
{
    idle_.erase(address);
}

void TargetPool::expire(TimePoint now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [now](const Idle &idle) { return idle.until <= now; });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::shared_ptr<TargetExchange> TargetExchange::start(net::io_context &io, TargetPool &pool,
                                                      ExchangeRequest request, Callback callback)
{
    auto exchange =
            std::make_shared<internal::Exchange>(io, pool, std::move(request), std::move(callback));
    exchange->begin();
    return exchange;
}

} // namespace chestnutvane
