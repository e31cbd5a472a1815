#include "chestnutvane/connection/http_exchange.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "chestnutvane/connection/answer_end.h"
#include "chestnutvane/connection/framing_limits.h"

namespace chestnutvane::internal {

namespace {

constexpr int maxHeads = maxInformationalAnswers + 1; // that of the answer included

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

int onRequestStart(void *context, char *, char *, int, int)
{
    auto *exchange = static_cast<HttpExchange *>(context);
    long newConnections = 0;
    curl_easy_getinfo(exchange->easy, CURLINFO_NUM_CONNECTS, &newConnections);
    exchange->requestStarted = true;
    exchange->reusedConnection = newConnections == 0;
    exchange->requestStart = Clock::now();
    return CURL_PREREQFUNC_OK;
}

int onTransfer(void *context, curl_off_t, curl_off_t, curl_off_t, curl_off_t uploaded)
{
    auto *exchange = static_cast<HttpExchange *>(context);
    if (std::exchange(exchange->uploadedBytes, uploaded) != uploaded)
        exchange->lastProgress = Clock::now();
    return 0; // libcurl goes on
}

// Whether the answer says that its body exceeds the limit.
bool announcesTooMuch(std::string_view length, std::size_t limit)
{
    std::size_t bytes = 0;
    const auto [end, failure] =
            std::from_chars(length.data(), length.data() + length.size(), bytes);
    return failure == std::errc::result_out_of_range
            || (failure == std::errc{} && end == length.data() + length.size() && bytes > limit);
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *exchange = static_cast<HttpExchange *>(context);
    exchange->firstByteSeen = true;
    exchange->lastProgress = Clock::now();
    const std::string_view line(data, size * count);
    const bool startsHead = line.starts_with("HTTP/"); // for example after 100 Continue
    exchange->headBytes += line.size();
    exchange->heads += startsHead ? 1 : 0;
    if (exchange->headBytes > maxAnswerHeadBytes || exchange->heads > maxHeads) {
        exchange->tooLarge = true;
        return 0;
    }
    if (startsHead) {
        exchange->response.headers.clear();
        exchange->lengthKnown = false;
        exchange->headEnded = false;
        return line.size();
    }
    if (line == "\r\n" || line == "\n")
        exchange->headEnded = true;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    const auto name = trim(line.substr(0, colon));
    if (equalsIgnoreCase(name, "content-length") || equalsIgnoreCase(name, "transfer-encoding"))
        exchange->lengthKnown = true;
    // Ends the exchange before the body takes time on a slow link.
    if (equalsIgnoreCase(name, "content-length") && exchange->request.method != "HEAD"
        && announcesTooMuch(trim(line.substr(colon + 1)), exchange->request.maxResponseBytes)) {
        exchange->tooLarge = true;
        return 0;
    }
    exchange->response.headers.push_back(
            {std::string(name), std::string(trim(line.substr(colon + 1)))});
    return line.size();
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *exchange = static_cast<HttpExchange *>(context);
    exchange->firstByteSeen = true;
    exchange->lastProgress = Clock::now();
    const std::size_t bytes = size * count;
    const std::size_t before =
            std::exchange(exchange->bufferedBytes, exchange->response.body.size() + bytes);
    if (!exchange->answerMemory->resizeAnswer(before, exchange->bufferedBytes)
        || exchange->bufferedBytes > exchange->request.maxResponseBytes) {
        exchange->tooLarge = true;
        return 0;
    }
    exchange->response.body.append(data, bytes);
    return bytes;
}

void setBody(HttpExchange &exchange)
{
    const auto &request = exchange.request;
    if (request.body && !request.body->empty()) {
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDS, request.body->data());
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body->size()));
    } else if (request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(0));
    } else if (request.method == "HEAD") {
        curl_easy_setopt(exchange.easy, CURLOPT_NOBODY, 1L);
        return;
    }
    curl_easy_setopt(exchange.easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void setHeaders(HttpExchange &exchange)
{
    // libcurl would otherwise wait for "100 Continue" before it sends larger bodies.
    exchange.headerList = curl_slist_append(nullptr, "Expect:");
    // libcurl adds a content type to each body; only the caller's own one is passed on.
    if (findHeader(exchange.request.headers, "Content-Type") == nullptr)
        exchange.headerList = curl_slist_append(exchange.headerList, "Content-Type:");
    for (const auto &[name, text] : exchange.request.headers) {
        const std::string line = text.empty() ? name + ";" : name + ": " + text;
        exchange.headerList = curl_slist_append(exchange.headerList, line.c_str());
    }
    curl_easy_setopt(exchange.easy, CURLOPT_HTTPHEADER, exchange.headerList);
}

HttpFailure failureOf(CURLcode code, const HttpExchange &exchange)
{
    if (exchange.tooLarge)
        return HttpFailure::ResponseTooLarge;
    switch (code) {
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return HttpFailure::BadRequest;
    case CURLE_OPERATION_TIMEDOUT:
        return exchange.requestStarted ? HttpFailure::Timeout : HttpFailure::ConnectFailed;
    default:
        return exchange.requestStarted ? HttpFailure::ConnectionLost : HttpFailure::ConnectFailed;
    }
}

bool hasProvableEnd(const HttpExchange &exchange, int status)
{
    return exchange.lengthKnown || status == 204 || status == 304
            || exchange.request.method == "HEAD";
}

} // namespace

HttpExchange::~HttpExchange()
{
    curl_slist_free_all(headerList);
    if (easy != nullptr)
        curl_easy_cleanup(easy);
    if (answerMemory != nullptr)
        answerMemory->endAnswer(bufferedBytes);
}

bool prepareExchange(HttpExchange &exchange, std::chrono::seconds maxIdleAge, AnswerMemory &memory)
{
    exchange.easy = curl_easy_init();
    if (exchange.easy == nullptr)
        return false;
    exchange.answerMemory = &memory;
    memory.startAnswer();
    CURL *easy = exchange.easy;
    const auto &request = exchange.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     std::max<long>(1, request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(maxIdleAge.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    // A fresh connection that stays open would add up to more than a target accepts.
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onRequestStart);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &exchange);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &exchange);
    exchange.lastProgress = Clock::now();
    if (request.progressTimeout.count() > 0 && request.body) {
        curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, onTransfer);
        curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &exchange);
    }
    setBody(exchange);
    setHeaders(exchange);
    return true;
}

HttpError exchangeError(HttpFailure failure, const HttpExchange &exchange, std::string detail)
{
    return HttpError{.failure = failure,
                     .mayHaveBeenSent = exchange.requestStarted,
                     .reusedConnection = exchange.reusedConnection,
                     .detail = std::move(detail)};
}

Result<HttpResponse, HttpError> exchangeResult(CURLcode code, HttpExchange &exchange)
{
    if (code != CURLE_OK)
        return exchangeError(failureOf(code, exchange), exchange, curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(exchange.easy, CURLINFO_RESPONSE_CODE, &status);
    exchange.response.status = static_cast<int>(status);
    exchange.response.reusedConnection = exchange.reusedConnection;
    if (!exchange.headEnded) // libcurl reports success if the connection ends in the head
        return exchangeError(HttpFailure::ConnectionLost, exchange,
                             "the connection ended in the head of the answer");
    const ReceivedAnswer answer{
            .status = static_cast<unsigned>(status),
            .read = AnswerRead::Complete,
            .endsWithConnection = !hasProvableEnd(exchange, exchange.response.status),
            .connectionFailed = true, // libcurl does not tell whether the stream ended regularly
    };
    const AnswerVerdict verdict = judgeAnswer(answer);
    if (verdict == AnswerVerdict::Final)
        return std::move(exchange.response);
    return exchangeError(HttpFailure::ConnectionLost, exchange,
                         "the answer is " + std::string(enumName(answerVerdictNames, verdict)));
}

} // namespace chestnutvane::internal
