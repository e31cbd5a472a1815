#include "chestnutvane/connection/query_string.h"

#include <algorithm>
#include <charconv>

namespace chestnutvane {

std::string decodePercent(std::string_view text)
{
    constexpr std::size_t escapeLength = 3; // "%" and two digits
    constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        unsigned int byte = 0;
        if (text.front() == '%' && text.size() >= escapeLength) {
            const char *begin = text.data() + 1;
            const char *end = text.data() + escapeLength;
            if (const auto [stop, failure] = std::from_chars(begin, end, byte, hexadecimal);
                failure == std::errc{} && stop == end) {
                decoded += static_cast<char>(byte);
                text.remove_prefix(escapeLength);
                continue;
            }
        }
        decoded += text.front();
        text.remove_prefix(1);
    }
    return decoded;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decodePercent(pair.substr(equals + 1));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return {};
}

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string result;
    for (const char byte : text) {
        if (unreserved.find(byte) != std::string_view::npos) {
            result += byte;
            continue;
        }
        const auto code = static_cast<unsigned char>(byte);
        result += '%';
        result += hex[code >> 4U];
        result += hex[code & 15U];
    }
    return result;
}

} // namespace chestnutvane
