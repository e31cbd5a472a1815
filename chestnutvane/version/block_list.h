// All client blocks of one key width in pages, with the longest-prefix match over them.
//
// Example:
//
//   auto list = BlockList<std::uint64_t>::fromSorted(entries);
//   std::optional<std::uint8_t> choice = list.lookUp(keyOf<std::uint64_t>(address));
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "chestnutvane/version/block_page.h"
#include "chestnutvane/version/client_key.h"
#include "chestnutvane/version/key_index.h"
#include "chestnutvane/version/sorted_count.h"

namespace chestnutvane::internal {

inline constexpr std::size_t cacheLine = 64;

// All blocks of one key width, except the block of length 0. Immutable; a copy shares the pages.
// All functions may be called from any number of threads.
template <class K>
class BlockList
{
public:
    static BlockList fromSorted(std::span<const Entry<K>> entries)
    {
        BlockList list;
        std::vector<PagePointer> pages;
        appendPages(entries, pages);
        list.setPages(std::move(pages));
        return list;
    }

    // Returns the choice of the longest block that contains the address.
    std::optional<std::uint8_t> lookUp(K address) const
    {
        const auto found = find(address, KeyTraits<K>::bits);
        return found ? std::optional(found->choice) : std::nullopt;
    }

    // Returns the longest block of at most "longest" bits that contains the address.
    std::optional<Entry<K>> find(K address, int longest) const
    {
        if (index_.empty() || address < index_.front())
            return std::nullopt;
        const std::size_t g = index_.lastAtMost(address, [this](std::size_t first) {
            __builtin_prefetch(&groups_[first]);
            __builtin_prefetch(&groups_[first] + cacheLine / sizeof(void *));
        });
        const Group<K> *group = groups_[g];
        // The lines of the group arrive together instead of one after the other.
        for (std::size_t at = 0; at < sizeof(Group<K>); at += cacheLine)
            __builtin_prefetch(reinterpret_cast<const std::byte *>(group) + at);
        std::size_t i = countAtMost(group->keys.data(), Group<K>::size, address) - 1;
        while (true) {
            const int length = static_cast<int>(group->length(i));
            if (length <= longest && contains(group->keys[i], length, address))
                return Entry<K>{group->keys[i], static_cast<std::uint8_t>(length),
                                group->choice(i)};
            const std::size_t distance = group->distance(i);
            if (distance == 0)
                break;
            // The enclosing block may lie in an earlier group of the page.
            const std::size_t back = (distance + Group<K>::size - 1 - i) / Group<K>::size;
            group -= back;
            i += back * Group<K>::size - distance;
        }
        const auto &page = views_[pageOf(address)];
        for (std::uint32_t outer = page.outerEnd; outer > page.outerBegin; --outer) {
            const auto &entry = outers_[outer - 1];
            if (entry.length <= longest && contains(entry.start, entry.length, address))
                return entry;
        }
        return std::nullopt;
    }

    // Applies changes sorted by block, at most one for each block.
    BlockList withChanges(std::span<const std::pair<Entry<K>, bool>> changes) const
    {
        std::vector<PagePointer> pages;
        pages.reserve(pages_.size() + 1);
        std::size_t next = 0;
        for (std::size_t p = 0; p < std::max<std::size_t>(pages_.size(), 1); ++p) {
            const std::size_t begin = next;
            while (next < changes.size()
                   && (p + 1 >= pages_.size()
                       || entryLess(changes[next].first, pages_[p + 1]->entry(0))))
                ++next;
            if (begin == next) {
                if (p < pages_.size())
                    pages.push_back(pages_[p]);
                continue;
            }
            std::vector<Entry<K>> merged;
            if (p < pages_.size())
                merged = entriesOf(*pages_[p]);
            for (const auto &[entry, keep] : changes.subspan(begin, next - begin)) {
                auto at = std::lower_bound(merged.begin(), merged.end(), entry, entryLess<K>);
                const bool found = at != merged.end() && !entryLess(entry, *at);
                if (found && keep)
                    *at = entry;
                else if (found)
                    merged.erase(at);
                else if (keep)
                    merged.insert(at, entry);
            }
            // Joins with the page before when both are small, so that removals leave no crumbs.
            if (!pages.empty() && pages.back()->blockCount + merged.size() < builtPageBlocks / 2) {
                auto joined = entriesOf(*pages.back());
                joined.insert(joined.end(), merged.begin(), merged.end());
                merged = std::move(joined);
                pages.pop_back();
            }
            if (merged.size() <= maxPageBlocks) {
                if (!merged.empty())
                    pages.push_back(makePage<K>(merged));
            } else {
                appendPages(merged, pages);
            }
        }
        BlockList list;
        list.setPages(std::move(pages));
        return list;
    }

    template <class F>
    void forEach(F &&visit) const
    {
        for (const auto &page : pages_) {
            for (std::size_t i = 0; i < page->blockCount; ++i)
                visit(page->entry(i));
        }
    }

    // Visits the blocks that start from "first" to "last" in their order. Returns the start of the
    // block after them, if there is one.
    template <class F>
    std::optional<K> forEachFrom(K first, K last, F &&visit) const
    {
        if (firstKeys_.empty())
            return std::nullopt;
        if (last < firstKeys_.front())
            return firstKeys_.front();
        // Blocks that start at the first key of a page may stand in the page before it as well.
        std::size_t p = first <= firstKeys_.front() ? 0 : pageOf(first - 1);
        std::size_t i = 0;
        for (std::size_t end = pages_[p]->blockCount; i < end;) {
            const std::size_t middle = (i + end) / 2;
            if (pages_[p]->entry(middle).start < first)
                i = middle + 1;
            else
                end = middle;
        }
        for (; p < pages_.size(); ++p, i = 0) {
            for (; i < pages_[p]->blockCount; ++i) {
                const auto entry = pages_[p]->entry(i);
                if (entry.start > last)
                    return entry.start;
                visit(entry);
            }
        }
        return std::nullopt;
    }

    bool empty() const { return pages_.empty(); }

    std::size_t blockCount() const
    {
        std::size_t count = 0;
        for (const auto &page : pages_)
            count += page->blockCount;
        return count;
    }

    std::size_t bytes() const
    {
        std::size_t total = pages_.capacity() * sizeof(PagePointer)
                + views_.capacity() * sizeof(View) + firstKeys_.bytes() + index_.bytes()
                + groups_.capacity() * sizeof(void *) + outers_.capacity() * sizeof(Entry<K>);
        for (const auto &page : pages_)
            total += page->bytes();
        return total;
    }

private:
    using PagePointer = std::shared_ptr<const Page<K>>;

    // The blocks of earlier pages that enclose the first block of a page, as places in "outers_".
    struct View
    {
        std::uint32_t outerBegin = 0;
        std::uint32_t outerEnd = 0;
    };

    static std::vector<Entry<K>> entriesOf(const Page<K> &page)
    {
        std::vector<Entry<K>> entries;
        entries.reserve(page.blockCount + 1);
        for (std::size_t i = 0; i < page.blockCount; ++i)
            entries.push_back(page.entry(i));
        return entries;
    }

    // Cuts the entries into pages of about equal size.
    static void appendPages(std::span<const Entry<K>> entries, std::vector<PagePointer> &pages)
    {
        const std::size_t count = (entries.size() + builtPageBlocks - 1) / builtPageBlocks;
        for (std::size_t p = 0; p < count; ++p) {
            const std::size_t begin = entries.size() * p / count;
            const std::size_t end = entries.size() * (p + 1) / count;
            pages.push_back(makePage<K>(entries.subspan(begin, end - begin)));
        }
    }

    // Sets the directory. The blocks of earlier pages that enclose a page's first block are the
    // last block of the page before, or blocks that enclose that one.
    void setPages(std::vector<PagePointer> pages)
    {
        pages_ = std::move(pages);
        views_.reserve(pages_.size());
        std::size_t groupCount = 0;
        for (const auto &page : pages_)
            groupCount += page->groups.size();
        std::vector<K> firstKeys;
        firstKeys.reserve(pages_.size());
        std::vector<K> groupKeys;
        groupKeys.reserve(groupCount);
        groups_.reserve(groupCount);
        std::vector<Entry<K>> enclosing;
        for (std::size_t p = 0; p < pages_.size(); ++p) {
            const auto &page = *pages_[p];
            const K firstKey = page.entry(0).start;
            if (p > 0)
                enclosing = enclosingBlocks(views_[p - 1], *pages_[p - 1], firstKey);
            View view{static_cast<std::uint32_t>(outers_.size()), 0};
            outers_.insert(outers_.end(), enclosing.begin(), enclosing.end());
            view.outerEnd = static_cast<std::uint32_t>(outers_.size());
            views_.push_back(view);
            firstKeys.push_back(firstKey);
            for (const auto &group : page.groups) {
                groupKeys.push_back(group.keys[0]);
                groups_.push_back(&group);
            }
        }
        firstKeys_ = KeyIndex<K>(std::move(firstKeys));
        index_ = KeyIndex<K>(std::move(groupKeys));
    }

    // Returns the last page whose first key is at most the address, which must not be below the
    // first key of all.
    std::size_t pageOf(K address) const { return firstKeys_.lastAtMost(address); }

    // Returns the blocks up to the end of a page that contain an address after it, shortest first.
    std::vector<Entry<K>> enclosingBlocks(const View &view, const Page<K> &page, K address) const
    {
        std::vector<Entry<K>> found;
        for (std::size_t i = page.blockCount - 1;;) {
            if (const auto entry = page.entry(i); contains(entry.start, entry.length, address))
                found.push_back(entry);
            const std::size_t distance = page.distance(i);
            if (distance == 0)
                break;
            i -= distance;
        }
        for (std::uint32_t outer = view.outerEnd; outer > view.outerBegin; --outer) {
            const auto &entry = outers_[outer - 1];
            if (contains(entry.start, entry.length, address))
                found.push_back(entry);
        }
        std::reverse(found.begin(), found.end());
        return found;
    }

    std::vector<PagePointer> pages_;
    std::vector<View> views_;
    KeyIndex<K> firstKeys_; // of pages
    KeyIndex<K> index_; // first keys of the groups of all pages
    std::vector<const Group<K> *> groups_;
    std::vector<Entry<K>> outers_;
};

} // namespace chestnutvane::internal
