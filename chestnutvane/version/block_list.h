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
#include "chestnutvane/version/sorted_count.h"

namespace chestnutvane::internal {

// Slots of the directory for each page. With 8 most look-ups compare at most one page start.
inline constexpr std::size_t slotsPerPage = 8;

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

    // Returns the choice of the longest block of at most "longest" bits that contains the address.
    std::optional<std::uint8_t> lookUp(K address, int longest = KeyTraits<K>::bits) const
    {
        if (firstKeys_.empty() || address < firstKeys_[0])
            return std::nullopt;
        const View &view = views_[pageOf(address)];
        const std::size_t g = countAtMost(view.samples, view.sampleCount, address) - 1;
        const Group<K> &group = view.groups[g];
        // The choices stand at the end of the group, in another cache line than the keys.
        __builtin_prefetch(group.choices.data());
        std::size_t atMost = 0;
        for (const K key : group.keys)
            atMost += static_cast<std::size_t>(key <= address);
        // The padding equals the largest address, so that the count may pass the last block.
        std::size_t i = std::min<std::size_t>(g * groupSize + atMost, view.blockCount) - 1;
        while (true) {
            constexpr int lengthBits = KeyTraits<K>::lengthBits;
            const Group<K> &at = view.groups[i / groupSize];
            const std::size_t meta = at.metas[i % groupSize];
            const int length = static_cast<int>(meta & ((1U << lengthBits) - 1)) + 1;
            if (length <= longest && contains(at.keys[i % groupSize], length, address))
                return at.choices[i % groupSize];
            const std::size_t distance = meta >> lengthBits;
            if (distance == 0)
                break;
            i -= distance;
        }
        for (std::uint32_t outer = view.outerEnd; outer > view.outerBegin; --outer) {
            const auto &entry = outers_[outer - 1];
            if (entry.length <= longest && contains(entry.start, entry.length, address))
                return entry.choice;
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

    // Visits the blocks that start from "first" to "last" in their order.
    template <class F>
    void forEachFrom(K first, K last, F &&visit) const
    {
        if (firstKeys_.empty() || last < firstKeys_[0])
            return;
        // Blocks that start at the first key of a page may stand in the page before it as well.
        std::size_t p = first <= firstKeys_[0] ? 0 : pageOf(first - 1);
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
                    return;
                visit(entry);
            }
        }
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
                + views_.capacity() * sizeof(View) + firstKeys_.capacity() * sizeof(K)
                + outers_.capacity() * sizeof(Entry<K>);
        for (const auto &page : pages_)
            total += page->bytes();
        return total;
    }

private:
    using PagePointer = std::shared_ptr<const Page<K>>;

    // What a look-up needs of a page, without the step over the page object.
    struct View
    {
        const Group<K> *groups = nullptr;
        const K *samples = nullptr;
        std::uint32_t blockCount = 0;
        std::uint32_t sampleCount = 0;
        std::uint32_t outerBegin = 0; // blocks of earlier pages that enclose the page's first block
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
        firstKeys_.reserve(pages_.size());
        std::vector<Entry<K>> enclosing;
        for (std::size_t p = 0; p < pages_.size(); ++p) {
            const auto &page = *pages_[p];
            View view{page.groups.data(),
                      page.samples.data(),
                      static_cast<std::uint32_t>(page.blockCount),
                      static_cast<std::uint32_t>(page.samples.size()),
                      static_cast<std::uint32_t>(outers_.size()),
                      0};
            if (p > 0)
                enclosing = enclosingBlocks(views_[p - 1], *pages_[p - 1], page.samples[0]);
            outers_.insert(outers_.end(), enclosing.begin(), enclosing.end());
            view.outerEnd = static_cast<std::uint32_t>(outers_.size());
            views_.push_back(view);
            firstKeys_.push_back(page.samples[0]);
        }
        buildHints();
    }

    // Cuts the space between the first and the last page's first key into equal slots, and notes
    // for each how many pages start before it.
    void buildHints()
    {
        if (firstKeys_.empty())
            return;
        const K span = firstKeys_.back() - firstKeys_[0];
        while ((span >> hintShift_) >= firstKeys_.size() * slotsPerPage)
            ++hintShift_;
        const auto slots = static_cast<std::size_t>(span >> hintShift_) + 1;
        hints_.reserve(slots + 1);
        std::uint32_t before = 0;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const K start = firstKeys_[0] + (static_cast<K>(slot) << hintShift_);
            while (before < firstKeys_.size() && firstKeys_[before] < start)
                ++before;
            hints_.push_back(before);
        }
        hints_.push_back(static_cast<std::uint32_t>(firstKeys_.size()));
    }

    // Returns the last page whose first key is at most the address, which must not be below the
    // first key of all.
    std::size_t pageOf(K address) const
    {
        const std::size_t slot = static_cast<std::size_t>(
                std::min<K>((address - firstKeys_[0]) >> hintShift_, hints_.size() - 2));
        const std::size_t from = hints_[slot];
        const std::size_t count = hints_[slot + 1] - from;
        return from + countAtMost(firstKeys_.data() + from, count, address) - 1;
    }

    // Returns the blocks up to the end of a page that contain an address after it, shortest first.
    std::vector<Entry<K>> enclosingBlocks(const View &view, const Page<K> &page, K address) const
    {
        std::vector<Entry<K>> found;
        for (std::size_t i = page.blockCount - 1;;) {
            if (const auto entry = page.entry(i); contains(entry.start, entry.length, address))
                found.push_back(entry);
            const std::size_t distance = page.meta(i) >> KeyTraits<K>::lengthBits;
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
    std::vector<K> firstKeys_;
    std::vector<std::uint32_t> hints_;
    int hintShift_ = 0;
    std::vector<Entry<K>> outers_;
};

} // namespace chestnutvane::internal
