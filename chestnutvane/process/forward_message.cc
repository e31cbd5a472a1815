#include "chestnutvane/process/forward_message.h"

#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

json headersToJson(const std::vector<HttpHeader> &headers)
{
    json list = json::array();
    for (const auto &[name, text] : headers)
        list.push_back({name, text});
    return list;
}

std::vector<HttpHeader> headersFromJson(const json &list)
{
    std::vector<HttpHeader> headers;
    for (const auto &pair : list)
        headers.push_back({pair.at(0).get<std::string>(), pair.at(1).get<std::string>()});
    return headers;
}

json::binary_t toBinary(const std::string &bytes)
{
    return json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const json &field)
{
    const auto &bytes = field.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::string toText(const json &message)
{
    std::string text;
    json::to_cbor(message, text);
    return text;
}

// Calls a reader on decoded CBOR and turns every failure into a MessageError.
template <class T, class Read>
Result<T, MessageError> decode(std::string_view body, Read read)
{
    const auto message = json::from_cbor(body, true, false);
    if (!message.is_object())
        return MessageError{MessageFault::NotCbor, {}};
    try {
        return read(message);
    } catch (const json::exception &failure) {
        return MessageError{MessageFault::WrongType, failure.what()};
    }
}

} // namespace
} // namespace internal

std::string encode(const ForwardRequest &request)
{
    return internal::toText({{"service", request.service},
                             {"method", request.method},
                             {"path", request.path},
                             {"query", request.query},
                             {"headers", internal::headersToJson(request.headers)},
                             {"body", internal::toBinary(request.body)},
                             {"key", request.key},
                             {"remaining-ms", request.remaining.count()}});
}

std::string encode(const ForwardAnswer &answer)
{
    return internal::toText({{"outcome", enumName(outcomeNames, answer.outcome)},
                             {"reason", enumName(reasonNames, answer.reason)},
                             {"status", answer.status},
                             {"headers", internal::headersToJson(answer.headers)},
                             {"body", internal::toBinary(answer.body)}});
}

Result<ForwardRequest, MessageError> decodeForwardRequest(std::string_view body)
{
    return internal::decode<ForwardRequest>(body, [](const internal::json &message) {
        return ForwardRequest{.service = message.at("service").get<std::string>(),
                              .method = message.at("method").get<std::string>(),
                              .path = message.at("path").get<std::string>(),
                              .query = message.at("query").get<std::string>(),
                              .headers = internal::headersFromJson(message.at("headers")),
                              .body = internal::fromBinary(message.at("body")),
                              .key = message.at("key").get<std::string>(),
                              .remaining =
                                      Milliseconds(message.at("remaining-ms").get<std::int64_t>())};
    });
}

Result<ForwardAnswer, MessageError> decodeForwardAnswer(std::string_view body)
{
    using Decoded = Result<ForwardAnswer, MessageError>;
    return internal::decode<ForwardAnswer>(body, [](const internal::json &message) -> Decoded {
        const auto outcome = enumFromName(outcomeNames, message.at("outcome").get<std::string>());
        const auto reason = enumFromName(reasonNames, message.at("reason").get<std::string>());
        if (!outcome || !reason)
            return MessageError{MessageFault::OutOfRange, "outcome, reason"};
        return ForwardAnswer{.outcome = *outcome,
                             .reason = *reason,
                             .status = message.at("status").get<int>(),
                             .headers = internal::headersFromJson(message.at("headers")),
                             .body = internal::fromBinary(message.at("body"))};
    });
}

} // namespace chestnutvane
