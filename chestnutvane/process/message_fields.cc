#include "chestnutvane/process/message_fields.h"

namespace chestnutvane::internal {

nlohmann::json toJson(const HolderId &holder)
{
    return nlohmann::json::array({holder.high, holder.low});
}

nlohmann::json toJson(const GrantId &id)
{
    return nlohmann::json::array({id.epoch, id.number});
}

FieldReader::FieldReader(nlohmann::json root) : root_(std::move(root))
{
    if (root_.is_discarded())
        fail(MessageFault::NotCbor, "");
    else if (!root_.is_object())
        fail(MessageFault::WrongType, "");
}

void FieldReader::fail(MessageFault fault, const char *field)
{
    if (failed_)
        return;
    failed_ = true;
    error_ = {fault, field};
}

const nlohmann::json *FieldReader::find(const char *field)
{
    if (failed_)
        return nullptr;
    const auto found = root_.find(field);
    if (found == root_.end()) {
        fail(MessageFault::MissingField, field);
        return nullptr;
    }
    return &*found;
}

void FieldReader::read(const char *field, std::uint64_t &out)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr)
        return;
    if (json->is_number_unsigned())
        out = json->get<std::uint64_t>();
    else
        fail(json->is_number() ? MessageFault::OutOfRange : MessageFault::WrongType, field);
}

void FieldReader::read(const char *field, bool &out)
{
    if (const nlohmann::json *json = find(field); json != nullptr) {
        if (json->is_boolean())
            out = json->get<bool>();
        else
            fail(MessageFault::WrongType, field);
    }
}

void FieldReader::read(const char *field, std::string &out)
{
    if (const nlohmann::json *json = find(field); json != nullptr) {
        if (json->is_string())
            out = json->get<std::string>();
        else
            fail(MessageFault::WrongType, field);
    }
}

void FieldReader::readInt(const char *field, std::int64_t lowest, std::int64_t highest,
                          std::int64_t &out)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr)
        return;
    if (!json->is_number_integer()) {
        fail(MessageFault::WrongType, field);
        return;
    }
    // Unsigned values above the signed range would wrap to negative ones.
    if (json->is_number_unsigned()
        && json->get<std::uint64_t>()
                > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        fail(MessageFault::OutOfRange, field);
        return;
    }
    const auto number = json->get<std::int64_t>();
    if (number < lowest || number > highest)
        fail(MessageFault::OutOfRange, field);
    else
        out = number;
}

void FieldReader::read(const char *field, Duration &out)
{
    // A day bounds all durations of messages, so that sums with time points cannot overflow.
    constexpr std::int64_t day = std::chrono::nanoseconds(std::chrono::hours(24)).count();
    std::int64_t nanoseconds = 0;
    readInt(field, -day, day, nanoseconds);
    out = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds));
}

void FieldReader::readPair(const char *field, std::uint64_t &first, std::uint64_t &second)
{
    std::vector<std::uint64_t> parts;
    read(field, parts);
    if (parts.size() != 2) {
        fail(MessageFault::WrongType, field);
        return;
    }
    first = parts[0];
    second = parts[1];
}

void FieldReader::read(const char *field, HolderId &out)
{
    readPair(field, out.high, out.low);
}

void FieldReader::read(const char *field, GrantId &out)
{
    readPair(field, out.epoch, out.number);
}

const nlohmann::json &FieldReader::array(const char *field)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json *json = find(field);
    if (json == nullptr)
        return empty;
    if (!json->is_array()) {
        fail(MessageFault::WrongType, field);
        return empty;
    }
    if (json->size() > maxMessageListLength) {
        fail(MessageFault::OutOfRange, field);
        return empty;
    }
    return *json;
}

void FieldReader::read(const char *field, std::vector<std::uint64_t> &out)
{
    const nlohmann::json &list = array(field);
    out.clear();
    for (const nlohmann::json &element : list) {
        if (!element.is_number_unsigned()) {
            fail(MessageFault::WrongType, field);
            return;
        }
        out.push_back(element.get<std::uint64_t>());
    }
}

} // namespace chestnutvane::internal
