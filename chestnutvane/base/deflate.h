// Compression of messages between instances (zlib).
//
// Example:
//
//   std::string packed = deflateBytes(bytes);
//   std::optional<std::string> bytes = inflateBytes(packed, maxBytes);
//
// Pure functions without state.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutvane {

// Returns the bytes in the zlib format.
std::string deflateBytes(std::string_view bytes);

// Returns the bytes behind what deflateBytes() returned; nothing for other bytes, and if they would
// be more than the bound.
std::optional<std::string> inflateBytes(std::string_view packed, std::size_t maxBytes);

} // namespace chestnutvane
