// The key of an at-most-once request: INCARNATION.WINDOW.RANDOM.
//
// Example:
//
//   std::string prefix = formatKeyPrefix(incarnation, 7); // "0f...3a.7", sent in look-up answers
//   if (auto key = parseOneTimeKey(header); isOk(key))
//       table.begin(value(key), ...);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"

namespace chestnutvane {

// Hexadecimal digits of an incarnation (128 bits).
inline constexpr std::size_t incarnationDigits = 32;
// Bounds on the part that the caller chooses. The upper one bounds the memory of a table entry.
inline constexpr std::size_t minKeyRandomLength = 16;
inline constexpr std::size_t maxKeyRandomLength = 64;

struct OneTimeKey
{
    std::string incarnation; // 32 lower-case hexadecimal digits
    std::uint64_t window = 0; // at least 1
    std::string random; // 16 to 64 letters, digits, "-" or "_"

    friend bool operator==(const OneTimeKey &, const OneTimeKey &) = default;
};

// Why a text is no key.
enum class KeyParseError {
    Parts, // not three parts separated by "."
    Incarnation, // not 32 lower-case hexadecimal digits
    Window, // not a decimal number from 1 without leading zeros
    RandomLength,
    RandomCharacter,
};

inline constexpr EnumName<KeyParseError> keyParseErrorNames[] = {
        {KeyParseError::Parts, "parts"},
        {KeyParseError::Incarnation, "incarnation"},
        {KeyParseError::Window, "window"},
        {KeyParseError::RandomLength, "random-length"},
        {KeyParseError::RandomCharacter, "random-character"},
};

// Parses a key. Accepts one spelling of each key only, so that two texts never name the same key.
Result<OneTimeKey, KeyParseError> parseOneTimeKey(std::string_view text);

// Formats a key as the text that parseOneTimeKey() accepts.
std::string formatOneTimeKey(const OneTimeKey &key);

// Formats the part of a key that the system hands out; the caller appends "." and its random part.
std::string formatKeyPrefix(std::string_view incarnation, std::uint64_t window);

// Formats 128 random bits as an incarnation.
std::string formatIncarnation(std::uint64_t high, std::uint64_t low);

} // namespace chestnutvane
