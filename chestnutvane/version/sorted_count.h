// Counts the keys of a sorted array up to a given one.
//
// Example:
//
//   std::size_t page = countAtMost(firstKeys.data(), firstKeys.size(), key) - 1;
#pragma once

#include <cstddef>

namespace chestnutvane::internal {

// Returns the number of keys that are at most "key", for a sorted array. The number of steps
// depends on "count" alone. The step multiplies because the compiler turned a conditional into a
// branch, which is mispredicted half of the time.
template <class K>
std::size_t countAtMost(const K *keys, std::size_t count, K key)
{
    const K *base = keys;
    while (count > 1) {
        const std::size_t half = count / 2;
        base += static_cast<std::size_t>(base[half - 1] <= key) * half;
        count -= half;
    }
    return static_cast<std::size_t>(base - keys) + (count == 1 && *base <= key ? 1 : 0);
}

} // namespace chestnutvane::internal
