#include "chestnutvane/request/fingerprint.h"

#include <array>
#include <memory>

#include <xxhash.h>

namespace chestnutvane {

Fingerprint fingerprint(const FingerprintParts &parts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view part :
         {parts.service, parts.method, parts.path, parts.query, parts.body}) {
        // Hashes the length in little-endian order, independent of the host's byte order.
        std::array<unsigned char, 8> length{};
        for (std::size_t i = 0; i < length.size(); ++i)
            length[i] = static_cast<unsigned char>(std::uint64_t{part.size()} >> (8 * i));
        XXH3_128bits_update(state.get(), length.data(), length.size());
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const XXH128_hash_t digest = XXH3_128bits_digest(state.get());
    return {.high = digest.high64, .low = digest.low64};
}

} // namespace chestnutvane
