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

// The distance to the enclosing block has 11 bits for IPv4.
inline constexpr std::size_t maxPageBlocks = 2048;
// Pages are built three quarters full so that an added block rarely splits one.
inline constexpr std::size_t builtPageBlocks = 1536;
// 16 IPv4 keys fill one cache line.
inline constexpr std::size_t groupSize = 16;

// Data of 16 blocks in a row. It lies together so that a look-up touches one or two places of the
// memory page, of which the second is fetched along with the first.
template <class K>
struct Group
{
    std::array<K, groupSize> keys; // after the last block: the largest key
    std::array<typename KeyTraits<K>::Meta, groupSize> metas;
    std::array<std::uint8_t, groupSize> choices;
};

// Up to 2048 blocks in their order. Each knows the nearest one that encloses it inside the page.
template <class K>
struct Page
{
    std::vector<Group<K>> groups;
    std::vector<K> samples; // the first key of each group
    std::size_t blockCount = 0;

    std::size_t meta(std::size_t i) const { return groups[i / groupSize].metas[i % groupSize]; }

    Entry<K> entry(std::size_t i) const
    {
        constexpr unsigned lengthMask = (1U << KeyTraits<K>::lengthBits) - 1;
        const auto &group = groups[i / groupSize];
        return {group.keys[i % groupSize], static_cast<std::uint8_t>((meta(i) & lengthMask) + 1),
                group.choices[i % groupSize]};
    }

    std::size_t bytes() const
    {
        // 48 bytes for the allocator's headers and the control block of the shared pointer.
        return sizeof(Page) + 48 + samples.capacity() * sizeof(K)
                + groups.capacity() * sizeof(Group<K>);
    }
};

// Makes a page of 1 to 2048 sorted entries.
template <class K>
std::shared_ptr<const Page<K>> makePage(std::span<const Entry<K>> entries)
{
    using Meta = typename KeyTraits<K>::Meta;
    auto page = std::make_shared<Page<K>>();
    const std::size_t groupCount = (entries.size() + groupSize - 1) / groupSize;
    page->groups.resize(groupCount);
    page->groups.back().keys.fill(static_cast<K>(~K{0}));
    page->samples.reserve(groupCount);
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
        auto &group = page->groups[i / groupSize];
        group.keys[i % groupSize] = entry.start;
        group.metas[i % groupSize] = static_cast<Meta>(
                distance << KeyTraits<K>::lengthBits | static_cast<std::size_t>(entry.length - 1));
        group.choices[i % groupSize] = entry.choice;
        if (i % groupSize == 0)
            page->samples.push_back(entry.start);
    }
    return page;
}

} // namespace chestnutvane::internal
