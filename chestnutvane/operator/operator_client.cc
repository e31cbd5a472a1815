#include "chestnutvane/operator/operator_client.h"

#include <fmt/format.h>

#include <cctype>
#include <future>

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

constexpr int firstServerError = 500;

} // namespace
} // namespace internal

Exchange makeExchange(HttpClient &client)
{
    return [&client](HttpRequest request) {
        std::promise<Result<HttpResponse, HttpError>> ended;
        auto result = ended.get_future();
        client.send(std::move(request), [&ended](Result<HttpResponse, HttpError> answer) {
            ended.set_value(std::move(answer));
        });
        return result.get();
    };
}

OperatorClient::OperatorClient(std::vector<std::string> servers, Exchange exchange)
    : servers_(std::move(servers)), exchange_(std::move(exchange))
{ }

Result<OperatorAnswer, CallError> OperatorClient::askOne(const std::string &server,
                                                         HttpRequest request)
{
    request.url = "http://" + server + request.url;
    auto result = exchange_(std::move(request));
    if (!isOk(result))
        return CallError{
                error(result).mayHaveBeenSent ? CallFailure::AnswerLost : CallFailure::NoServer,
                fmt::format("{}: {}", server, enumName(httpFailureNames, error(result).failure))};
    auto &response = value(result);
    auto body = internal::json::parse(response.body, nullptr, false);
    if (response.status >= internal::firstServerError || !body.is_object())
        return CallError{CallFailure::AnswerLost,
                         fmt::format("{}: status {} with no answer of an operator listener", server,
                                     response.status)};
    return OperatorAnswer{response.status, std::move(body), server};
}

Result<OperatorAnswer, CallError> OperatorClient::get(const std::string &pathAndQuery,
                                                      Milliseconds timeout)
{
    CallError failures{CallFailure::NoServer, {}};
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        auto answer = askOne(servers_[first_], {.url = pathAndQuery, .timeout = timeout});
        if (isOk(answer))
            return answer;
        first_ = (first_ + 1) % servers_.size();
        failures.detail += (i == 0 ? "" : ", ") + error(answer).detail;
    }
    return failures;
}

Result<OperatorAnswer, CallError>
OperatorClient::post(const std::string &path, const nlohmann::json &body, Milliseconds timeout)
{
    const auto text = std::make_shared<const std::string>(
            body.dump(-1, ' ', false, internal::json::error_handler_t::strict));
    CallError failures{CallFailure::NoServer, {}};
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        // A fresh connection, because libcurl sends a request again on its own when a pooled one
        // closes.
        auto answer = askOne(servers_[first_],
                             {.method = "POST",
                              .url = path,
                              .headers = {{"Content-Type", "application/json"}},
                              .body = text,
                              .timeout = timeout,
                              .freshConnection = true});
        if (isOk(answer))
            return answer;
        first_ = (first_ + 1) % servers_.size();
        failures.detail += (i == 0 ? "" : ", ") + error(answer).detail;
        if (error(answer).failure == CallFailure::AnswerLost) {
            failures.failure = CallFailure::AnswerLost;
            break;
        }
    }
    return failures;
}

std::string textMember(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberMember(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string queryEncoded(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("-._~:").find(c) != std::string_view::npos)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", byte);
    }
    return encoded;
}

} // namespace chestnutvane
