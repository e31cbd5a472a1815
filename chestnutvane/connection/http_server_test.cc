#include "chestnutvane/connection/http_server.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <atomic>
#include <thread>

namespace chestnutvane {
namespace {

// Sends bytes on a new connection and returns all that comes back until the server closes.
std::string converse(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::error_code failure;
    asio::write(socket, asio::buffer(bytes), failure);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), failure);
    return answer;
}

class HttpServerTest : public testing::Test
{
protected:
    std::atomic<int> handled_{0};
    std::atomic<int> closes_{0}; // before the answer
    std::vector<Responder> kept_; // of requests that are never answered
    std::unique_ptr<HttpServer> server_ = value(HttpServer::create(
            {.address = "127.0.0.1",
             .port = 0,
             .maxBodyBytes = 1000,
             .readTimeout = Milliseconds(300),
             .handleTimeout = Milliseconds(500)},
            [this](ServerRequest request, const Responder &respond) {
                ++handled_;
                request.closeWatch->onClose([this] { ++closes_; });
                if (request.path == "/never")
                    kept_.push_back(respond);
                else
                    respond({.status = 200, .body = "ok", .closeConnection = true});
            }));
};

// Guards against a request that is refused by closing the connection: its sender could not tell
// whether it ran.
TEST_F(HttpServerTest, UnreadableRequestsGetAStatedOutcome)
{
    const std::pair<std::string, std::string> cases[]{
            {"no http at all\r\n\r\n", "HTTP/1.1 400"},
            {"GET /slow HTTP/1.1\r\nHost: x\r\n", "HTTP/1.1 408"},
            {"POST /big HTTP/1.1\r\nHost: x\r\nContent-Length: 1500\r\n\r\n"
                     + std::string(1500, 'b'),
             "HTTP/1.1 413"},
            {"POST /big HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n", "HTTP/1.1 4"},
    };
    for (const auto &[request, status] : cases) {
        const auto answer = converse(server_->port(), request);
        EXPECT_TRUE(answer.starts_with(status)) << answer;
        EXPECT_NE(answer.find("Vane-Outcome: not-run"), std::string::npos) << answer;
    }
    EXPECT_EQ(handled_, 0);
}

// Guards against a server that runs out of memory because a peer sends a part of a request that is
// no body without end, or a body in chunks whose records take more memory than the body.
TEST_F(HttpServerTest, PartsWithoutEndAreRefused)
{
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string piece(64U << 10U, 'a');
    const std::pair<std::string, std::string> cases[]{
            {"", piece}, // no line end
            {"GET /x HTTP/1.1\r\nX-A: ", piece}, // one field
            {"GET /x HTTP/1.1\r\n", "X-A: b\r\n"}, // fields
            {chunked + "4;x=", piece}, // a chunk extension
            {chunked + "0\r\nX-A: ", piece}, // one trailer field
            {chunked + "0\r\n", "X-A: b\r\n"}, // trailer fields
            {chunked, "1;x=y\r\na\r\n"}, // short chunks
    };
    for (const auto &[head, further] : cases) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        asio::error_code failure;
        asio::write(socket, asio::buffer(head), failure);
        constexpr std::size_t longest = 8U << 20U; // above what both sockets buffer
        std::string block;
        while (block.size() < piece.size())
            block += further;
        std::size_t sent = 0;
        while (sent < longest && !failure)
            sent += asio::write(socket, asio::buffer(block), failure);
        EXPECT_LT(sent, longest) << head << further.substr(0, 20);
    }
    EXPECT_EQ(handled_, 0);
}

// Guards against "not-run" for a request that the handler has taken and may still run.
TEST_F(HttpServerTest, RequestInTheHandlerIsNotSaidNotToRun)
{
    const auto answer = converse(server_->port(), "GET /never HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(answer.find("not-run"), std::string::npos) << answer;
}

// Guards against a refusal after a complete answer on the same connection.
TEST_F(HttpServerTest, AnsweredRequestIsNotRefused)
{
    const auto answer = converse(server_->port(), "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_EQ(answer.find("not-run"), std::string::npos) << answer;
}

// Guards against work for a caller that went away, and against a close told of a caller that has
// its answer or still waits for it.
TEST_F(HttpServerTest, CloseBeforeTheAnswerIsTold)
{
    const std::string request = "GET /never HTTP/1.1\r\nHost: x\r\n\r\n";
    converse(server_->port(), "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    asio::io_context context;
    asio::ip::tcp::socket waiting(context);
    waiting.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
    asio::write(waiting, asio::buffer(request));
    {
        asio::ip::tcp::socket leaving(context);
        leaving.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        asio::write(leaving, asio::buffer(request));
        while (handled_ < 3)
            std::this_thread::yield();
        EXPECT_EQ(closes_, 0);
    }
    const auto limit = Clock::now() + std::chrono::seconds(20);
    while (closes_ == 0 && Clock::now() < limit)
        std::this_thread::yield();
    EXPECT_EQ(closes_, 1);
}

} // namespace
} // namespace chestnutvane
