// Answers without end: how much of them an HttpClient reads and holds.

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "chestnutvane/connection/http_client.h"
#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using HttpResult = Result<HttpResponse, HttpError>;

std::unique_ptr<HttpClient> makeClient()
{
    return value(HttpClient::create({}));
}

std::future<HttpResult> send(HttpClient &client, HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto future = promise->get_future();
    client.send(std::move(request),
                [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return future;
}

// Sends a head and then the same piece until the client closes or 64 MiB are sent. Returns the
// number of bytes sent.
std::size_t sendWithoutEnd(RawClient &connection, const std::string &head, const std::string &piece)
{
    constexpr std::size_t longest = 64U << 20U;
    constexpr std::chrono::milliseconds closeCheck{2};
    connection.readUntil("\r\n\r\n");
    connection.send(head);
    std::size_t sent = head.size();
    while (sent < longest && !connection.waitForClose(closeCheck)) {
        connection.send(piece);
        sent += piece.size();
    }
    return sent;
}

// Guards against an exchange that reads a head without end until its time is over.
TEST(HttpClientBoundsTest, AHeadWithoutEndEndsTheExchange)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string field = "X-A: " + std::string(1000, 'a') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
            {start, field},
            {start + "X-A: ", field.substr(0, 1000)}, // one field without a line end
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", field}, // trailer fields
    };
    const auto client = makeClient();
    for (const auto &[head, further] : cases) {
        const RawServer server([&head = head, &further = further](RawClient &connection, int) {
            sendWithoutEnd(connection, head, further);
        });
        const HttpResult result = send(*client, {.url = "http://" + server.address() + "/x"}).get();
        ASSERT_FALSE(isOk(result)) << head;
        EXPECT_NE(error(result).failure, HttpFailure::Timeout) << head;
    }
}

// Guards against an answer whose head was cut and that is taken for a whole one, at each byte:
// libcurl reports success for a head that ends before its length.
TEST(HttpClientBoundsTest, AHeadThatIsCutAnywhereIsNoAnswer)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n";
    std::atomic<std::size_t> length{0};
    const RawServer server([&](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(answer.substr(0, length));
    });
    const auto client = makeClient();
    for (length = 0; length < answer.size(); ++length) {
        const HttpResult result =
                send(*client, {.url = "http://" + server.address() + "/x", .freshConnection = true})
                        .get();
        ASSERT_FALSE(isOk(result)) << length;
        EXPECT_TRUE(error(result).mayHaveBeenSent) << length;
    }
    const HttpResult whole =
            send(*client, {.url = "http://" + server.address() + "/x", .freshConnection = true})
                    .get();
    EXPECT_TRUE(isOk(whole));
}

// Guards against a process that ends for want of memory because several servers send bodies without
// end. 16 bodies of the longest allowed size take 256 MiB.
TEST(HttpClientBoundsTest, BodiesWithoutEndShareABoundOnMemory)
{
    constexpr int exchanges = 16;
    std::atomic<std::size_t> sent{0};
    const RawServer server([&sent](RawClient &connection, int) {
        sent += sendWithoutEnd(connection, "HTTP/1.1 200 OK\r\n\r\n", std::string(64U << 10U, 'b'));
    });
    {
        const auto client = makeClient();
        std::vector<std::future<HttpResult>> results;
        results.reserve(exchanges);
        for (int i = 0; i < exchanges; ++i)
            results.push_back(send(*client,
                                   {.url = "http://" + server.address() + "/x",
                                    .timeout = std::chrono::seconds(20)}));
        for (auto &result : results) {
            const HttpResult ended = result.get();
            ASSERT_FALSE(isOk(ended));
            EXPECT_EQ(error(ended).failure, HttpFailure::ResponseTooLarge);
            EXPECT_TRUE(error(ended).mayHaveBeenSent);
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // the servers notice the closes
    constexpr std::size_t socketBuffers = 6U << 20U; // of one connection, both ends
    constexpr std::size_t memoryBound = 64U << 20U; // half of an instance's 128 MB
    EXPECT_LE(sent, memoryBound + exchanges * socketBuffers);
}

// Sends a head that announces a body, and so many bytes of it, one after each pause.
void sendSlowly(RawClient &connection, int announced, int sent, std::chrono::milliseconds pause)
{
    connection.readUntil("\r\n\r\n");
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n");
    for (int i = 0; i < sent; ++i) {
        std::this_thread::sleep_for(pause);
        connection.send("x");
    }
    if (sent < announced)
        connection.waitForClose(std::chrono::seconds(10));
}

// Guards against a body that a slow link carries in time, and that is given up all the same.
TEST(HttpClientBoundsTest, ABodyMayTakeLongerThanTheTimeWithoutProgress)
{
    const RawServer server([](RawClient &connection, int) {
        sendSlowly(connection, 20, 20, std::chrono::milliseconds(50));
    });
    const auto client = makeClient();
    const HttpResult result = send(*client,
                                   {.url = "http://" + server.address() + "/x",
                                    .progressTimeout = std::chrono::milliseconds(400)})
                                      .get();
    ASSERT_TRUE(isOk(result)) << error(result).detail;
    EXPECT_EQ(value(result).body.size(), 20U);
}

// Guards against an exchange with a server that falls silent, which lasts until its whole time is
// over.
TEST(HttpClientBoundsTest, AnExchangeWithoutProgressEndsEarly)
{
    const auto client = makeClient();
    for (const int sent : {-1, 0, 3}) { // -1: not even a head
        const RawServer server([sent](RawClient &connection, int) {
            if (sent < 0)
                connection.waitForClose(std::chrono::seconds(10));
            else
                sendSlowly(connection, 20, sent, std::chrono::milliseconds(20));
        });
        const auto start = Clock::now();
        const HttpResult result = send(*client,
                                       {.url = "http://" + server.address() + "/x",
                                        .timeout = std::chrono::seconds(8),
                                        .progressTimeout = std::chrono::milliseconds(300)})
                                          .get();
        ASSERT_FALSE(isOk(result)) << sent;
        EXPECT_EQ(error(result).failure, HttpFailure::Timeout) << sent;
        EXPECT_LT(Clock::now() - start, std::chrono::seconds(4)) << sent;
    }
}

// Guards against a request body that a slow receiver takes in time, and that is given up.
TEST(HttpClientBoundsTest, BytesOfTheRequestAreProgress)
{
    constexpr std::size_t bodyBytes = 8U << 20U; // more than the buffers of both ends hold
    const RawServer server([](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        for (std::size_t read = 0; read < bodyBytes;) {
            constexpr std::size_t pieceBytes = 65536;
            const std::string bytes = connection.read(std::min(pieceBytes, bodyBytes - read));
            if (bytes.empty())
                return;
            read += bytes.size();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    const auto client = makeClient();
    const HttpResult result = send(*client,
                                   {.method = "POST",
                                    .url = "http://" + server.address() + "/x",
                                    .body = std::make_shared<const std::string>(bodyBytes, 'b'),
                                    .timeout = std::chrono::seconds(30),
                                    .progressTimeout = std::chrono::milliseconds(600)})
                                      .get();
    ASSERT_TRUE(isOk(result)) << error(result).detail;
}

// Guards against reading a body for seconds whose announced length already exceeds the limit.
TEST(HttpClientBoundsTest, AnAnnouncedBodyAboveTheLimitIsNotRead)
{
    const RawServer server([](RawClient &connection, int) {
        sendSlowly(connection, 1001, 0, std::chrono::milliseconds(0));
    });
    const auto client = makeClient();
    const HttpResult result =
            send(*client, {.url = "http://" + server.address() + "/x", .maxResponseBytes = 1000})
                    .get();
    ASSERT_FALSE(isOk(result));
    EXPECT_EQ(error(result).failure, HttpFailure::ResponseTooLarge);
}

} // namespace
} // namespace chestnutvane
