#include "chestnutvane/base/hash.h"

#include <xxhash.h>

namespace chestnutvane {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double unitInterval(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: a double holds 53 bits exactly
    return static_cast<double>(hash >> 11) * scale;
}

} // namespace chestnutvane
