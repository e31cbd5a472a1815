// Keyed hashing of secrets, so that tables of them hold no secret and their look-up leaks none.
//
// Example:
//
//   const KeyedHash hash = KeyedHash::createRandom();
//   index[hash(key)] = position;
//
// Immutable, so it may be used from any thread.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chestnutvane {

// A 128-bit hash. Two different inputs share one with negligible probability.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const Digest &, const Digest &) = default;
};

// Hash of a digest for unordered containers.
struct DigestHash
{
    std::size_t operator()(const Digest &digest) const
    {
        return static_cast<std::size_t>(digest.low);
    }
};

// A hash function that is chosen by a random secret of this process. Comparing two digests tells
// nothing about the bytes that they were made from, however long it takes.
class KeyedHash
{
public:
    static KeyedHash createRandom();

    Digest operator()(std::string_view bytes) const;

private:
    // XXH3 takes any secret of 136 bytes or more.
    static constexpr std::size_t secretBytes = 192;

    KeyedHash() = default;

    std::array<unsigned char, secretBytes> secret_{};
};

} // namespace chestnutvane
