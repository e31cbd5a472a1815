#include "chestnutvane/connection/peer_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace chestnutvane::internal {
namespace {

constexpr std::size_t readBufferBytes = 64U << 10U;
// Frames are gathered up to this size for one write, so that small calls share system calls.
constexpr std::size_t writeBatchBytes = 128U << 10U;

nghttp2_nv headerField(const std::string_view name, const std::string_view value)
{
    // nghttp2 takes non-const pointers but does not write to them; it copies the fields.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view text(const std::uint8_t *bytes, std::size_t length)
{
    return {reinterpret_cast<const char *>(bytes), length};
}

} // namespace

// Functions with the signatures that nghttp2 asks for.
struct PeerSession::Callbacks
{
    static PeerSession &self(void *user) { return *static_cast<PeerSession *>(user); }

    static int beforeFrameSend(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                               void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            self(user).events_.requestSent(frame->hd.stream_id);
        return 0;
    }

    static int beginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            self(user).events_.streamOpened(frame->hd.stream_id);
            self(user).watchForSilence();
        }
        return 0;
    }

    static int header(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                      const std::uint8_t *name, std::size_t nameLength, const std::uint8_t *value,
                      std::size_t valueLength, std::uint8_t /*flags*/, void *user)
    {
        self(user).events_.header(frame->hd.stream_id, text(name, nameLength),
                                  text(value, valueLength));
        return 0;
    }

    static int data(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                    const std::uint8_t *bytes, std::size_t length, void *user)
    {
        self(user).events_.data(stream, text(bytes, length));
        return 0;
    }

    static int frameReceived(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        const bool isMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (isMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            self(user).events_.messageEnd(frame->hd.stream_id);
        return 0;
    }

    static int streamClosed(nghttp2_session * /*session*/, std::int32_t stream,
                            std::uint32_t errorCode, void *user)
    {
        self(user).uploads_.erase(stream);
        self(user).events_.streamClosed(stream, errorCode);
        return 0;
    }

    static ssize_t readUpload(nghttp2_session * /*session*/, std::int32_t stream,
                              std::uint8_t *target, std::size_t length, std::uint32_t *flags,
                              nghttp2_data_source *source, void * /*user*/)
    {
        auto &uploads = self(source->ptr).uploads_;
        const auto found = uploads.find(stream);
        if (found == uploads.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // the stream was reset
        Upload &upload = found->second;
        const std::size_t count = std::min(length, upload.body.size() - upload.sent);
        upload.body.copy(reinterpret_cast<char *>(target), count, upload.sent);
        upload.sent += count;
        if (upload.sent == upload.body.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            uploads.erase(found);
        }
        return static_cast<ssize_t>(count);
    }

    static nghttp2_data_provider provider(PeerSession &session)
    {
        nghttp2_data_provider result{};
        result.source.ptr = &session;
        result.read_callback = readUpload;
        return result;
    }
};

std::shared_ptr<PeerSession> PeerSession::create(asio::ip::tcp::socket socket, PeerRole role,
                                                 std::uint32_t maxStreams, PeerSessionEvents events)
{
    std::shared_ptr<PeerSession> session(new PeerSession(std::move(socket), std::move(events)));
    session->start(role, maxStreams);
    return session;
}

PeerSession::PeerSession(asio::ip::tcp::socket socket, PeerSessionEvents events)
    : socket_(std::move(socket)), silenceTimer_(socket_.get_executor()), events_(std::move(events)),
      readBuffer_(readBufferBytes)
{ }

PeerSession::~PeerSession()
{
    nghttp2_session_del(session_);
}

void PeerSession::start(PeerRole role, std::uint32_t maxStreams)
{
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Ends idle connections whose peer has vanished; those with open calls end by PING.
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, Callbacks::beforeFrameSend);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::streamClosed);
    if (role == PeerRole::Client)
        nghttp2_session_client_new(&session_, callbacks, this);
    else
        nghttp2_session_server_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 3> settings{
            {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
             {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    scheduleFlush();
    read();
}

std::int32_t PeerSession::submitRequest(const std::string &path, std::string &body)
{
    if (closed_ || nghttp2_session_check_request_allowed(session_) == 0)
        return -1;
    const std::string length = std::to_string(body.size());
    const std::array<nghttp2_nv, 5> headers{
            {headerField(":method", "POST"), headerField(":scheme", "http"),
             headerField(":authority", "peer"), headerField(":path", path),
             headerField("content-length", length)}};
    const auto provider = Callbacks::provider(*this);
    const std::int32_t stream =
            nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(),
                                   body.empty() ? nullptr : &provider, nullptr);
    if (stream >= 0) {
        if (!body.empty())
            uploads_[stream] = {std::move(body)};
        scheduleFlush();
        watchForSilence();
    }
    return stream;
}

void PeerSession::submitResponse(std::int32_t stream, int status, std::string body)
{
    if (closed_)
        return;
    const std::string length = std::to_string(body.size());
    const std::string statusText = std::to_string(status);
    const std::array<nghttp2_nv, 2> headers{
            {headerField(":status", statusText), headerField("content-length", length)}};
    const auto provider = Callbacks::provider(*this);
    if (nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                                body.empty() ? nullptr : &provider)
        == 0) {
        if (!body.empty())
            uploads_[stream] = {std::move(body)};
        scheduleFlush();
    }
}

void PeerSession::resetStream(std::int32_t stream, std::uint32_t errorCode)
{
    if (closed_)
        return;
    uploads_.erase(stream);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, errorCode);
    scheduleFlush();
}

void PeerSession::close(const std::string &detail)
{
    if (closed_)
        return;
    closed_ = true;
    silenceTimer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
    const PeerSessionEvents events = std::exchange(events_, {});
    events.closed(detail);
}

void PeerSession::read()
{
    socket_.async_read_some(
            asio::buffer(readBuffer_),
            [self = shared_from_this()](const std::error_code &failure, std::size_t count) {
                if (self->closed_)
                    return;
                if (failure)
                    return self->close("connection ended: " + failure.message());
                self->heard_ = true;
                const auto used =
                        nghttp2_session_mem_recv(self->session_, self->readBuffer_.data(), count);
                if (used < 0)
                    return self->close(std::string("HTTP/2 error: ")
                                       + nghttp2_strerror(static_cast<int>(used)));
                self->scheduleFlush();
                self->read();
            });
}

// Writes are started from a handler of their own, so that calls submitted together share a write
// and no nghttp2 function is entered from one of its callbacks.
void PeerSession::scheduleFlush()
{
    if (closed_ || writing_ || flushScheduled_)
        return;
    flushScheduled_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushScheduled_ = false;
        self->flush();
    });
}

void PeerSession::flush()
{
    if (closed_ || writing_)
        return;
    writeBuffer_.clear();
    while (writeBuffer_.size() < writeBatchBytes) {
        const std::uint8_t *bytes = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &bytes);
        if (count < 0)
            return close(std::string("HTTP/2 error: ") + nghttp2_strerror(static_cast<int>(count)));
        if (count == 0)
            break;
        writeBuffer_ += text(bytes, static_cast<std::size_t>(count));
    }
    if (writeBuffer_.empty()) {
        if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0)
            close("connection ended by HTTP/2 GOAWAY");
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(writeBuffer_),
                      [self = shared_from_this()](const std::error_code &failure, std::size_t) {
                          self->writing_ = false;
                          if (failure)
                              return self->close("connection ended: " + failure.message());
                          self->flush();
                      });
}

void PeerSession::watchForSilence()
{
    if (closed_ || watching_)
        return;
    watching_ = true;
    silenceTimer_.expires_after(silenceTick);
    silenceTimer_.async_wait([self = shared_from_this()](const std::error_code &failure) {
        self->watching_ = false;
        if (!failure)
            self->tick();
    });
}

void PeerSession::tick()
{
    if (closed_)
        return;
    if (!events_.hasOpenCalls()) {
        pinged_ = false;
        return; // the next call starts the timer again
    }
    if (std::exchange(heard_, false)) {
        pinged_ = false;
    } else if (!pinged_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        scheduleFlush();
        pinged_ = true;
        silentTicks_ = 0;
    } else if (++silentTicks_ >= silentTicksAllowed) {
        return close("connection silent: no answer to a PING for 1 s");
    }
    watchForSilence();
}

} // namespace chestnutvane::internal
