// Reads the fields of a decoded message without exceptions. Used by the modules that encode
// messages of instances.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/grant_messages.h"

namespace chestnutvane::internal {

nlohmann::json toJson(const HolderId &holder);
nlohmann::json toJson(const GrantId &id);

// Keeps the first fault; later reads have no effect.
class FieldReader
{
public:
    // The root must be an object; a discarded one (from a failed parse) is NotCbor.
    explicit FieldReader(nlohmann::json root);

    void read(const char *field, std::uint64_t &out);
    void read(const char *field, bool &out);
    void read(const char *field, std::string &out);
    void read(const char *field, Duration &out); // in nanoseconds
    void read(const char *field, HolderId &out); // [high, low]
    void read(const char *field, GrantId &out); // [epoch, number]
    void read(const char *field, std::vector<std::uint64_t> &out);

    // Reads an integer that must be within the bounds.
    void readInt(const char *field, std::int64_t lowest, std::int64_t highest, std::int64_t &out);

    // Reads an enumerator by its name.
    template <class E, std::size_t N>
    void readEnum(const char *field, const EnumName<E> (&table)[N], E &out)
    {
        std::string name;
        read(field, name);
        if (const auto value = enumFromName(table, name))
            out = *value;
        else
            fail(MessageFault::OutOfRange, field);
    }

    // The array of the field, or an empty one after a fault.
    const nlohmann::json &array(const char *field);

    void fail(MessageFault fault, const char *field);

    template <class T>
    Result<T, MessageError> result(T decoded) const
    {
        if (failed_)
            return error_;
        return decoded;
    }

    [[nodiscard]] bool failed() const { return failed_; }
    [[nodiscard]] const MessageError &error() const { return error_; }

private:
    const nlohmann::json *find(const char *field);

    // Reads an array of exactly two numbers.
    void readPair(const char *field, std::uint64_t &first, std::uint64_t &second);

    nlohmann::json root_;
    MessageError error_;
    bool failed_ = false;
};

} // namespace chestnutvane::internal
