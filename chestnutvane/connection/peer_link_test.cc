#include "chestnutvane/connection/peer_link.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using Reply = Result<std::string, PeerError>;
using asio::ip::tcp;

// Far above what any call takes; a test that reaches it has hung.
constexpr std::chrono::seconds patience{60};

template <class T>
T await(std::future<T> future)
{
    if (future.wait_for(patience) != std::future_status::ready)
        throw std::runtime_error("no result within the patience of the test");
    return future.get();
}

struct HeldCall
{
    PeerCall call;
    PeerResponder respond;
};

// A server that keeps each call until the test answers it.
class HoldingServer
{
public:
    explicit HoldingServer(const PeerServerOptions &options = {})
    {
        auto created = PeerServer::create(options, [this](PeerCall call, PeerResponder respond) {
            const std::lock_guard lock(mutex_);
            held_.push_back({std::move(call), std::move(respond)});
            changed_.notify_all();
        });
        server_ = value(std::move(created));
        address = options.address + ":" + std::to_string(server_->port());
    }

    std::vector<HeldCall> take(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, patience, [&] { return held_.size() >= count; }))
            throw std::runtime_error("the calls did not arrive");
        return std::exchange(held_, {});
    }

    void stop() { server_.reset(); }

    std::string address;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<HeldCall> held_;
    std::unique_ptr<PeerServer> server_; // last: it is destroyed before what its handler uses
};

class PeerLinkTest : public ::testing::Test
{
protected:
    std::future<Reply> call(const std::string &address, std::string name, std::string body = "",
                            Milliseconds timeout = patience, PeerClient::CallId *id = nullptr)
    {
        auto promise = std::make_shared<std::promise<Reply>>();
        const auto callId =
                client_->call(address, std::move(name), std::move(body), timeout,
                              [promise](Reply reply) { promise->set_value(std::move(reply)); });
        if (id != nullptr)
            *id = callId;
        return promise->get_future();
    }

    static void expectFailure(std::future<Reply> future, PeerFailure failure,
                              const std::string &detail = "")
    {
        const Reply reply = await(std::move(future));
        ASSERT_FALSE(isOk(reply));
        EXPECT_EQ(enumName(peerFailureNames, error(reply).failure),
                  enumName(peerFailureNames, failure));
        EXPECT_NE(error(reply).detail.find(detail), std::string::npos) << error(reply).detail;
    }

    static std::future<void> cancellation(const HeldCall &held)
    {
        auto promise = std::make_shared<std::promise<void>>();
        held.call.state->onCancelled([promise] { promise->set_value(); });
        return promise->get_future();
    }

    std::unique_ptr<PeerClient> client_ = value(PeerClient::create());
};

// Guards against answers that reach another call, and against windows that stop large bodies.
TEST_F(PeerLinkTest, LargeConcurrentCallsGetTheirOwnAnswers)
{
    constexpr std::size_t count = 200;
    HoldingServer server;
    std::vector<std::string> bodies(count);
    for (std::size_t i = 0; i < count; ++i)
        bodies[i] = std::to_string(i) + std::string(i < 3 ? 16U << 20U : i * 37, 'x');
    std::vector<std::future<Reply>> replies(count);
    {
        std::vector<std::jthread> callers;
        for (std::size_t first = 0; first < 4; ++first) {
            callers.emplace_back([&, first] {
                for (std::size_t i = first; i < count; i += 4)
                    replies[i] = call(server.address, "echo", bodies[i]);
            });
        }
    }
    auto held = server.take(count);
    for (auto call = held.rbegin(); call != held.rend(); ++call)
        call->respond(std::move(call->call.body));
    for (std::size_t i = 0; i < count; ++i) {
        const Reply reply = await(std::move(replies[i]));
        ASSERT_TRUE(isOk(reply)) << i;
        EXPECT_TRUE(value(reply) == bodies[i]) << i; // EXPECT_EQ would print 16 MiB
    }
}

// Guards against a cancelled call that keeps its place in the broker's queue.
TEST_F(PeerLinkTest, CancelAndTimeoutReachTheServer)
{
    HoldingServer server;
    PeerClient::CallId id = 0;
    auto cancelled = call(server.address, "grant-request", "body", patience, &id);
    auto held = server.take(1);
    auto cancelSeen = cancellation(held[0]);
    client_->cancel(id);
    expectFailure(std::move(cancelled), PeerFailure::Cancelled);
    await(std::move(cancelSeen));
    held[0].respond("too late"); // must have no effect

    auto timedOut = call(server.address, "grant-request", "", Milliseconds{300});
    held = server.take(1);
    auto timeoutSeen = cancellation(held[0]);
    expectFailure(std::move(timedOut), PeerFailure::Timeout);
    await(std::move(timeoutSeen));
    await(cancellation(held[0])); // also when registered after the cancellation
}

// Guards against refusals that end other calls of the same connection, or look like lost ones.
TEST_F(PeerLinkTest, ServerRefusesAndResetsSingleCalls)
{
    HoldingServer server({.maxBodyBytes = 1000});
    auto open = call(server.address, "open");
    auto refused = call(server.address, "refused");
    auto reset = call(server.address, "reset");
    for (auto &held : server.take(3)) {
        if (held.call.name == "refused") {
            held.respond(PeerError{PeerFailure::Refused, "not the broker"});
        } else if (held.call.name == "reset") {
            held.respond(PeerError{PeerFailure::Cancelled, ""});
        } else {
            held.call.state->onCancelled([] { ADD_FAILURE() << "an answered call was cancelled"; });
            held.respond("fine");
        }
    }
    expectFailure(std::move(refused), PeerFailure::Refused, "not the broker");
    expectFailure(std::move(reset), PeerFailure::Cancelled);
    EXPECT_EQ(value(await(std::move(open))), "fine");
    expectFailure(call(server.address, "large", std::string(8U << 20U, 'x')), PeerFailure::Refused,
                  "body too large");
    auto after = call(server.address, "after", std::string(1000, 'x'));
    server.take(1)[0].respond("");
    EXPECT_EQ(value(await(std::move(after))), "");
}

// Guards against a call that waits for a stream, ends as NotSent and is sent all the same later.
TEST_F(PeerLinkTest, QueuedCallThatTimesOutIsNeverSent)
{
    HoldingServer server({.maxConcurrentStreams = 1});
    auto first = call(server.address, "first"); // its answer comes after the peer's SETTINGS
    server.take(1)[0].respond("");
    await(std::move(first));
    auto second = call(server.address, "second");
    auto held = server.take(1);
    expectFailure(call(server.address, "dropped", "body", Milliseconds{50}), PeerFailure::NotSent);
    auto third = call(server.address, "third", "body");
    held[0].respond("");
    await(std::move(second));
    held = server.take(1);
    EXPECT_EQ(held[0].call.name, "third");
    held[0].respond("");
    EXPECT_TRUE(isOk(await(std::move(third))));
}

// Guards against NotSent for a call that a dying peer may have run, and against a link that does
// not recover when the peer is back.
TEST_F(PeerLinkTest, PeerKilledInMidCall)
{
    // An address of its own, so that no other program takes the port in between.
    const std::string host = "127.0.7.1";
    HoldingServer server({.address = host});
    const std::string address = server.address;
    auto open = call(address, "open", "body");
    auto held = server.take(1);
    auto seen = cancellation(held[0]);
    server.stop();
    expectFailure(std::move(open), PeerFailure::ConnectionLost);
    await(std::move(seen));
    held[0].respond("the server is gone"); // must not crash
    expectFailure(call(address, "refused"), PeerFailure::NotSent, "cannot connect");
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    HoldingServer next({.address = host, .port = port});
    auto again = call(address, "again");
    next.take(1)[0].respond("back");
    EXPECT_EQ(value(await(std::move(again))), "back");
}

// Guards against a reset connection whose calls count as not sent or are sent again.
TEST_F(PeerLinkTest, ConnectionResetAfterThePreface)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    auto lost = call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "lost",
                     std::string(100, 'x'));
    tcp::socket socket = acceptor.accept();
    std::array<char, 100> start{};
    asio::read(socket, asio::buffer(start));
    socket.set_option(asio::socket_base::linger(true, 0)); // close with RST
    socket.close();
    expectFailure(std::move(lost), PeerFailure::ConnectionLost);
    acceptor.non_blocking(true);
    std::error_code none;
    tcp::socket second(io);
    acceptor.accept(second, none);
    EXPECT_EQ(none, asio::error::would_block) << "the call was sent again";
}

// Guards against calls that wait for their whole timeout on a connection that went silent.
TEST_F(PeerLinkTest, SilentPeerIsLeftAndConnectedAnew)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    for (int i = 0; i < 2; ++i) {
        auto silent = call(address, "silent", std::string(100, 'x'));
        tcp::socket socket = acceptor.accept();
        expectFailure(std::move(silent), PeerFailure::ConnectionLost, "silent");
    }
}

// Guards against a slow handler taken for a silent connection.
TEST_F(PeerLinkTest, SlowAnswerIsNotSilence)
{
    HoldingServer server;
    auto slow = call(server.address, "slow");
    auto held = server.take(1);
    std::this_thread::sleep_for(Milliseconds{2500}); // twice the time to detect silence
    held[0].respond("late");
    EXPECT_EQ(value(await(std::move(slow))), "late");
}

// Guards against a failed connect that counts as an unknown outcome.
TEST_F(PeerLinkTest, CallsWithoutAConnectionAreNotSent)
{
    asio::io_context io;
    tcp::socket bound(io); // bound but not listening: connects are refused, nobody takes the port
    bound.open(tcp::v4());
    bound.bind({asio::ip::make_address("127.0.0.1"), 0});
    const std::string port = std::to_string(bound.local_endpoint().port());
    expectFailure(call("127.0.0.1:" + port, "refused"), PeerFailure::NotSent, "cannot connect");
    for (const char *bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "name:80", "1.1.1.1:9x"})
        expectFailure(call(bad, "bad"), PeerFailure::NotSent, "bad address");
}

// Guards against callbacks that are lost, doubled or run after the objects are gone.
TEST_F(PeerLinkTest, ShutdownWithOpenCalls)
{
    constexpr std::size_t count = 50;
    HoldingServer server;
    std::vector<std::future<Reply>> replies;
    for (std::size_t i = 0; i < count; ++i)
        replies.push_back(call(server.address, "open", std::string(10'000, 'x')));
    auto held = server.take(count);
    std::jthread answers([&held] {
        for (std::size_t i = 0; i < count; i += 2)
            held[i].respond("done");
    });
    replies.push_back(call("127.0.0.1:1", "connecting"));
    client_.reset();
    for (std::size_t i = 0; i < count; ++i) {
        const Reply reply = await(std::move(replies[i]));
        EXPECT_TRUE(isOk(reply) || error(reply).failure == PeerFailure::Cancelled);
    }
    EXPECT_FALSE(isOk(await(std::move(replies.back()))));
    answers.join();
    await(cancellation(held[1])); // the server saw the client go
    server.stop();
    for (std::size_t i = 1; i < count; i += 2)
        held[i].respond("too late");
}

// Guards against disconnect() that leaves later calls on the old connection.
TEST_F(PeerLinkTest, DisconnectEndsCallsAndTheNextConnects)
{
    HoldingServer server;
    auto open = call(server.address, "open");
    server.take(1);
    client_->disconnect(server.address);
    expectFailure(std::move(open), PeerFailure::ConnectionLost, "disconnected");
    auto next = call(server.address, "next");
    server.take(1)[0].respond("new");
    EXPECT_EQ(value(await(std::move(next))), "new");
}

// Guards against a server that starts without its port.
TEST_F(PeerLinkTest, PortInUseIsReported)
{
    const HoldingServer server;
    const auto port = std::stoi(server.address.substr(server.address.find(':') + 1));
    const auto second = PeerServer::create({.port = static_cast<std::uint16_t>(port)}, {});
    ASSERT_FALSE(isOk(second));
    EXPECT_NE(error(second).detail.find(server.address), std::string::npos);
}

} // namespace
} // namespace chestnutvane
