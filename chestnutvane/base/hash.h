// Non-cryptographic hashing (xxHash), equal on every instance and in every build.
#pragma once

#include <cstdint>
#include <string_view>

namespace chestnutvane {

// Hashes bytes to 64 bits.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Maps a hash to a point in [0, 1).
double unitInterval(std::uint64_t hash);

} // namespace chestnutvane
