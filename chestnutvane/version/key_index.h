// An index over a sorted array of keys, as a static B-tree whose nodes are two cache lines.
//
// Example:
//
//   const KeyIndex<std::uint64_t> index(keys);
//   std::size_t last = index.lastAtMost(key); // "key" is not below the first key
//
// A binary search over n keys waits for a load at each of its log2(n) steps. The tree has a step
// for each factor of 16, and its upper levels stay in the nearest cache.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace chestnutvane::internal {

// Immutable. All functions may be called from any number of threads.
template <class K>
class KeyIndex
{
public:
    static constexpr std::size_t nodeKeys = 16;

    KeyIndex() = default;

    // Takes keys in ascending order.
    explicit KeyIndex(std::vector<K> keys)
    {
        while (!keys.empty()) {
            Level level{std::move(keys), 0};
            level.count = level.keys.size();
            keys = {};
            if (level.count > nodeKeys) {
                for (std::size_t i = 0; i < level.count; i += nodeKeys)
                    keys.push_back(level.keys[i]);
            }
            const std::size_t nodes = (level.count + nodeKeys - 1) / nodeKeys;
            level.keys.resize(nodes * nodeKeys, static_cast<K>(~K{0}));
            level.keys.shrink_to_fit();
            levels_.insert(levels_.begin(), std::move(level));
        }
    }

    bool empty() const { return levels_.empty(); }

    // The first key of all. The index must not be empty.
    K front() const { return levels_.back().keys[0]; }

    // Returns the place of the last key that is at most "key", which must not be below the first.
    std::size_t lastAtMost(K key) const
    {
        return lastAtMost(key, [](std::size_t) {});
    }

    // As above, and calls "beforeLast" with the first place of the last node before reading it.
    template <class F>
    std::size_t lastAtMost(K key, F &&beforeLast) const
    {
        std::size_t at = 0;
        for (const Level &level : levels_) {
            if (&level == &levels_.back())
                beforeLast(at * nodeKeys);
            const K *node = level.keys.data() + at * nodeKeys;
            std::size_t atMost = 0;
#pragma GCC unroll 16
            for (std::size_t i = 0; i < nodeKeys; ++i)
                atMost += static_cast<std::size_t>(node[i] <= key);
            // The padding equals the largest key, so that the count may pass the last one.
            at = std::min(at * nodeKeys + atMost, level.count) - 1;
        }
        return at;
    }

    std::size_t bytes() const
    {
        std::size_t total = levels_.capacity() * sizeof(Level);
        for (const auto &level : levels_)
            total += level.keys.capacity() * sizeof(K);
        return total;
    }

private:
    struct Level
    {
        std::vector<K> keys; // whole nodes; after the last key: the largest key
        std::size_t count = 0;
    };

    std::vector<Level> levels_; // the root first; each holds the first keys of the nodes below
};

} // namespace chestnutvane::internal
