// Bounds on the bytes of HTTP/1.1 messages that belong to no body.
//
// Parsers keep such bytes until they have a whole line or a whole block of fields, so a peer that
// sends one without end would fill the memory of this process. Heads of requests and bodies have
// bounds that operators set; all others are here.
//
// Example:
//
//   if (const auto status = chunkFramingExcess(unparsedBytes))
//       refuse(*status);
//
// Pure functions without state.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "chestnutvane/connection/http_types.h"

namespace chestnutvane {

// A chunk's size line with its extensions.
inline constexpr std::size_t maxChunkLineBytes = 4U << 10U;

// The trailer fields behind a chunked body.
inline constexpr std::size_t maxTrailerBytes = 8U << 10U;

// Bytes of an answer that are read ahead of its parser.
inline constexpr std::size_t maxAnswerReadAheadBytes = 64U << 10U;

// All heads of an answer, informational ones included, and its trailer fields.
inline constexpr std::size_t maxAnswerHeadBytes = 64U << 10U;

// Informational answers (status 100 to 199) that may precede an answer.
inline constexpr int maxInformationalAnswers = 8;

// Body of a request to a port that takes none, such as the directory's.
inline constexpr std::size_t maxUnusedBodyBytes = 4U << 10U;

// Returns the status of the refusal if the bytes that a parser keeps of a chunked body exceed the
// bounds; nothing if it may read on. The bytes begin at or behind the end of a chunk's data.
[[nodiscard]] std::optional<http::status> chunkFramingExcess(std::string_view unparsed);

} // namespace chestnutvane
