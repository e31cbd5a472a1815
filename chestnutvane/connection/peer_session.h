// One HTTP/2 connection (nghttp2 over Asio) of the peer link, for either end.
//
// Not thread-safe: all functions run on the thread of the socket's io_context. Events come on that
// thread too; an event function may submit and reset streams, but must not call close().
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include "chestnutvane/base/time.h"

namespace chestnutvane::internal {

// Receive windows. A stream window above the largest body lets a body of 16 MiB cross a link with a
// round trip of 110 ms without waiting for window updates.
inline constexpr std::int32_t streamWindowBytes = 20 << 20;
inline constexpr std::int32_t connectionWindowBytes = 64 << 20;

// A connection with open calls is checked each silenceTick and is closed when nothing has come for
// silentTicksAllowed ticks after a PING. Ticks are counted in place of elapsed time, so that a
// process that was paused reads what has arrived before it judges the connection.
inline constexpr Milliseconds silenceTick{250};
inline constexpr int silentTicksAllowed = 4;

enum class PeerRole {
    Client,
    Server,
};

// What a session reports to its owner. All functions must be set.
struct PeerSessionEvents
{
    // Tells whether silence of the connection matters now.
    std::function<bool()> hasOpenCalls;
    // A request of this end is about to be written; from now on the peer may receive it.
    std::function<void(std::int32_t stream)> requestSent;
    // The peer has opened a stream.
    std::function<void(std::int32_t stream)> streamOpened;
    std::function<void(std::int32_t stream, std::string_view name, std::string_view value)> header;
    std::function<void(std::int32_t stream, std::string_view bytes)> data;
    // The peer's message is complete.
    std::function<void(std::int32_t stream)> messageEnd;
    // The stream has ended; errorCode is an HTTP/2 error code, 0 after a regular end.
    std::function<void(std::int32_t stream, std::uint32_t errorCode)> streamClosed;
    // The connection has ended. No other event follows. Streams are not reported one by one.
    std::function<void(const std::string &detail)> closed;
};

class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    // Takes over a connected socket. maxStreams is the number of streams the peer may open.
    static std::shared_ptr<PeerSession> create(asio::ip::tcp::socket socket, PeerRole role,
                                               std::uint32_t maxStreams, PeerSessionEvents events);
    ~PeerSession();

    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    // Submits "POST path" and returns its stream; the body is moved away. Returns a negative number
    // and leaves the body if the session takes no more requests; then nothing is sent.
    std::int32_t submitRequest(const std::string &path, std::string &body);

    void submitResponse(std::int32_t stream, int status, std::string body);

    // Resets a stream. A request that was not yet sent is dropped.
    void resetStream(std::int32_t stream, std::uint32_t errorCode);

    // Tells whether a part of the body of this end's message is not yet written.
    [[nodiscard]] bool isUploading(std::int32_t stream) const { return uploads_.contains(stream); }

    // Closes the connection and reports it.
    void close(const std::string &detail);

private:
    struct Callbacks;
    struct Upload
    {
        std::string body;
        std::size_t sent = 0;
    };

    PeerSession(asio::ip::tcp::socket socket, PeerSessionEvents events);
    void start(PeerRole role, std::uint32_t maxStreams);
    void read();
    void scheduleFlush();
    void flush();
    void watchForSilence();
    void tick();

    asio::ip::tcp::socket socket_;
    asio::steady_timer silenceTimer_;
    PeerSessionEvents events_;
    nghttp2_session *session_ = nullptr;
    std::unordered_map<std::int32_t, Upload> uploads_;
    std::vector<std::uint8_t> readBuffer_;
    std::string writeBuffer_;
    bool writing_ = false;
    bool flushScheduled_ = false;
    bool watching_ = false;
    bool heard_ = false; // a byte has come since the last tick
    bool pinged_ = false; // a PING was sent and no byte has come since
    int silentTicks_ = 0;
    bool closed_ = false;
};

} // namespace chestnutvane::internal
