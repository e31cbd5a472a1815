// Parses and formats one-time keys. A one-time key identifies an at-most-once request and has the
// form INCARNATION.WINDOW.RANDOM: the incarnation that may run the request, the number of the time
// window in which that incarnation issued the key prefix, and a random part chosen by the caller.
//
// Example:
//
//   std::string prefix = formatKeyPrefix(incarnation, 7); // "0f...3a.7", sent in look-up responses
//   if (auto key = parseOneTimeKey(header); isOk(key))
//       table.begin(value(key), ...);
//
// Thread-safe: the functions have no state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"

namespace chestnutvane {

// Number of hexadecimal digits of an incarnation (128 bits).
inline constexpr std::size_t incarnationDigits = 32;
// Limits of the length in characters of the random part, which the caller chooses. The maximum
// limits the memory of an entry in the table of keys.
inline constexpr std::size_t minKeyRandomLength = 16;
inline constexpr std::size_t maxKeyRandomLength = 64;

struct OneTimeKey
{
    std::string incarnation; // 32 lower-case hexadecimal digits
    std::uint64_t window = 0; // at least 1
    std::string random; // 16 to 64 letters, digits, "-" or "_"

    friend bool operator==(const OneTimeKey &, const OneTimeKey &) = default;
};

// Why a text is not a valid key.
enum class KeyParseError {
    Parts, // fewer than three parts separated by "."
    Incarnation, // not 32 lower-case hexadecimal digits
    Window, // not a decimal number from 1 without leading zeros
    RandomLength, // not minKeyRandomLength to maxKeyRandomLength characters
    RandomCharacter, // a character other than a letter, a digit, "-" or "_"
};

inline constexpr EnumName<KeyParseError> keyParseErrorNames[] = {
        {KeyParseError::Parts, "parts"},
        {KeyParseError::Incarnation, "incarnation"},
        {KeyParseError::Window, "window"},
        {KeyParseError::RandomLength, "random-length"},
        {KeyParseError::RandomCharacter, "random-character"},
};

// Parses a key. Accepts only the canonical text of a key, so that no two texts are parsed to equal
// keys.
Result<OneTimeKey, KeyParseError> parseOneTimeKey(std::string_view text);

// Formats a key as the text that parseOneTimeKey() accepts.
std::string formatOneTimeKey(const OneTimeKey &key);

// Formats the prefix that the system issues to callers. A caller appends "." and a random part.
std::string formatKeyPrefix(std::string_view incarnation, std::uint64_t window);

// Formats 128 random bits as an incarnation.
std::string formatIncarnation(std::uint64_t high, std::uint64_t low);

} // namespace chestnutvane
