#include "chestnutvane/connection/target_exchange.h"

#include <gtest/gtest.h>

#include <atomic>

#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

constexpr const char *wholeAnswer = "HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                                    "Target-Load: 2,0,3\r\nContent-Length: 4\r\n\r\nbody";

class TargetExchangeTest : public ::testing::Test
{
protected:
    // Sends one request with the id r1 and returns how it ended.
    ExchangeResult exchange(const RawServer &server, const std::string &body = {},
                            Duration limit = 2s)
    {
        ExchangeRequest request;
        request.address = server.address();
        request.message = std::make_shared<HttpRequestMessage>(
                body.empty() ? http::verb::get : http::verb::post, "/x", 11);
        request.message->set(http::field::host, "a.example");
        request.message->body() = body;
        request.message->prepare_payload();
        request.requestId = "r1";
        request.connectLimit = 500ms;
        request.limit = Clock::now() + limit;
        request.maxIdle = 2s;
        std::optional<ExchangeResult> result;
        const auto running = TargetExchange::start(
                io_, pool_, std::move(request),
                [&result](ExchangeResult ended) { result = std::move(ended); });
        io_.restart();
        while (!result)
            io_.run_one();
        return std::move(*result);
    }

    ExchangeFailure failureOf(const std::string &bytes, bool reset = false)
    {
        const RawServer server([&bytes, reset](RawClient &connection, int) {
            connection.readUntil("\r\n\r\n");
            connection.send(bytes);
            if (reset) {
                std::this_thread::sleep_for(30ms);
                connection.reset();
            }
        });
        const ExchangeResult result = exchange(server);
        const auto *failed = std::get_if<ExchangeError>(&result.outcome);
        if (failed == nullptr) {
            ADD_FAILURE() << "an answer was taken";
            return ExchangeFailure::Cancelled;
        }
        EXPECT_TRUE(failed->mayHaveRun);
        return failed->failure;
    }

    net::io_context io_{1};
    TargetPool pool_;
};

// Guards against an answer that loses its parts, and a connection that is not used again.
TEST_F(TargetExchangeTest, AWholeAnswerIsTakenAndItsConnectionReused)
{
    const RawServer server([](RawClient &connection, int) {
        for (int i = 0; i < 2; ++i) {
            connection.readUntil("\r\n\r\n");
            connection.send(wholeAnswer);
        }
        connection.waitForClose(1s);
    });
    const ExchangeResult first = exchange(server);
    const auto &answer = std::get<TargetAnswer>(first.outcome);
    EXPECT_EQ(answer.message.body(), "body");
    EXPECT_FALSE(answer.notRun);
    ASSERT_TRUE(answer.load);
    EXPECT_EQ(answer.load->running, 2);
    EXPECT_FALSE(first.reused);
    EXPECT_TRUE(exchange(server).reused);
    EXPECT_EQ(server.connections(), 1);
    pool_.drop(server.address());
}

// Guards against a speed that is read from a target that does not state one, and against a load
// that is lost because the speed cannot be read.
TEST_F(TargetExchangeTest, ATargetMayStateItsSpeed)
{
    const auto loadOf = [this](const std::string &text) {
        const RawServer server([&text](RawClient &connection, int) {
            connection.readUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                            "Connection: close\r\nTarget-Load: "
                            + text + "\r\nContent-Length: 4\r\n\r\nbody");
            connection.waitForClose(1s);
        });
        return std::get<TargetAnswer>(exchange(server).outcome).load;
    };
    ASSERT_TRUE(loadOf("2,0,3"));
    EXPECT_FALSE(loadOf("2,0,3")->runTimePercent);
    EXPECT_EQ(loadOf("2,1,3,250")->runTimePercent, 250);
    EXPECT_EQ(loadOf("2,1,3,250")->waiting, 1);
    ASSERT_TRUE(loadOf("2,1,3,fast"));
    EXPECT_FALSE(loadOf("2,1,3,fast")->runTimePercent);
    EXPECT_FALSE(loadOf("2,1"));
}

// Guards against a cut answer that is passed on as a whole one.
TEST_F(TargetExchangeTest, CutAnswersAreNoAnswers)
{
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                        "Content-Length: 9\r\n\r\nbody"),
              ExchangeFailure::ConnectionLost);
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"),
              ExchangeFailure::ConnectionLost);
    EXPECT_EQ(failureOf(""), ExchangeFailure::ConnectionLost);
}

// Guards against an answer without a length that was reset on its way and looks complete.
TEST_F(TargetExchangeTest, AnUnframedAnswerEndsWithACloseAndNotWithAReset)
{
    const std::string unframed =
            "HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n\r\nbody";
    EXPECT_EQ(failureOf(unframed, true), ExchangeFailure::ConnectionLost);
    const RawServer server([&unframed](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(unframed);
    });
    const ExchangeResult result = exchange(server);
    EXPECT_EQ(std::get<TargetAnswer>(result.outcome).message.body(), "body");
}

// Guards against bytes of a faulty target that reach a caller as its answer.
TEST_F(TargetExchangeTest, BytesThatAreNoAnswerToTheRequestAreGarbled)
{
    EXPECT_EQ(failureOf("this is not HTTP\r\n\r\n"), ExchangeFailure::Garbled);
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"),
              ExchangeFailure::Garbled); // without a seal
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Length: 0\r\n\r\n"),
              ExchangeFailure::Garbled); // without an id
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                        "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody"),
              ExchangeFailure::Garbled);
}

// Guards against a second answer of an earlier request that is taken for the one to this request.
TEST_F(TargetExchangeTest, AnExtraAnswerOfAnotherRequestIsDropped)
{
    const RawServer server([](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nVane-Request-Id: r0\r\nAnswer-Seal: s\r\n"
                        "Content-Length: 5\r\n\r\nother");
        connection.send(wholeAnswer);
        connection.waitForClose(1s);
    });
    const ExchangeResult result = exchange(server);
    EXPECT_EQ(std::get<TargetAnswer>(result.outcome).message.body(), "body");
    pool_.drop(server.address());
}

// Guards against bytes behind an answer that would stand before the next one.
TEST_F(TargetExchangeTest, AConnectionWithExtraBytesIsNotReused)
{
    const RawServer server([](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(std::string(wholeAnswer) + "extra");
        connection.waitForClose(1s);
    });
    EXPECT_TRUE(std::holds_alternative<TargetAnswer>(exchange(server).outcome));
    EXPECT_FALSE(exchange(server).reused);
}

// Guards against extra bytes that come only while the connection is idle.
TEST_F(TargetExchangeTest, AnIdleConnectionOnWhichBytesArriveIsNotReused)
{
    const RawServer server([](RawClient &connection, int number) {
        connection.readUntil("\r\n\r\n");
        connection.send(wholeAnswer);
        if (number == 0) {
            std::this_thread::sleep_for(20ms);
            connection.send("late extra");
        }
        connection.waitForClose(1s);
    });
    EXPECT_TRUE(std::holds_alternative<TargetAnswer>(exchange(server).outcome));
    std::this_thread::sleep_for(100ms);
    EXPECT_FALSE(exchange(server).reused);
}

// Guards against a part of an answer that is taken for the whole one because the write of the
// request, and not the read, was told of the reset.
TEST_F(TargetExchangeTest, AnUnframedAnswerThatIsResetDuringTheWriteIsCut)
{
    const std::string body(6U << 20U, 'x'); // above what the sockets' buffers hold
    const std::string head = "HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n\r\n";
    for (const std::string &part : {std::string(), std::string("body")}) {
        for (int i = 0; i < 10; ++i) {
            const RawServer server([&head, &part](RawClient &connection, int) {
                connection.readUntil("\r\n\r\n");
                connection.send(head + part);
                connection.reset();
            });
            const ExchangeResult result = exchange(server, body);
            const auto *failed = std::get_if<ExchangeError>(&result.outcome);
            ASSERT_NE(failed, nullptr) << "a part was taken";
            EXPECT_EQ(failed->failure, ExchangeFailure::ConnectionLost);
            EXPECT_TRUE(failed->mayHaveRun);
        }
    }
    const RawServer server([&head, &body](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(head + "body");
        connection.closeSending();
        connection.read(body.size());
        connection.waitForClose();
    });
    const ExchangeResult result = exchange(server, body);
    ASSERT_TRUE(std::holds_alternative<TargetAnswer>(result.outcome));
    EXPECT_EQ(std::get<TargetAnswer>(result.outcome).message.body(), "body");
}

// Guards against answers that callers get with a status that is none.
TEST_F(TargetExchangeTest, AnAnswerWithoutAFinalStatusIsGarbled)
{
    for (const char *status : {"000", "099", "101", "600", "999"}) {
        EXPECT_EQ(failureOf("HTTP/1.1 " + std::string(status)
                            + " Odd\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                              "Content-Length: 4\r\n\r\nbody"),
                  ExchangeFailure::Garbled)
                << status;
    }
    EXPECT_EQ(failureOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"),
              ExchangeFailure::ConnectionLost);
}

// Guards against the rest of a long body that a target would take for the next request.
TEST_F(TargetExchangeTest, AConnectionAnsweredBeforeTheBodyWasWrittenIsNotReused)
{
    const RawServer server([](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(wholeAnswer);
        std::this_thread::sleep_for(100ms);
        connection.waitForClose(1s);
    });
    const std::string body(16U << 20U, 'x'); // above what the sockets' buffers hold
    const ExchangeResult result = exchange(server, body);
    EXPECT_TRUE(std::holds_alternative<TargetAnswer>(result.outcome));
    EXPECT_FALSE(pool_.take(server.address(), "r1", Clock::now()).has_value());
}

// Sends the head and then the piece again and again until the peer closes. Returns the bytes sent.
std::size_t sendWithoutEnd(RawClient &connection, const std::string &head, const std::string &piece)
{
    connection.readUntil("\r\n\r\n");
    connection.send(head);
    std::size_t sent = head.size();
    constexpr std::size_t longest = 64U << 20U; // ends the test if nobody closes
    while (sent < longest && !connection.waitForClose(2ms)) {
        connection.send(piece);
        sent += piece.size();
    }
    return sent;
}

// Guards against an attempt that reads bytes without end in a head until its time is over.
TEST_F(TargetExchangeTest, AHeadWithoutEndEndsTheAttempt)
{
    const std::string piece(1000, 'a');
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string chunked =
            start + "Vane-Request-Id: r1\r\nAnswer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
            {"", piece}, // no line end
            {start, "X-A: " + piece + "\r\n"}, // header fields
            {start + "X-A: ", piece}, // one field
            {"", "HTTP/1.1 100 Continue\r\n\r\n"}, // informational answers
            {chunked + "4;x=", piece}, // a chunk extension
            {chunked + "0\r\n", "X-A: " + piece + "\r\n"}, // trailer fields
    };
    for (const auto &[head, further] : cases) {
        const RawServer server([&head = head, &further = further](RawClient &connection, int) {
            sendWithoutEnd(connection, head, further);
        });
        const ExchangeResult result = exchange(server, {}, 3s);
        const auto *failed = std::get_if<ExchangeError>(&result.outcome);
        ASSERT_NE(failed, nullptr) << head;
        EXPECT_EQ(failed->failure, ExchangeFailure::Garbled) << head;
    }
}

// Guards against a process that ends for want of memory because several targets send bodies without
// end. 16 bodies of the longest allowed size would take 256 MiB.
TEST_F(TargetExchangeTest, BodiesWithoutEndShareABoundOnMemory)
{
    constexpr int attempts = 16;
    std::atomic<std::size_t> sent{0};
    const RawServer server([&sent](RawClient &connection, int) {
        sent += sendWithoutEnd(connection,
                               "HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n\r\n",
                               std::string(64U << 10U, 'b'));
    });
    int garbled = 0;
    std::vector<std::shared_ptr<TargetExchange>> running;
    for (int i = 0; i < attempts; ++i) {
        ExchangeRequest request;
        request.address = server.address();
        request.message = std::make_shared<HttpRequestMessage>(http::verb::get, "/x", 11);
        request.requestId = "r1";
        request.connectLimit = 2s;
        request.limit = Clock::now() + 20s;
        running.push_back(TargetExchange::start(
                io_, pool_, std::move(request), [&garbled](const ExchangeResult &result) {
                    const auto *failed = std::get_if<ExchangeError>(&result.outcome);
                    garbled += failed != nullptr && failed->failure == ExchangeFailure::Garbled;
                }));
    }
    while (garbled < attempts && io_.run_one() > 0) { }
    EXPECT_EQ(garbled, attempts);
    for (int i = 0; i < 100 && server.connections() < attempts; ++i)
        std::this_thread::sleep_for(10ms);
    std::this_thread::sleep_for(200ms); // the targets notice the closes
    constexpr std::size_t socketBuffers = 6U << 20U; // of one connection, both ends
    EXPECT_LE(sent, 2 * maxBufferedAnswers + attempts * socketBuffers);
    EXPECT_LE(2 * maxBufferedAnswers, 48U << 20U); // a third of the smallest instance's memory
}

// Guards against an answer whose head was cut and that is taken for a whole one, at each byte.
TEST_F(TargetExchangeTest, AHeadThatIsCutAnywhereIsNoAnswer)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                               "Content-Length: 4\r\n\r\nbody";
    std::atomic<std::size_t> length{0};
    const RawServer server([&](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(answer.substr(0, length));
    });
    for (length = 0; length < answer.size(); ++length) {
        const ExchangeResult result = exchange(server);
        const auto *failed = std::get_if<ExchangeError>(&result.outcome);
        ASSERT_NE(failed, nullptr) << length;
        EXPECT_EQ(failed->failure, ExchangeFailure::ConnectionLost) << length;
        EXPECT_TRUE(failed->mayHaveRun);
    }
}

constexpr const char *refusal = "HTTP/1.1 503 Busy\r\nVane-Request-Id: r1\r\nVane-Not-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n";

// Guards against a repeated refusal that is taken for the answer to the next attempt of the same
// request, which then runs twice: both have the request's id.
TEST_F(TargetExchangeTest, ARefusedRequestIsNotSentOnTheSameConnectionAgain)
{
    const RawServer server([](RawClient &connection, int number) {
        connection.readUntil("\r\n\r\n");
        connection.send(number == 0 ? refusal : wholeAnswer);
        if (!connection.readUntil("\r\n\r\n", 300ms).empty())
            connection.send(refusal); // the earlier one, while the request runs
        connection.waitForClose(1s);
    });
    EXPECT_TRUE(std::get<TargetAnswer>(exchange(server).outcome).notRun);
    const ExchangeResult second = exchange(server);
    EXPECT_FALSE(second.reused);
    EXPECT_FALSE(std::get<TargetAnswer>(second.outcome).notRun);
    pool_.drop(server.address());
}

// Guards against an earlier refusal without an id that is taken for the answer to a later request.
TEST_F(TargetExchangeTest, ARefusalWithoutAnIdDoesNotCountOnAKeptConnection)
{
    for (const char *status : {"503 Busy", "421 Misdirected"}) {
        const RawServer server([&](RawClient &connection, int) {
            connection.readUntil("\r\n\r\n");
            connection.send(wholeAnswer);
            connection.readUntil("\r\n\r\n");
            connection.send("HTTP/1.1 " + std::string(status)
                            + "\r\nVane-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            connection.waitForClose(1s);
        });
        EXPECT_TRUE(std::holds_alternative<TargetAnswer>(exchange(server).outcome));
        const ExchangeResult second = exchange(server);
        EXPECT_TRUE(second.reused);
        const auto *failed = std::get_if<ExchangeError>(&second.outcome);
        ASSERT_NE(failed, nullptr) << status;
        EXPECT_TRUE(failed->mayHaveRun);
        pool_.drop(server.address());
    }
}

// Guards against a target's word "not run" that is taken for a failure or an answer.
TEST_F(TargetExchangeTest, RefusalsOfTheTargetAreToldApart)
{
    const RawServer server([](RawClient &connection, int number) {
        connection.readUntil("\r\n\r\n");
        connection.send(number == 0 ? "HTTP/1.1 503 Busy\r\nVane-Not-Run: 1\r\n"
                                      "Content-Length: 0\r\nConnection: close\r\n\r\n"
                                    : "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                                      "Connection: close\r\n\r\n");
    });
    const ExchangeResult busy = exchange(server);
    EXPECT_TRUE(std::get<TargetAnswer>(busy.outcome).notRun);
    EXPECT_FALSE(std::get<TargetAnswer>(busy.outcome).otherTarget);
    const ExchangeResult other = exchange(server);
    EXPECT_TRUE(std::get<TargetAnswer>(other.outcome).notRun);
    EXPECT_TRUE(std::get<TargetAnswer>(other.outcome).otherTarget);
}

// Guards against "may have run" for a request that no target can have seen.
TEST_F(TargetExchangeTest, ARefusedConnectionSurelyDidNotRunTheRequest)
{
    std::optional<RawServer> server;
    server.emplace([](RawClient &, int) {});
    const std::string address = server->address();
    ExchangeRequest request;
    request.address = address;
    server.reset();
    request.message = std::make_shared<HttpRequestMessage>(http::verb::get, "/", 11);
    request.connectLimit = 500ms;
    request.limit = Clock::now() + 1s;
    std::optional<ExchangeResult> result;
    const auto running =
            TargetExchange::start(io_, pool_, std::move(request),
                                  [&result](ExchangeResult ended) { result = std::move(ended); });
    while (!result)
        io_.run_one();
    const auto &failed = std::get<ExchangeError>(result->outcome);
    EXPECT_EQ(failed.failure, ExchangeFailure::ConnectFailed);
    EXPECT_FALSE(failed.mayHaveRun);
}

// Guards against an attempt that outlasts its limit.
TEST_F(TargetExchangeTest, ASilentTargetTimesOut)
{
    const RawServer server([](RawClient &connection, int) { connection.waitForClose(3s); });
    const ExchangeResult result = exchange(server, {}, 100ms);
    EXPECT_EQ(std::get<ExchangeError>(result.outcome).failure, ExchangeFailure::TimedOut);
    EXPECT_TRUE(std::get<ExchangeError>(result.outcome).mayHaveRun);
}

} // namespace
} // namespace chestnutvane
