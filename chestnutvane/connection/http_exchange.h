// One exchange of a request and its answer on a handle of libcurl. Used by HttpClient only.
//
// Example:
//
//   HttpExchange exchange;
//   exchange.request = std::move(request);
//   if (prepareExchange(exchange, std::chrono::seconds(30)))
//       curl_multi_add_handle(multi, exchange.easy);
//
// Not thread-safe.
#pragma once

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/answer_memory.h"
#include "chestnutvane/connection/http_message.h"

namespace chestnutvane::internal {

// An exchange with what its callbacks have seen. Never copied or moved: libcurl keeps its address.
struct HttpExchange
{
    std::uint64_t id = 0;
    HttpRequest request;
    std::function<void(Result<HttpResponse, HttpError>)> callback;
    HttpResponse response;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    TimePoint requestStart{};
    TimePoint lastProgress{}; // when a byte moved last, or when the exchange was started
    bool requestStarted = false; // the connection is open; bytes of the request may have left
    bool reusedConnection = false;
    bool firstByteSeen = false;
    bool silenceReported = false;
    bool tooLarge = false;
    int heads = 0; // informational ones included
    std::size_t headBytes = 0; // of all heads and of the trailer
    std::size_t bufferedBytes = 0; // of the body, as counted in answerMemory
    AnswerMemory *answerMemory = nullptr; // of the client
    curl_off_t uploadedBytes = 0;
    bool lengthKnown = false;
    bool headEnded = false; // the empty line behind the head was read

    HttpExchange() = default;
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
};

// Sets up the handle; libcurl keeps the address of the exchange. Returns false if libcurl has no
// handle. Idle connections older than maxIdleAge are not reused. The answer is counted in `memory`,
// which must outlive the exchange.
bool prepareExchange(HttpExchange &exchange, std::chrono::seconds maxIdleAge, AnswerMemory &memory);

// The answer, or the error that says whether the request may have left, after libcurl has ended the
// exchange with a code.
Result<HttpResponse, HttpError> exchangeResult(CURLcode code, HttpExchange &exchange);

// The error of an exchange that ends for another reason.
HttpError exchangeError(HttpFailure failure, const HttpExchange &exchange, std::string detail);

} // namespace chestnutvane::internal
