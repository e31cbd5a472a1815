#include "chestnutvane/connection/framing_limits.h"

namespace chestnutvane {

std::optional<http::status> chunkFramingExcess(std::string_view unparsed)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (unparsed.starts_with(lineEnd)) // ends the data of the chunk before
        unparsed.remove_prefix(lineEnd.size());
    const std::size_t chunkLine = unparsed.find(lineEnd);
    if (chunkLine == std::string_view::npos && unparsed.size() <= maxChunkLineBytes)
        return std::nullopt;
    if (chunkLine > maxChunkLineBytes) // also if it has no end
        return http::status::bad_request;
    // A parser keeps bytes behind a complete chunk line only if trailer fields follow it.
    if (unparsed.size() - chunkLine > maxTrailerBytes)
        return http::status::request_header_fields_too_large;
    return std::nullopt;
}

} // namespace chestnutvane
