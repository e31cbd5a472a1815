// One attempt of a request at one target over HTTP/1.1, and the pool of idle connections.
//
// An answer counts only if it is whole, belongs to the request and bears the target's seal or the
// target's word that the request did not run (see answer_end.h for what is whole). Extra answers of
// earlier requests are dropped; a connection with bytes behind its answer, or with a request that
// was not fully written, is closed.
//
// What a target says of itself (its load, that it leaves, that it wants a pause) counts in such
// answers only; an answer of another request, or without a seal, counts for nothing.
//
// A target may repeat an earlier refusal. Therefore a refusal without the request's id counts only
// on a new connection, and a request that was refused is not sent on the same connection again.
//
// Example:
//
//   auto exchange = TargetExchange::start(io, pool, attempt, [](ExchangeResult result) { ... });
//   exchange->cancel(); // closes the connection, which ends the work at the target
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/answer_memory.h"
#include "chestnutvane/connection/header_names.h"
#include "chestnutvane/connection/http_types.h"
#include "chestnutvane/connection/retry_after.h"

namespace chestnutvane {

// Limit in bytes of the memory for the answers that the attempts of a pool read.
inline constexpr std::size_t maxBufferedAnswers = 16U << 20U;

// A connection to a target that an exchange has finished with.
struct PooledConnection
{
    Tcp::socket socket;
    std::vector<std::string> refusedIds; // ids of the requests that were refused on it
};

// What attempts at targets share: the idle connections, by "IP:port", and the memory for answers.
class TargetPool
{
public:
    // Takes an idle connection on which nothing has happened since it was put back, and on which
    // the request was not refused before.
    std::optional<PooledConnection> take(const std::string &address, const std::string &requestId,
                                         TimePoint now);

    // Puts back a connection that may be reused until the time given.
    void put(const std::string &address, PooledConnection connection, TimePoint until);

    // Closes the idle connections to an address.
    void drop(const std::string &address);

    // Closes the idle connections whose time is over.
    void expire(TimePoint now);

    // The memory for the answers that attempts of this pool read.
    [[nodiscard]] AnswerMemory &answerMemory() { return answerMemory_; }

private:
    struct Idle
    {
        PooledConnection connection;
        TimePoint until;
    };
    std::map<std::string, std::vector<Idle>> idle_;
    AnswerMemory answerMemory_{maxBufferedAnswers};
};

// What a target says of its load.
struct TargetLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // How long work takes at the target now, in percent of the usual; not all targets tell it.
    std::optional<int> runTimePercent;
};

struct TargetAnswer
{
    HttpResponseMessage message; // without the headers of the connection
    bool notRun = false; // the target says that it did not run the request
    bool otherTarget = false; // the address belongs to another target now
    std::optional<TargetLoad> load;
    bool leaving = false; // the target that answers is shutting down
    std::string answeredBy; // id of the target that answers; empty if it does not say
    RetryAfter retryAfter; // of a refusal with status 503
};

enum class ExchangeFailure {
    ConnectFailed, // refused, or no path
    ConnectTimedOut,
    ConnectionLost, // closed or reset before the end of the answer
    Garbled, // bytes that are no answer to this request
    TimedOut,
    Cancelled,
};

inline constexpr EnumName<ExchangeFailure> exchangeFailureNames[] = {
        {ExchangeFailure::ConnectFailed, "connect-failed"},
        {ExchangeFailure::ConnectTimedOut, "connect-timed-out"},
        {ExchangeFailure::ConnectionLost, "connection-lost"},
        {ExchangeFailure::Garbled, "garbled"},
        {ExchangeFailure::TimedOut, "timed-out"},
        {ExchangeFailure::Cancelled, "cancelled"},
};

struct ExchangeError
{
    ExchangeFailure failure = ExchangeFailure::ConnectFailed;
    bool mayHaveRun = false; // a byte of the request may have reached the target
};

// How an attempt ended, and what it tells of the path to the target.
struct ExchangeResult
{
    std::variant<TargetAnswer, ExchangeError> outcome;
    bool reused = false; // the connection was an idle one
    std::optional<Duration> connectTime; // of a new connection
    Duration elapsed{0}; // from the first byte sent to the end
};

struct ExchangeRequest
{
    std::string address; // "IP:port" of the target
    std::shared_ptr<HttpRequestMessage> message; // as it is sent
    std::string requestId; // that the answer must bear
    HeaderNames names;
    Duration connectLimit{0};
    TimePoint limit; // the attempt ends then
    std::size_t maxAnswerBytes = 16777216;
    Duration maxIdle{0}; // a connection idle for longer is not reused
};

class TargetExchange
{
public:
    using Callback = std::function<void(ExchangeResult)>;

    // Starts an attempt. The callback is called exactly once, never from within start(), and not
    // after cancel().
    static std::shared_ptr<TargetExchange> start(net::io_context &io, TargetPool &pool,
                                                 ExchangeRequest request, Callback callback);

    virtual ~TargetExchange() = default;

    // Ends the attempt and closes its connection.
    virtual void cancel() = 0;
};

} // namespace chestnutvane
