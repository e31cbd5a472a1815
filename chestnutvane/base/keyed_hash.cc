#include "chestnutvane/base/keyed_hash.h"

#include <algorithm>
#include <random>

#include <xxhash.h>

namespace chestnutvane {

KeyedHash KeyedHash::createRandom()
{
    KeyedHash hash;
    std::random_device device;
    std::generate(hash.secret_.begin(), hash.secret_.end(),
                  [&device] { return static_cast<unsigned char>(device()); });
    return hash;
}

Digest KeyedHash::operator()(std::string_view bytes) const
{
    const XXH128_hash_t hash =
            XXH3_128bits_withSecret(bytes.data(), bytes.size(), secret_.data(), secret_.size());
    return {hash.high64, hash.low64};
}

} // namespace chestnutvane
