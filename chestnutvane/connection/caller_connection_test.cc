#include "chestnutvane/connection/caller_connection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// A listener on a free port whose handler answers with the path after a delay.
class CallerConnectionTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (std::uint16_t port = 21000; port < 21200 && !listener_; ++port) {
            auto listener = CallerListener::create(
                    io_, "127.0.0.1:" + std::to_string(port),
                    [this](Call call) { handle(std::move(call)); }, [this] { return limits_; });
            if (isOk(listener)) {
                listener_ = value(std::move(listener));
                port_ = port;
            }
        }
        ASSERT_NE(listener_, nullptr);
    }

    void start()
    {
        thread_ = std::thread([this] { io_.run(); });
    }

    void TearDown() override
    {
        io_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    void handle(Call call)
    {
        ++calls_;
        call.onGone([this] { ++gone_; });
        auto timer = std::make_shared<net::steady_timer>(io_, delay_);
        timer->async_wait([timer, call = std::move(call)](const boost::system::error_code &) {
            HttpResponseMessage response(http::status::ok, 11);
            response.body() =
                    "[" + std::string(call.request->target()) + call.request->body() + "]";
            call.answer(std::move(response));
        });
    }

    static std::string get(const std::string &path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    }

    net::io_context io_{1};
    net::executor_work_guard<net::io_context::executor_type> work_ = net::make_work_guard(io_);
    CallerConnectionLimits limits_;
    Milliseconds delay_{5};
    std::shared_ptr<CallerListener> listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> calls_{0};
    std::atomic<int> gone_{0};
    std::thread thread_;
};

// Guards against answers that belong to other requests: the next requests arrive in pieces while
// the first is worked on, and the buffer is consumed while the connection waits for more.
TEST_F(CallerConnectionTest, PipelinedRequestsInPiecesAreAnsweredInOrder)
{
    delay_ = 30ms;
    start();
    RawClient client(port_);
    std::string all;
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
        all += get("/" + std::to_string(i) + "/"
                   + std::string(static_cast<std::size_t>(i) * 7, 'x'));
    constexpr std::size_t piece = 37;
    for (std::size_t at = 0; at < all.size(); at += piece) {
        client.send(all.substr(at, piece));
        std::this_thread::sleep_for(3ms);
    }
    for (int i = 0; i < requests; ++i) {
        const std::string answer = client.readUntil("]");
        EXPECT_NE(answer.find("[/" + std::to_string(i) + "/"), std::string::npos) << answer;
    }
    EXPECT_EQ(calls_, requests);
}

// Guards against chunked bodies that are lost, cut or taken for the next request.
TEST_F(CallerConnectionTest, AChunkedBodyArrivesWhole)
{
    start();
    RawClient client(port_);
    client.send("POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    client.send("6\r\n world\r\n0\r\n\r\n" + get("/next"));
    EXPECT_NE(client.readUntil("]").find("[/uphello world]"), std::string::npos);
    EXPECT_NE(client.readUntil("]").find("[/next]"), std::string::npos);
}

// Guards against a slow request that delays the work of those behind it on its connection.
TEST_F(CallerConnectionTest, PipelinedSafeRequestsAreWorkedOnAtTheSameTime)
{
    delay_ = 300ms;
    start();
    RawClient client(port_);
    client.send(get("/1") + get("/2") + get("/3"));
    for (int i = 0; i < 250 && calls_ < 3; ++i)
        std::this_thread::sleep_for(1ms);
    EXPECT_EQ(calls_, 3); // before the first answer
    for (const char *path : {"[/1]", "[/2]", "[/3]"})
        EXPECT_NE(client.readUntil("]").find(path), std::string::npos);
}

// Guards against an effect that takes place before that of an earlier request of its connection.
TEST_F(CallerConnectionTest, AnUnsafeRequestWaitsForThoseBeforeIt)
{
    delay_ = 200ms;
    start();
    RawClient client(port_);
    client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
                + get("/3"));
    while (calls_ == 0)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(calls_, 1);
    EXPECT_NE(client.readUntil("]").find("[/1]"), std::string::npos);
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(calls_, 2);
    EXPECT_NE(client.readUntil("]").find("[/2ab]"), std::string::npos);
    EXPECT_NE(client.readUntil("]").find("[/3]"), std::string::npos);
}

// Guards against a stop that cuts requests which were passed on behind another one.
TEST_F(CallerConnectionTest, ClosingAnswersAllPipelinedRequestsThatAreWorkedOn)
{
    delay_ = 200ms;
    start();
    RawClient client(port_);
    client.send(get("/1") + get("/2"));
    while (calls_ < 2)
        std::this_thread::sleep_for(1ms);
    net::post(io_, [this] { listener_->startClosing(); });
    const std::string first = client.readUntil("]");
    EXPECT_EQ(first.find("Connection: close"), std::string::npos) << first;
    const std::string last = client.readUntil("]");
    EXPECT_NE(last.find("Connection: close"), std::string::npos) << last;
    EXPECT_NE(last.find("[/2]"), std::string::npos) << last;
    EXPECT_TRUE(client.waitForClose());
}

// Guards against work that goes on after its caller has left, also one that pipelines.
TEST_F(CallerConnectionTest, ACallerThatLeavesIsNoticedBehindPipelinedRequests)
{
    delay_ = 2s;
    start();
    RawClient client(port_);
    client.send(get("/1") + get("/2"));
    while (calls_ < 2)
        std::this_thread::sleep_for(1ms);
    client.close();
    for (int i = 0; i < 450 && gone_ < 2; ++i)
        std::this_thread::sleep_for(1ms);
    EXPECT_EQ(gone_, 2);
}

// Guards against a refusal, or an interim answer, that overtakes the answer to an earlier request.
TEST_F(CallerConnectionTest, OwnAnswersWaitForThoseBeforeThem)
{
    delay_ = 100ms;
    start();
    RawClient client(port_);
    client.send(get("/1")
                + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
                  "\r\n");
    const std::string first = client.readUntil("]");
    EXPECT_EQ(first.find(" 100 "), std::string::npos) << first;
    EXPECT_NE(client.readUntil("\r\n\r\n").find(" 100 "), std::string::npos);
    client.send("ab" + get("/3") + "no request at all\r\n\r\n");
    EXPECT_NE(client.readUntil("]").find("[/2ab]"), std::string::npos);
    EXPECT_NE(client.readUntil("]").find("[/3]"), std::string::npos);
    EXPECT_NE(client.readUntil("\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_TRUE(client.waitForClose());
}

// Guards against limits that are not kept, and against a request that is refused without a reason.
TEST_F(CallerConnectionTest, RequestsBeyondTheLimitsAreRefused)
{
    limits_.maxBodyBytes = 10;
    limits_.maxHeaderBytes = 200;
    start();
    RawClient large(port_);
    large.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world");
    EXPECT_NE(large.readUntil("\r\n\r\n").find(" 413 "), std::string::npos);
    RawClient wide(port_);
    wide.send("GET / HTTP/1.1\r\nHost: a\r\nLong: " + std::string(400, 'x') + "\r\n\r\n");
    EXPECT_NE(wide.readUntil("\r\n\r\n").find(" 431 "), std::string::npos);
    RawClient broken(port_);
    broken.send("no request at all\r\n\r\n");
    EXPECT_NE(broken.readUntil("\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_EQ(calls_, 0);
}

// Sends a head and then pieces until an answer comes or the bytes are sent; returns the answer's
// head.
std::string answerToEndless(std::uint16_t port, const std::string &head, const std::string &piece)
{
    constexpr std::size_t longest = 4U << 20U;
    RawClient client(port);
    client.send(head);
    std::string answer;
    for (std::size_t sent = 0; sent < longest && answer.empty(); sent += piece.size()) {
        client.send(piece);
        answer = client.readUntil("\r\n\r\n", 1ms);
    }
    return answer.empty() ? client.readUntil("\r\n\r\n", 500ms) : answer;
}

// Guards against an instance that ends for want of memory because a caller sends a part of a
// request that is no body without end: such bytes stayed in the buffer of the connection.
TEST_F(CallerConnectionTest, PartsWithoutEndAreRefused)
{
    start();
    const std::string piece(8000, 'a');
    const std::string fields = "X-A: " + std::string(1000, 'a') + "\r\n";
    const std::string chunked =
            "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string head;
        std::string piece;
        std::string status;
    };
    const std::vector<Case> cases{
            {"", piece, " 431 "}, // no line end
            {"GET /a HTTP/1.1\r\n", fields, " 431 "}, // header fields
            {chunked, piece, " 400 "}, // no chunk size
            {chunked + "4", std::string(8000, ' '), " 400 "}, // blanks behind a chunk size
            {chunked + "4;x=", piece, " 400 "}, // a chunk extension
            {chunked + "4\r\nabcd\r\n4;x=", piece, " 400 "}, // that of the second chunk
            {chunked + "0\r\n", fields, " 431 "}, // trailer fields
            {chunked + "0;x=y\r\nX-A: ", piece, " 431 "}, // one trailer field
            {chunked + "4\r\nabcd\r\n0\r\n", fields, " 431 "}, // behind a body
    };
    for (const auto &[head, further, status] : cases) {
        const std::string answer = answerToEndless(port_, head, further);
        EXPECT_NE(answer.find(status), std::string::npos) << head << ": " << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << head << ": " << answer;
    }
    EXPECT_EQ(calls_, 0);
}

// Guards against bounds that refuse what callers may send.
TEST_F(CallerConnectionTest, ExtensionsAndTrailersWithinTheBoundsAreTaken)
{
    start();
    RawClient client(port_);
    client.send("POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4;x="
                + std::string(2000, 'e') + "\r\nabcd\r\n0\r\nX-A: " + std::string(4000, 't')
                + "\r\n\r\n");
    EXPECT_NE(client.readUntil("]").find("[/aabcd]"), std::string::npos);
}

// Guards against a caller that holds a connection with half a request.
TEST_F(CallerConnectionTest, ASlowHeaderEndsWith408AndAnIdleConnectionCloses)
{
    limits_.headerTimeout = 60ms;
    limits_.idleTimeout = 120ms;
    start();
    RawClient slow(port_);
    slow.send("GET / HTTP/1.1\r\nHo");
    EXPECT_NE(slow.readUntil("\r\n\r\n").find(" 408 "), std::string::npos);
    RawClient idle(port_);
    EXPECT_TRUE(idle.waitForClose());
}

// Guards against a stop that cuts requests, and one after which callers keep their connections.
TEST_F(CallerConnectionTest, ClosingEndsIdleConnectionsAndAnswersWhatWasRead)
{
    delay_ = 100ms;
    start();
    RawClient idle(port_);
    idle.send(get("/0"));
    EXPECT_NE(idle.readUntil("]").find("[/0]"), std::string::npos);
    RawClient busy(port_);
    busy.send(get("/1"));
    while (calls_ < 2)
        std::this_thread::sleep_for(1ms);
    net::post(io_, [this] { listener_->startClosing(); });
    EXPECT_TRUE(idle.waitForClose());
    const std::string answer = busy.readUntil("]");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_NE(answer.find("[/1]"), std::string::npos) << answer;
    EXPECT_TRUE(busy.waitForClose());
}

// Guards against a request that is lost because a busy process closes its connection as idle before
// it has read the request, which had arrived already.
TEST_F(CallerConnectionTest, AStopAnswersRequestsThatWaitInTheSocket)
{
    start();
    RawClient client(port_);
    client.send(get("/1"));
    EXPECT_NE(client.readUntil("]").find("[/1]"), std::string::npos);
    std::promise<void> stopped;
    net::post(io_, [&] { // the process does nothing else meanwhile
        client.send(get("/2"));
        std::this_thread::sleep_for(50ms);
        listener_->startClosing();
        stopped.set_value();
    });
    stopped.get_future().wait();
    const std::string answer = client.readUntil("]");
    EXPECT_NE(answer.find("[/2]"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_TRUE(client.waitForClose());
}

} // namespace
} // namespace chestnutvane
