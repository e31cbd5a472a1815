// Immutable pages of sorted client blocks, which the versions of a table share.
//
// Example:
//
//   std::shared_ptr<const Page<std::uint64_t>> page = makePage<std::uint64_t>(entries);
//   Entry<std::uint64_t> first = page->entry(0);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "chestnutvane/version/client_key.h"

namespace chestnutvane::internal {

// The distance to the enclosing block has 11 bits, which IPv4 leaves for it.
inline constexpr int distanceBits = 11;
inline constexpr std::size_t maxPageBlocks = std::size_t{1} << distanceBits;
// Pages are built three quarters full so that an added block rarely splits one.
inline constexpr std::size_t builtPageBlocks = 1536;

// Data of some blocks in a row, which lie together so that a look-up fetches them at once.
template <class K>
struct Group
{
    // At 4.1 million blocks 64 measured best: with 32 or 16 the index of first keys is two or four
    // times as large, with 128 a look-up fetches twice as many lines.
    static constexpr std::size_t size = 64;

    std::size_t length(std::size_t i) const
    {
        return (metas[i] & ((1U << KeyTraits<K>::lengthBits) - 1)) + 1;
    }
    std::size_t distance(std::size_t i) const
    {
        return metas[i] >> KeyTraits<K>::lengthBits & ((1U << distanceBits) - 1);
    }
    std::uint8_t choice(std::size_t i) const
    {
        return static_cast<std::uint8_t>(metas[i] >> choiceShift);
    }
    void set(std::size_t i, const Entry<K> &entry, std::size_t distance)
    {
        keys[i] = entry.start;
        metas[i] = static_cast<std::uint32_t>(entry.choice) << choiceShift
                | static_cast<std::uint32_t>(distance << KeyTraits<K>::lengthBits)
                | static_cast<std::uint32_t>(entry.length - 1);
    }

    // The group starts a cache line and fills whole ones.
    static constexpr std::size_t alignment = 64;
    static constexpr int choiceShift = KeyTraits<K>::lengthBits + distanceBits;

    alignas(alignment) std::array<K, size> keys{};
    // Length - 1, the distance to the enclosing block of the page (0 for none) and the choice.
    std::array<std::uint32_t, size> metas{};
};

// IPv4 blocks serve updates alone. They are kept in 7 bytes, with the choices apart, because the
// length and the distance fill 16 bits.
template <>
struct Group<std::uint32_t>
{
    // An update gathers the first keys of all groups: with 16 a group it took 5 ms.
    static constexpr std::size_t size = 64;

    std::size_t length(std::size_t i) const
    {
        return (metas[i] & ((1U << KeyTraits<std::uint32_t>::lengthBits) - 1)) + std::size_t{1};
    }
    std::size_t distance(std::size_t i) const
    {
        return metas[i] >> KeyTraits<std::uint32_t>::lengthBits;
    }
    std::uint8_t choice(std::size_t i) const { return choices[i]; }
    void set(std::size_t i, const Entry<std::uint32_t> &entry, std::size_t distance)
    {
        keys[i] = entry.start;
        metas[i] = static_cast<std::uint16_t>(distance << KeyTraits<std::uint32_t>::lengthBits
                                              | static_cast<std::size_t>(entry.length - 1));
        choices[i] = entry.choice;
    }

    std::array<std::uint32_t, size> keys{};
    std::array<std::uint16_t, size> metas{};
    std::array<std::uint8_t, size> choices{};
};

// Up to 2048 blocks in their order. Each knows the nearest one that encloses it inside the page.
template <class K>
struct Page
{
    std::vector<Group<K>> groups; // after the last block: copies of it
    std::size_t blockCount = 0;

    std::size_t distance(std::size_t i) const
    {
        return groups[i / Group<K>::size].distance(i % Group<K>::size);
    }

    Entry<K> entry(std::size_t i) const
    {
        const auto &group = groups[i / Group<K>::size];
        const std::size_t at = i % Group<K>::size;
        return {group.keys[at], static_cast<std::uint8_t>(group.length(at)), group.choice(at)};
    }

    std::size_t bytes() const
    {
        // 48 bytes for the allocator's headers and the control block of the shared pointer.
        return sizeof(Page) + 48 + groups.capacity() * sizeof(Group<K>);
    }
};

// Makes a page of 1 to 2048 sorted entries. A copy of the last block after it names that block as
// enclosing, so that a look-up that ends at a copy finds the same as at the block.
template <class K>
std::shared_ptr<const Page<K>> makePage(std::span<const Entry<K>> entries)
{
    constexpr std::size_t groupSize = Group<K>::size;
    auto page = std::make_shared<Page<K>>();
    page->groups.resize((entries.size() + groupSize - 1) / groupSize);
    page->blockCount = entries.size();
    std::vector<std::size_t> enclosing;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto &entry = entries[i];
        while (!enclosing.empty()) {
            const auto &outer = entries[enclosing.back()];
            if (contains(outer.start, outer.length, entry.start))
                break;
            enclosing.pop_back();
        }
        const std::size_t distance = enclosing.empty() ? 0 : i - enclosing.back();
        enclosing.push_back(i);
        page->groups[i / groupSize].set(i % groupSize, entry, distance);
    }
    const std::size_t last = entries.size() - 1;
    for (std::size_t i = entries.size(); i < page->groups.size() * groupSize; ++i)
        page->groups[i / groupSize].set(i % groupSize, entries[last], i - last);
    return page;
}

} // namespace chestnutvane::internal
