#include "chestnutvane/process/grant_messages.h"

#include <nlohmann/json.hpp>

#include "chestnutvane/process/message_fields.h"

namespace chestnutvane {
namespace {

using internal::FieldReader;
using internal::toJson;
using nlohmann::json;

std::string toCbor(const json &message)
{
    std::string body;
    json::to_cbor(message, body);
    return body;
}

FieldReader openCbor(std::string_view body)
{
    return FieldReader(json::from_cbor(body.begin(), body.end(), true, false));
}

std::int64_t toNanoseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

void readTried(FieldReader &reader, TriedTargets &tried)
{
    std::vector<std::uint64_t> ids;
    reader.read("tried", ids);
    if (ids.size() > TriedTargets::capacity) {
        reader.fail(MessageFault::OutOfRange, "tried");
        return;
    }
    for (const TargetId id : ids)
        tried.add(id);
}

HeldGrant readHeld(FieldReader &reader)
{
    HeldGrant held;
    reader.read("id", held.id);
    reader.read("target", held.target);
    reader.read("remaining", held.remaining);
    reader.read("sequence", held.sequence);
    reader.read("fingerprint", held.fingerprint);
    reader.read("alone", held.alone);
    return held;
}

} // namespace

std::string encode(const GrantRequestMessage &message)
{
    const GrantRequest &request = message.request;
    json tried = json::array();
    for (std::size_t i = 0; i < request.tried.count; ++i)
        tried.push_back(request.tried.ids[i]);
    return toCbor({{"unit", message.unit},
                   {"holder", toJson(request.holder)},
                   {"sequence", request.sequence},
                   {"importance", request.importance},
                   {"queueLimit", toNanoseconds(request.queueLimit)},
                   {"remaining", toNanoseconds(request.remaining)},
                   {"fingerprint", request.fingerprint},
                   {"tried", std::move(tried)}});
}

Result<GrantRequestMessage, MessageError> decodeGrantRequest(std::string_view body)
{
    FieldReader reader = openCbor(body);
    GrantRequestMessage message;
    GrantRequest &request = message.request;
    std::int64_t importance = 0;
    reader.read("unit", message.unit);
    reader.read("holder", request.holder);
    reader.read("sequence", request.sequence);
    reader.readInt("importance", 0, 9, importance);
    request.importance = static_cast<int>(importance);
    reader.read("queueLimit", request.queueLimit);
    reader.read("remaining", request.remaining);
    reader.read("fingerprint", request.fingerprint);
    readTried(reader, request.tried);
    return reader.result(message);
}

std::string encode(const GrantAnswer &message)
{
    return toCbor({{"unit", message.unit},
                   {"sequence", message.sequence},
                   {"reason", enumName(reasonNames, message.reason)},
                   {"id", toJson(message.id)},
                   {"target", message.target},
                   {"probe", message.probe},
                   {"alone", message.alone}});
}

Result<GrantAnswer, MessageError> decodeGrantAnswer(std::string_view body)
{
    FieldReader reader = openCbor(body);
    GrantAnswer message;
    reader.read("unit", message.unit);
    reader.read("sequence", message.sequence);
    reader.readEnum("reason", reasonNames, message.reason);
    reader.read("id", message.id);
    reader.read("target", message.target);
    reader.read("probe", message.probe);
    reader.read("alone", message.alone);
    return reader.result(message);
}

std::string encode(const GrantRelease &message)
{
    return toCbor({{"unit", message.unit},
                   {"holder", toJson(message.holder)},
                   {"id", toJson(message.id)},
                   {"result", enumName(grantResultNames, message.result)},
                   {"serviceTime", toNanoseconds(message.serviceTime)}});
}

Result<GrantRelease, MessageError> decodeGrantRelease(std::string_view body)
{
    FieldReader reader = openCbor(body);
    GrantRelease message;
    reader.read("unit", message.unit);
    reader.read("holder", message.holder);
    reader.read("id", message.id);
    reader.readEnum("result", grantResultNames, message.result);
    reader.read("serviceTime", message.serviceTime);
    return reader.result(message);
}

std::string encode(const GrantsHeld &message)
{
    json held = json::array();
    for (const HeldGrant &grant : message.held) {
        held.push_back({{"id", toJson(grant.id)},
                        {"target", grant.target},
                        {"remaining", toNanoseconds(grant.remaining)},
                        {"sequence", grant.sequence},
                        {"fingerprint", grant.fingerprint},
                        {"alone", grant.alone}});
    }
    return toCbor({{"unit", message.unit},
                   {"holder", toJson(message.holder)},
                   {"number", message.number},
                   {"epoch", message.epoch},
                   {"lastSequence", message.lastSequence},
                   {"held", std::move(held)},
                   {"waiting", message.waiting}});
}

Result<GrantsHeld, MessageError> decodeGrantsHeld(std::string_view body)
{
    FieldReader reader = openCbor(body);
    GrantsHeld message;
    reader.read("unit", message.unit);
    reader.read("holder", message.holder);
    reader.read("number", message.number);
    reader.read("epoch", message.epoch);
    reader.read("lastSequence", message.lastSequence);
    reader.read("waiting", message.waiting);
    for (const json &element : reader.array("held")) {
        FieldReader heldReader(element);
        message.held.push_back(readHeld(heldReader));
        if (heldReader.failed())
            return heldReader.error();
    }
    return reader.result(message);
}

std::string encode(const RebuildRequest &message)
{
    return toCbor({{"unit", message.unit}, {"epoch", message.epoch}});
}

Result<RebuildRequest, MessageError> decodeRebuildRequest(std::string_view body)
{
    FieldReader reader = openCbor(body);
    RebuildRequest message;
    reader.read("unit", message.unit);
    reader.read("epoch", message.epoch);
    return reader.result(message);
}

} // namespace chestnutvane
