#include "chestnutvane/connection/http_client.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <atomic>
#include <future>
#include <thread>

#include "chestnutvane/connection/http_server.h"

namespace chestnutvane {
namespace {

using HttpResult = Result<HttpResponse, HttpError>;

HttpResult exchange(HttpClient &client, HttpRequest request)
{
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    client.send(std::move(request),
                [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    return future.get();
}

std::unique_ptr<HttpClient> makeClient()
{
    return value(HttpClient::create({}));
}

// A target on a plain socket: it answers the first request of each connection and does with the
// second one what the test asks for.
class ScriptedTarget
{
public:
    enum class SecondRequest { CloseWithoutAnswer, StaySilent };

    explicit ScriptedTarget(SecondRequest second) : second_(second)
    {
        thread_ = std::thread([this] { run(); });
    }

    ~ScriptedTarget()
    {
        stopping_ = true;
        asio::io_context context;
        asio::ip::tcp::socket wake(context);
        asio::error_code ignored;
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/x";
    }

    int requests() const { return requests_; }

private:
    void run()
    {
        while (!stopping_) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
            acceptor_.accept(*socket);
            sockets_.push_back(socket);
            workers_.emplace_back([this, socket] { serve(*socket); });
        }
        for (const auto &socket : sockets_) {
            asio::error_code ignored;
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
        for (auto &worker : workers_)
            worker.join();
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        if (!readRequest(socket))
            return;
        asio::write(socket,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                             "Content-Length: 2\r\n\r\nok")));
        if (readRequest(socket) && second_ == SecondRequest::CloseWithoutAnswer) {
            asio::error_code ignored;
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
    }

    bool readRequest(asio::ip::tcp::socket &socket)
    {
        asio::error_code failure;
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", failure);
        if (!failure)
            ++requests_;
        return !failure;
    }

    SecondRequest second_;
    std::atomic<int> requests_{0};
    std::atomic<bool> stopping_{false};
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
    std::vector<std::thread> workers_;
    std::thread thread_;
};

// Guards against a doubled one-time request: libcurl sends a request again by itself when a reused
// connection closes before the first byte of the answer. The count without freshConnection shows
// that the target provokes it.
TEST(HttpClientTest, FreshConnectionNeverSendsTwice)
{
    for (const bool fresh : {false, true}) {
        ScriptedTarget target(ScriptedTarget::SecondRequest::CloseWithoutAnswer);
        const auto client = makeClient();
        EXPECT_TRUE(isOk(exchange(*client, {.url = target.url()})));
        const int before = target.requests();
        const auto result = exchange(
                *client, {.method = "POST", .url = target.url(), .freshConnection = fresh});
        EXPECT_TRUE(isOk(result));
        EXPECT_EQ(target.requests() - before, fresh ? 1 : 2);
    }
}

// Guards against connections of at-most-once requests that stay open and add up to more than a
// target accepts.
TEST(HttpClientTest, FreshConnectionIsClosedAfterItsExchange)
{
    ScriptedTarget target(ScriptedTarget::SecondRequest::StaySilent);
    const auto client = makeClient();
    EXPECT_TRUE(isOk(exchange(*client, {.url = target.url(), .freshConnection = true})));
    const auto next = exchange(*client, {.url = target.url(), .timeout = Milliseconds{300}});
    ASSERT_TRUE(isOk(next));
    EXPECT_FALSE(value(next).reusedConnection);
}

// Guards against a silent path that goes unnoticed, and against cutting the exchange for it.
TEST(HttpClientTest, SilenceOnReusedConnectionIsReportedOnceAndEndsNothing)
{
    ScriptedTarget target(ScriptedTarget::SecondRequest::StaySilent);
    const auto client = makeClient();
    EXPECT_TRUE(isOk(exchange(*client, {.url = target.url()})));
    std::atomic<int> reports{0};
    const auto result = exchange(*client,
                                 {.url = target.url(),
                                  .timeout = Milliseconds{400},
                                  .silenceLimit = Milliseconds{50},
                                  .onSilence = [&reports] { ++reports; }});
    ASSERT_FALSE(isOk(result));
    EXPECT_EQ(error(result).failure, HttpFailure::Timeout);
    EXPECT_TRUE(error(result).reusedConnection);
    EXPECT_EQ(reports, 1);
}

// Guards against "not-run" for a request whose bytes left, and "unknown" for one that never did.
TEST(HttpClientTest, TellsWhetherBytesMayHaveBeenSent)
{
    const auto client = makeClient();
    const auto refused = exchange(*client, {.url = "http://127.0.0.1:1/"});
    ASSERT_FALSE(isOk(refused));
    EXPECT_EQ(error(refused).failure, HttpFailure::ConnectFailed);
    EXPECT_FALSE(error(refused).mayHaveBeenSent);
}

struct Echo
{
    std::unique_ptr<HttpServer> server;
    std::string url;
};

Echo startEcho(std::size_t maxBody)
{
    auto server = HttpServer::create({.address = "127.0.0.1", .port = 0, .maxBodyBytes = maxBody},
                                     [](ServerRequest request, const Responder &respond) {
                                         respond({.status = 200,
                                                  .headers = {{"Echo", request.query}},
                                                  .body = request.body,
                                                  .abort = request.path == "/cut"});
                                     });
    auto started = value(std::move(server));
    const auto port = std::to_string(started->port());
    return {std::move(started), "http://127.0.0.1:" + port};
}

// Guards against answers that reach the sender of another request.
TEST(HttpClientTest, ConcurrentExchangesGetTheirOwnAnswers)
{
    const auto echo = startEcho(1U << 20U);
    const auto client = makeClient();
    constexpr int count = 200;
    std::vector<std::promise<HttpResult>> promises(count);
    for (int i = 0; i < count; ++i) {
        HttpRequest request{.method = "POST",
                            .url = echo.url + "/e?" + std::to_string(i),
                            .body = std::make_shared<std::string>(std::to_string(i * 7))};
        client->send(std::move(request), [&promises, i](HttpResult result) {
            promises[static_cast<std::size_t>(i)].set_value(std::move(result));
        });
    }
    for (int i = 0; i < count; ++i) {
        const auto result = promises[static_cast<std::size_t>(i)].get_future().get();
        ASSERT_TRUE(isOk(result)) << error(result).detail;
        EXPECT_EQ(value(result).body, std::to_string(i * 7));
        EXPECT_EQ(*findHeader(value(result).headers, "echo"), std::to_string(i));
    }
}

// Guards against a cut answer that passes for a complete, shorter one, and against a large body
// that is taken in.
TEST(HttpClientTest, CutAnswersAndLargeBodiesAreErrors)
{
    const auto echo = startEcho(1000);
    const auto client = makeClient();
    const auto cut = exchange(*client, {.url = echo.url + "/cut"});
    ASSERT_FALSE(isOk(cut));
    EXPECT_EQ(error(cut).failure, HttpFailure::ConnectionLost);
    EXPECT_TRUE(error(cut).mayHaveBeenSent);
    const auto large = exchange(*client,
                                {.method = "POST",
                                 .url = echo.url + "/e",
                                 .body = std::make_shared<std::string>(1500, 'b')});
    ASSERT_TRUE(isOk(large));
    EXPECT_EQ(value(large).status, 413);
    EXPECT_EQ(*findHeader(value(large).headers, "Vane-Outcome"), "not-run");
}

// Guards against a caller that waits for a cancelled exchange, or gets two callbacks for it.
TEST(HttpClientTest, CancelAndDestructionCallBackOnce)
{
    ScriptedTarget target(ScriptedTarget::SecondRequest::StaySilent);
    std::atomic<int> callbacks{0};
    {
        const auto client = makeClient();
        EXPECT_TRUE(isOk(exchange(*client, {.url = target.url()})));
        const auto id = client->send({.url = target.url()}, [&](const HttpResult &result) {
            EXPECT_FALSE(isOk(result));
            ++callbacks;
        });
        client->cancel(id);
        client->cancel(id);
        client->send({.url = target.url()}, [&](const HttpResult &) { ++callbacks; });
    }
    EXPECT_EQ(callbacks, 2);
}

} // namespace
} // namespace chestnutvane
