// Bytes that an HttpClient must not take for an answer.

#include <gtest/gtest.h>

#include <future>

#include "chestnutvane/connection/http_client.h"
#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using HttpResult = Result<HttpResponse, HttpError>;

struct Case
{
    std::string name;
    std::string bytes;
    bool reset = false; // while the request's body is unread; else a regular close
    bool isAnswer = false;
};

HttpResult upload(HttpClient &client, const Case &kind, std::size_t bodyBytes)
{
    const RawServer server([&kind](RawClient &connection, int) {
        connection.readUntil("\r\n\r\n");
        connection.send(kind.bytes);
        if (kind.reset)
            return connection.reset();
        connection.closeSending();
        connection.waitForClose();
    });
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto future = promise->get_future();
    client.send({.method = "POST",
                 .url = "http://" + server.address() + "/x",
                 .body = std::make_shared<std::string>(bodyBytes, 'b'),
                 .freshConnection = true},
                [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return future.get();
}

// Guards against a reset answer, or one without a final status, that callers get as an answer.
TEST(HttpClientAnswersTest, OnlyWholeAnswersWithAFinalStatusCount)
{
    constexpr std::size_t largeBody = 6U << 20U; // still being written when the answer comes
    const auto framed = [](const std::string &status) {
        return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody";
    };
    const Case cases[]{
            {"length, reset in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", true},
            {"chunks, reset in the body",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true},
            {"no length, reset", "HTTP/1.1 200 OK\r\n\r\nbody", true},
            {"no length, reset in the head", "HTTP/1.1 200 OK\r\n", true},
            {"status 000", framed("000")},
            {"status 099", framed("099")},
            {"status 600", framed("600")},
            {"informational with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"},
            {"informational only", "HTTP/1.1 103 Early Hints\r\n\r\n"},
            {"whole", framed("200"), false, true},
            {"status 599", framed("599"), false, true},
    };
    const auto client = value(HttpClient::create({}));
    for (const Case &kind : cases) {
        for (const std::size_t bodyBytes : {std::size_t{4}, largeBody}) {
            const HttpResult result = upload(*client, kind, bodyBytes);
            EXPECT_EQ(isOk(result), kind.isAnswer) << kind.name << ", body of " << bodyBytes << ": "
                                                   << (isOk(result) ? value(result).status : 0);
            if (!isOk(result)) {
                EXPECT_TRUE(error(result).mayHaveBeenSent) << kind.name;
            }
        }
    }
}

} // namespace
} // namespace chestnutvane
