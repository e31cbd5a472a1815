// One connection of a caller, from its acceptance to its end.
//
// Reads requests, hands them to the handler as far as the pipeline allows, and writes the answers
// in the order of the requests. Keeps reading while requests are worked on, so that it learns of a
// caller that goes away.
//
// Example:
//
//   auto session = std::make_shared<CallerSession>(std::move(socket), environment);
//   session->start();
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "chestnutvane/connection/call_pipeline.h"
#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/connection/caller_memory.h"
#include "chestnutvane/connection/caller_places.h"

namespace chestnutvane::internal {

class CallerSession;

// What a session needs of its listener.
struct SessionEnvironment
{
    CallHandler handler;
    std::function<CallerConnectionLimits()> limits;
    RefusalObserver onRefused; // may be empty
    CallerGuards guards; // with a memory
    std::function<bool()> isClosing; // answers are to end their connections
    std::function<void(const std::shared_ptr<CallerSession> &)> onClosed;
};

class CallerSession final : public std::enable_shared_from_this<CallerSession>,
                            private CallerAccountOwner
{
public:
    // The environment must outlive the session's last call, the shares its construction.
    CallerSession(Tcp::socket socket, std::shared_ptr<const SessionEnvironment> environment,
                  CallerShares &shares);

    void start();

    // Ends the connection if no request is under way on it.
    void closeIfIdle();

    // Ends the connection at once, without a word to the handler.
    void close();

    // What the connection does, for the choice of one that gives up its place.
    [[nodiscard]] CallerPlace place() const;

    // Ends the connection at once, in favour of a new one. Returns false if a request has arrived
    // on it meanwhile.
    bool yieldPlace();

private:
    enum class State {
        Open,
        Lingering, // the sending side is closed
        Closed,
    };

    // A complete request that may not be handled yet.
    struct HeldRequest
    {
        std::shared_ptr<const HttpRequestMessage> message;
        TimePoint arrival;
    };

    [[nodiscard]] CallerStanding standing(MemoryPart part) const override;
    bool giveWay(MemoryPart part) override;
    [[nodiscard]] CallerStage stage() const;

    void read();
    void onReadable(boost::system::error_code failure);
    void consume();
    bool parseSome();
    void newParser();
    void sendInterim();
    bool chargeReading();
    bool checkHead();
    [[nodiscard]] std::shared_ptr<const HttpRequestMessage> takeRequest();
    [[nodiscard]] bool mayStartHeld() const;
    void refuse(http::status status);
    void refuse(HttpResponseMessage refusal);
    void refuseForRoom();
    void setAnswer(std::uint64_t number, HttpResponseMessage answer);
    void startHeld();
    void writeNext();
    void onWritten(const boost::system::error_code &failure, bool close);
    void abandon();
    void linger();
    void setReadTimer(Milliseconds time);
    void setWriteTimer(Milliseconds time);
    void onReadTimer();

    Tcp::socket socket_;
    std::shared_ptr<const SessionEnvironment> environment_;
    boost::asio::steady_timer readTimer_; // of the idle time and of slow requests
    boost::asio::steady_timer writeTimer_; // of the answer that is written, and of the linger time
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    CallPipeline pipeline_;
    std::optional<HeldRequest> held_;
    std::shared_ptr<HttpResponseMessage> writing_; // null: no answer is being written
    CallerAccount account_;
    std::shared_ptr<std::size_t> addressShare_; // connections of the caller's address
    std::shared_ptr<std::size_t> handledFieldBytes_; // of requests that are handled, as stored
    std::size_t fieldBytes_ = 0; // of the unfinished request, as stored
    std::size_t answerBytes_ = 0; // that the caller has not taken
    std::size_t unmarkedBytes_ = 0; // read since the last progress
    TimePoint readProgress_;
    TimePoint writeStart_;
    int importance_ = 0; // of the unfinished request
    std::string peer_;
    State state_ = State::Open;
    bool boundsReceiving_ = false; // the size of the socket's buffer is set
    bool reading_ = false; // a read is outstanding
    bool callerClosed_ = false;
    bool headerStarted_ = false;
    bool interimDue_ = false; // the caller waits for it before it sends the body
    bool takesMore_ = true; // further requests of this connection are handled
};

} // namespace chestnutvane::internal
