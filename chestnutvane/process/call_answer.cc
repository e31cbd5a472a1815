#include "chestnutvane/process/call_answer.h"

#include <algorithm>
#include <cctype>

namespace chestnutvane {
namespace internal {
namespace {

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace
} // namespace internal

bool isPassedOn(std::string_view name)
{
    constexpr std::string_view kept[] = {
            "connection", "keep-alive", "transfer-encoding", "content-length", "host",
            "upgrade",    "te",         "trailer",           "expect",         "proxy-connection"};
    constexpr std::string_view own = "vane-";
    if (name.size() > own.size() && internal::equalsIgnoreCase(name.substr(0, own.size()), own))
        return false;
    return std::none_of(std::begin(kept), std::end(kept), [name](std::string_view other) {
        return internal::equalsIgnoreCase(name, other);
    });
}

std::vector<HttpHeader> passedOnHeaders(const std::vector<HttpHeader> &headers)
{
    std::vector<HttpHeader> result;
    for (const auto &header : headers) {
        if (isPassedOn(header.name))
            result.push_back(header);
    }
    return result;
}

ForwardAnswer refusal(Outcome outcome, Reason reason, int status)
{
    return {.outcome = outcome, .reason = reason, .status = status};
}

ForwardAnswer answerOf(const OnceResult &result)
{
    ForwardAnswer answer{
            .outcome = result.outcome, .reason = result.reason, .status = result.status};
    if (result.answer) {
        for (const auto &[name, text] : result.answer->headers)
            answer.headers.push_back({name, text});
        answer.body = result.answer->body;
    }
    return answer;
}

OnceResult onceResultOf(FlowResult result)
{
    OnceResult once{.outcome = result.outcome, .reason = result.reason, .status = result.status};
    if (result.outcome == Outcome::Ran) {
        auto answer = std::make_shared<OnceAnswer>();
        answer->status = result.status;
        for (auto &[name, text] : result.headers)
            answer->headers.emplace_back(std::move(name), std::move(text));
        answer->body = std::move(result.body);
        once.answer = std::move(answer);
    }
    return once;
}

ForwardAnswer answerOf(FlowResult result)
{
    return {.outcome = result.outcome,
            .reason = result.reason,
            .status = result.status,
            .headers = std::move(result.headers),
            .body = std::move(result.body)};
}

} // namespace chestnutvane
