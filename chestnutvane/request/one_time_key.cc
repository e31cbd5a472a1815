#include "chestnutvane/request/one_time_key.h"

#include <algorithm>
#include <charconv>

namespace chestnutvane {
namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

bool isRandomCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-'
            || c == '_';
}

} // namespace

Result<OneTimeKey, KeyParseError> parseOneTimeKey(std::string_view text)
{
    const auto firstDot = text.find('.');
    const auto secondDot = firstDot == text.npos ? text.npos : text.find('.', firstDot + 1);
    if (secondDot == text.npos)
        return KeyParseError::Parts;
    const auto incarnation = text.substr(0, firstDot);
    const auto window = text.substr(firstDot + 1, secondDot - firstDot - 1);
    const auto random = text.substr(secondDot + 1);

    if (incarnation.size() != incarnationDigits
        || incarnation.find_first_not_of(hexDigits) != incarnation.npos)
        return KeyParseError::Incarnation;
    OneTimeKey key;
    const auto [end, status] =
            std::from_chars(window.data(), window.data() + window.size(), key.window);
    if (status != std::errc{} || end != window.data() + window.size() || window.front() == '0')
        return KeyParseError::Window;
    if (random.size() < minKeyRandomLength || random.size() > maxKeyRandomLength)
        return KeyParseError::RandomLength;
    if (!std::all_of(random.begin(), random.end(), isRandomCharacter))
        return KeyParseError::RandomCharacter;
    key.incarnation = incarnation;
    key.random = random;
    return key;
}

std::string formatOneTimeKey(const OneTimeKey &key)
{
    return formatKeyPrefix(key.incarnation, key.window) + '.' + key.random;
}

std::string formatKeyPrefix(std::string_view incarnation, std::uint64_t window)
{
    std::string text(incarnation);
    text += '.';
    text += std::to_string(window);
    return text;
}

std::string formatIncarnation(std::uint64_t high, std::uint64_t low)
{
    std::string text;
    for (const std::uint64_t part : {high, low}) {
        for (int shift = 60; shift >= 0; shift -= 4)
            text += hexDigits[(part >> static_cast<unsigned>(shift)) & 15U];
    }
    return text;
}

} // namespace chestnutvane
