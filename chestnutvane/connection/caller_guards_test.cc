#include "chestnutvane/connection/caller_connection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
}

std::string postHead(const std::string &path, std::size_t bytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
            + std::to_string(bytes) + "\r\n\r\n";
}

// A listener with narrow limits whose handler answers with the path and a body after a delay.
class CallerGuardsTest : public ::testing::Test
{
protected:
    static constexpr std::size_t partBytes = 200000;

    void start()
    {
        guards_.memory = std::make_shared<CallerMemory>(
                CallerMemoryLimits{{partBytes, partBytes, partBytes}});
        for (std::uint16_t port = 21300; port < 21500 && !listener_; ++port) {
            auto listener = CallerListener::create(
                    io_, "127.0.0.1:" + std::to_string(port),
                    [this](Call call) { handle(std::move(call)); },
                    [] { return CallerConnectionLimits{}; },
                    [this](const std::string &, http::status) { ++refused_; }, guards_);
            if (isOk(listener)) {
                listener_ = value(std::move(listener));
                port_ = port;
            }
        }
        ASSERT_NE(listener_, nullptr);
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
        timer->async_wait([this, timer, call = std::move(call)](const boost::system::error_code &) {
            HttpResponseMessage response(http::status::ok, 11);
            response.body() = std::string(answerBytes_, 'x') + "["
                    + std::string(call.request->target()) + "]";
            call.answer(std::move(response));
        });
    }

    // What is charged for a part, read on the listener's thread.
    std::size_t used(MemoryPart part)
    {
        std::atomic<std::size_t> bytes{0};
        std::atomic<bool> done{false};
        net::post(io_, [&] {
            bytes = guards_.memory->used(part);
            done = true;
        });
        while (!done)
            std::this_thread::sleep_for(1ms);
        return bytes;
    }

    net::io_context io_{1};
    net::executor_work_guard<net::io_context::executor_type> work_ = net::make_work_guard(io_);
    CallerGuards guards_;
    Milliseconds delay_{5};
    std::size_t answerBytes_ = 0;
    std::shared_ptr<CallerListener> listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> calls_{0};
    std::atomic<int> gone_{0};
    std::atomic<int> refused_{0};
    std::thread thread_;
};

// Guards against callers that stop short of the end of their bodies and keep others out.
TEST_F(CallerGuardsTest, AStalledBodyGivesWayToOneThatComes)
{
    start();
    RawClient stalled(port_);
    stalled.send(postHead("/stalled", 80000) + std::string(79999, 'x'));
    std::this_thread::sleep_for(50ms);
    RawClient whole(port_);
    whole.send(postHead("/whole", 80000) + std::string(80000, 'x'));
    EXPECT_TRUE(has(whole.readUntil("]"), "[/whole]"));
    const std::string refusal = stalled.readUntil("\r\n\r\n");
    EXPECT_TRUE(has(refusal, " 503 ")) << refusal;
    EXPECT_TRUE(has(refusal, "Retry-After: ")) << refusal;
    EXPECT_TRUE(has(refusal, "Connection: close")) << refusal;
    EXPECT_TRUE(stalled.waitForClose());
    EXPECT_EQ(calls_, 1);
    EXPECT_EQ(refused_, 1);
}

// Guards against a machine on which a body inside the limits is never served, and against bytes
// that stay charged.
TEST_F(CallerGuardsTest, OneLargeBodyIsServedInCalm)
{
    start();
    for (int i = 0; i < 3; ++i) {
        RawClient client(port_);
        client.send(postHead("/large", 1000000) + std::string(1000000, 'x'));
        EXPECT_TRUE(has(client.readUntil("]"), "[/large]"));
    }
    for (int i = 0; i < 200 && used(MemoryPart::Requests) > 0; ++i)
        std::this_thread::sleep_for(5ms);
    for (const auto part : {MemoryPart::Requests, MemoryPart::Bodies, MemoryPart::Answers})
        EXPECT_EQ(used(part), 0U);
}

// Guards against requests that are lost for room although they are worked on.
TEST_F(CallerGuardsTest, AHandledRequestIsAnsweredWhateverElseComes)
{
    delay_ = 300ms;
    start();
    RawClient first(port_);
    first.send(postHead("/first", 90000) + std::string(90000, 'x'));
    while (calls_ == 0)
        std::this_thread::sleep_for(1ms);
    RawClient second(port_);
    second.send(postHead("/second", 90000) + std::string(90000, 'x'));
    EXPECT_TRUE(has(second.readUntil("\r\n\r\n"), " 503 "));
    EXPECT_TRUE(has(first.readUntil("]"), "[/first]"));
    EXPECT_EQ(gone_, 0);
}

// Guards against answers that fill the memory because their callers do not take them.
TEST_F(CallerGuardsTest, AnswersThatNobodyTakesGiveWay)
{
    answerBytes_ = 8000000; // more than the sockets buffer
    start();
    RawClient idler(port_);
    idler.send(get("/idler") + get("/idler") + get("/idler"));
    while (calls_ < 3)
        std::this_thread::sleep_for(1ms);
    RawClient reader(port_);
    reader.send(get("/reader"));
    EXPECT_TRUE(has(reader.readUntil("]"), "[/reader]"));
}

// Guards against bodies that are held for requests that no handler will see, and against a refusal
// that overtakes an earlier answer.
TEST_F(CallerGuardsTest, AHeadIsRefusedBeforeItsBody)
{
    guards_.checkHead = [](const HttpRequestMessage &head) {
        HeadVerdict verdict;
        if (head.target() == "/unknown")
            verdict.refusal.emplace(http::status::not_found, 11);
        return verdict;
    };
    delay_ = 100ms;
    start();
    RawClient client(port_);
    client.send(get("/1") + postHead("/unknown", 100000) + "x");
    EXPECT_TRUE(has(client.readUntil("]"), "[/1]"));
    const std::string refusal = client.readUntil("\r\n\r\n");
    EXPECT_TRUE(has(refusal, " 404 ")) << refusal;
    EXPECT_TRUE(has(refusal, "Connection: close")) << refusal;
    EXPECT_EQ(calls_, 1);
}

// Guards against a crowd of idle connections that keeps new callers out.
TEST_F(CallerGuardsTest, AnIdleConnectionGivesItsPlaceToANewOne)
{
    guards_.maxConnections = 3;
    start();
    std::vector<std::unique_ptr<RawClient>> idle;
    for (int i = 0; i < 8; ++i) {
        idle.push_back(std::make_unique<RawClient>(port_));
        idle.back()->send(get("/" + std::to_string(i)));
        EXPECT_TRUE(has(idle.back()->readUntil("]"), "[/" + std::to_string(i) + "]"));
    }
    EXPECT_TRUE(idle.front()->waitForClose());
    idle.back()->send(get("/again"));
    EXPECT_TRUE(has(idle.back()->readUntil("]"), "[/again]"));
}

// Guards against a new connection that costs a caller the answer that it waits for.
TEST_F(CallerGuardsTest, AConnectionWithAHandledRequestKeepsItsPlace)
{
    guards_.maxConnections = 2;
    delay_ = 300ms;
    start();
    RawClient first(port_);
    first.send(get("/first"));
    RawClient half(port_);
    half.send("GET /half HTTP/1.1\r\nHo");
    while (calls_ == 0)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(20ms);
    RawClient third(port_);
    third.send(get("/third"));
    EXPECT_TRUE(has(half.readUntil("\r\n\r\n"), " 503 "));
    while (calls_ < 2)
        std::this_thread::sleep_for(1ms);
    RawClient fourth(port_);
    EXPECT_TRUE(fourth.waitForClose()); // unread, so that its caller may go elsewhere
    EXPECT_TRUE(has(first.readUntil("]"), "[/first]"));
    EXPECT_TRUE(has(third.readUntil("]"), "[/third]"));
    EXPECT_EQ(gone_, 0);
}

} // namespace
} // namespace chestnutvane
