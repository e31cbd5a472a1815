// Keys of client blocks: the leading bits of an address as one unsigned number.
//
// Example:
//
//   const Entry<std::uint64_t> entry = entryOf<std::uint64_t>(block, choice);
//   bool inside = contains(entry.start, entry.length, keyOf<std::uint64_t>(address));
#pragma once

#include <cstdint>

#include "chestnutvane/version/client_block.h"

namespace chestnutvane::internal {

using Key128 = unsigned __int128;

// Bits of a key, and bits that hold the length of a block less 1.
template <class K>
struct KeyTraits;

template <>
struct KeyTraits<std::uint32_t>
{
    static constexpr int bits = 32;
    static constexpr int lengthBits = 5;
};

template <>
struct KeyTraits<std::uint64_t>
{
    static constexpr int bits = 64;
    static constexpr int lengthBits = 6;
};

template <>
struct KeyTraits<Key128>
{
    static constexpr int bits = 128;
    static constexpr int lengthBits = 7;
};

// A block of at least one bit with the index of its region choice.
template <class K>
struct Entry
{
    K start = 0;
    std::uint8_t length = 0; // at least 1
    std::uint8_t choice = 0;
};

// Orders entries by start, and an enclosing block before those inside it.
template <class K>
bool entryLess(const Entry<K> &a, const Entry<K> &b)
{
    return a.start != b.start ? a.start < b.start : a.length < b.length;
}

// Tells whether a block contains an address. The length is at least 1.
template <class K>
bool contains(K start, int length, K address)
{
    return ((start ^ address) >> (KeyTraits<K>::bits - length)) == 0;
}

// The key of an address: IPv4 in 32 bits, the upper half of an IPv6 address in 64.
template <class K>
K keyOf(const IpAddress &address)
{
    if constexpr (sizeof(K) == 4)
        return static_cast<K>(address.high >> 32);
    else if constexpr (sizeof(K) == 8)
        return address.high;
    else
        return static_cast<K>(address.high) << 64 | address.low;
}

// The address of a key, with zeros after its bits.
template <class K>
IpAddress addressOf(K key)
{
    if constexpr (sizeof(K) == 4)
        return {static_cast<std::uint64_t>(key) << 32, 0, IpFamily::V4};
    else if constexpr (sizeof(K) == 8)
        return {key, 0, IpFamily::V6};
    else
        return {static_cast<std::uint64_t>(key >> 64), static_cast<std::uint64_t>(key),
                IpFamily::V6};
}

// The entry of a block of at least one bit.
template <class K>
Entry<K> entryOf(const ClientBlock &block, std::uint8_t choice)
{
    return {keyOf<K>(block.start), block.length, choice};
}

} // namespace chestnutvane::internal
