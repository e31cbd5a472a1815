// A server socket that refuses what it cannot read.
//
// RESTinio closes a connection without an answer when a request is malformed, too large or too slow
// to arrive. A caller must learn that such a request did not run, so this socket writes a 4xx with
// "Vane-Outcome: not-run" before it is shut down in the middle of a request. It writes nothing once
// a complete request has been handed over, because that one may run.
//
// Example:
//
//   using Traits = restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
//           restinio::default_request_handler_t, restinio::default_strand_t, RefusingSocket>;
//
// Not thread-safe: RESTinio uses it on the strand of its connection.
#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <utility>

#include "chestnutvane/connection/close_watch.h"

namespace chestnutvane {

class RefusingSocket : public asio::ip::tcp::socket
{
public:
    using Base = asio::ip::tcp::socket;

    explicit RefusingSocket(asio::io_context &context) : Base(context) { }

    // RESTinio accepts on the same socket object again after it moved the connection out of it, so
    // a socket that was moved from gets a new state.
    RefusingSocket(RefusingSocket &&other) noexcept
        : Base(std::move(other)), state_(std::exchange(other.state_, std::make_shared<State>()))
    { }

    template <class Buffers, class ReadHandler>
    void async_read_some(const Buffers &buffers, ReadHandler &&handler)
    {
        state_->readPending = true;
        auto executor = asio::get_associated_executor(handler, get_executor());
        Base::async_read_some(
                buffers,
                asio::bind_executor(
                        executor,
                        [this, state = state_, executor, next = std::forward<ReadHandler>(handler)](
                                const asio::error_code &failure, std::size_t bytes) mutable {
                            state->received += bytes;
                            state->readPending = false;
                            state->parsing = true;
                            next(failure, bytes);
                            state->parsing = false;
                            if (!failure && !state->readPending)
                                watchForClose(state, executor, std::move(next));
                        }));
    }

    template <class Buffers, class WriteHandler>
    void async_write_some(const Buffers &buffers, WriteHandler &&handler)
    {
        state_->received = 0; // an answer is on its way; what follows is the next request
        Base::async_write_some(buffers, std::forward<WriteHandler>(handler));
    }

    asio::error_code shutdown(shutdown_type what, asio::error_code &failure)
    {
        if (state_->received > 0 && (state_->readPending || state_->parsing))
            refuse();
        return Base::shutdown(what, failure);
    }

private:
    // Bytes of a request above which it is refused as too large; smaller ones are malformed.
    static constexpr std::size_t largeRequest = 64U << 10U;

    struct State
    {
        std::size_t received = 0; // bytes since the last answer
        bool readPending = false;
        bool parsing = false; // inside the handler of a read
        bool watching = false; // waits for a close by the peer
    };

    // Waits for a close by the peer while RESTinio handles a request and does not read. "owner",
    // the handler of the last read, keeps the connection and with it this socket alive.
    template <class Executor, class Owner>
    void watchForClose(const std::shared_ptr<State> &state, const Executor &executor, Owner &&owner)
    {
        if (std::exchange(state->watching, true))
            return;
        Base::async_wait(wait_read,
                         asio::bind_executor(executor,
                                             [this, state, owner = std::forward<Owner>(owner)](
                                                     const asio::error_code &failure) {
                                                 state->watching = false;
                                                 if (!failure && !state->readPending)
                                                     notifyIfClosed();
                                             }));
    }

    // Bytes of a further request end the watch: a close behind them is seen when they are read.
    void notifyIfClosed()
    {
        asio::error_code failure;
        const auto peer = remote_endpoint(failure);
        const bool known = !failure;
        non_blocking(true, failure);
        char byte = 0;
        Base::receive(asio::buffer(&byte, 1), message_peek, failure);
        const bool closed = failure && failure != asio::error::would_block;
        if (known && closed)
            asio::use_service<CloseWatches>(asio::query(get_executor(), asio::execution::context))
                    .notify(peer);
    }

    void refuse()
    {
        const char *status = state_->readPending  ? "408 Request Timeout"
                : state_->received > largeRequest ? "413 Content Too Large"
                                                  : "400 Bad Request";
        const char *reason = state_->received > largeRequest ? "body-too-large" : "bad-request";
        const std::string answer = std::string("HTTP/1.1 ") + status
                + "\r\nContent-Length: 0\r\nConnection: close\r\n"
                  "Vane-Outcome: not-run\r\nVane-Reason: "
                + reason + "\r\n\r\n";
        state_->received = 0;
        asio::error_code ignored;
        non_blocking(true, ignored); // a caller that does not read must not hold up the worker
        Base::write_some(asio::buffer(answer), ignored);
    }

    // Shared with the handlers of reads, which may outlive the socket.
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace chestnutvane
