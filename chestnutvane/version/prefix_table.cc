#include "chestnutvane/version/prefix_table.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "chestnutvane/version/ipv4_ranges.h"

namespace chestnutvane {

namespace internal {

using Key128 = unsigned __int128;

// Bits of a key and the types of the per-block data. "Meta" holds length - 1 in its lower bits and
// the distance to the enclosing block of the page (0 for none) above them. For IPv4 16 bits hold
// both, which with the key and the choice makes 7 bytes a block.
template <class K>
struct KeyTraits;

template <>
struct KeyTraits<std::uint32_t>
{
    using Meta = std::uint16_t;
    static constexpr int bits = 32;
    static constexpr int lengthBits = 5;
};

template <>
struct KeyTraits<std::uint64_t>
{
    using Meta = std::uint32_t;
    static constexpr int bits = 64;
    static constexpr int lengthBits = 6;
};

template <>
struct KeyTraits<Key128>
{
    using Meta = std::uint32_t;
    static constexpr int bits = 128;
    static constexpr int lengthBits = 7;
};

// The distance to the enclosing block has 11 bits for IPv4.
constexpr std::size_t maxPageBlocks = 2048;
// Pages are built three quarters full so that an added block rarely splits one.
constexpr std::size_t builtPageBlocks = 1536;
// 16 IPv4 keys fill one cache line.
constexpr std::size_t groupSize = 16;

// Slots of the directory for each page. With 8 most look-ups compare at most one page start.
constexpr std::size_t slotsPerPage = 8;

template <class K>
struct Entry
{
    K start = 0;
    std::uint8_t length = 0; // at least 1
    std::uint8_t choice = 0;
};

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

// Data of 16 blocks in a row. It lies together so that a look-up touches one or two places of the
// memory page, of which the second is fetched along with the first.
template <class K>
struct Group
{
    std::array<K, groupSize> keys; // after the last block: the largest key
    std::array<typename KeyTraits<K>::Meta, groupSize> metas;
    std::array<std::uint8_t, groupSize> choices;
};

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

// All blocks of one key width, except the block of length 0.
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

template <class K>
Entry<K> entryOf(const ClientBlock &block, std::uint8_t choice)
{
    return {keyOf<K>(block.start), block.length, choice};
}

// Bits of an IPv4 address that name its slice.
constexpr int sliceBits = 16;

// Makes the ranges of the given slices anew from the blocks.
Ipv4Ranges rangesWithSlices(const Ipv4Ranges &ranges, const BlockList<std::uint32_t> &blocks,
                            std::span<const SliceSpan> slices)
{
    return ranges.withSlices(slices, [&](std::uint32_t slice, SliceBlocks &found) {
        const std::uint32_t first = slice << sliceBits;
        found.enclosing = blocks.lookUp(first, sliceBits);
        blocks.forEachFrom(first, first | 0xffffU, [&](const auto &entry) {
            if (entry.length > sliceBits)
                found.blocks.push_back({entry.start, entry.length, entry.choice});
        });
    });
}

} // namespace internal

// Look-ups of IPv4 addresses use the ranges alone; the blocks are kept to list them and to make the
// ranges of an update. IPv6 blocks of up to 64 bits, which are nearly all, have keys of half the
// size. A longer block always wins over them, so that its list is asked first.
struct PrefixTable::Families
{
    internal::BlockList<std::uint32_t> v4;
    internal::Ipv4Ranges v4Ranges;
    internal::BlockList<std::uint64_t> v6;
    internal::BlockList<internal::Key128> v6Long;
    std::optional<std::uint8_t> v4Default; // the block 0.0.0.0/0
    std::optional<std::uint8_t> v6Default; // the block ::/0
};

PrefixTable::PrefixTable() : families_(std::make_shared<const Families>()) { }

PrefixTable::PrefixTable(std::shared_ptr<const Families> families) : families_(std::move(families))
{ }

Result<PrefixTable, PrefixTableError> PrefixTable::build(std::vector<BlockChoice> blocks)
{
    using namespace internal;
    const auto blockLess = [](const BlockChoice &a, const BlockChoice &b) {
        return a.block < b.block;
    };
    if (!std::is_sorted(blocks.begin(), blocks.end(), blockLess))
        std::sort(blocks.begin(), blocks.end(), blockLess);
    const auto same = [](const BlockChoice &a, const BlockChoice &b) { return a.block == b.block; };
    if (std::adjacent_find(blocks.begin(), blocks.end(), same) != blocks.end())
        return PrefixTableError::DuplicateBlock;

    auto families = std::make_shared<Families>();
    std::vector<Entry<std::uint32_t>> v4;
    std::vector<Entry<std::uint64_t>> v6;
    std::vector<Entry<Key128>> v6Long;
    for (const auto &[block, choice] : blocks) {
        const bool isV4 = block.start.family == IpFamily::V4;
        if (block.length == 0)
            (isV4 ? families->v4Default : families->v6Default) = choice;
        else if (isV4)
            v4.push_back(entryOf<std::uint32_t>(block, choice));
        else if (block.length <= 64)
            v6.push_back(entryOf<std::uint64_t>(block, choice));
        else
            v6Long.push_back(entryOf<Key128>(block, choice));
    }
    families->v4 = BlockList<std::uint32_t>::fromSorted(v4);
    if (!v4.empty()) {
        const SliceSpan all{0, 1U << sliceBits};
        families->v4Ranges = rangesWithSlices({}, families->v4, {&all, 1});
    }
    families->v6 = BlockList<std::uint64_t>::fromSorted(v6);
    families->v6Long = BlockList<Key128>::fromSorted(v6Long);
    return PrefixTable(std::move(families));
}

std::optional<std::uint8_t> PrefixTable::lookUp(const IpAddress &address) const
{
    using namespace internal;
    const auto &families = *families_;
    if (address.family == IpFamily::V4) {
        const auto found = families.v4Ranges.lookUp(keyOf<std::uint32_t>(address));
        return found ? found : families.v4Default;
    }
    if (!families.v6Long.empty()) {
        if (const auto found = families.v6Long.lookUp(keyOf<Key128>(address)); found)
            return found;
    }
    const auto found = families.v6.lookUp(keyOf<std::uint64_t>(address));
    return found ? found : families.v6Default;
}

PrefixTable PrefixTable::withChanges(std::span<const BlockChange> changes) const
{
    using namespace internal;
    std::map<ClientBlock, std::optional<std::uint8_t>> last;
    for (const auto &change : changes)
        last[change.block] = change.choice;

    auto families = std::make_shared<Families>(*families_);
    std::vector<std::pair<Entry<std::uint32_t>, bool>> v4;
    std::vector<std::pair<Entry<std::uint64_t>, bool>> v6;
    std::vector<std::pair<Entry<Key128>, bool>> v6Long;
    for (const auto &[block, choice] : last) {
        const bool isV4 = block.start.family == IpFamily::V4;
        const bool keep = choice.has_value();
        const std::uint8_t index = choice.value_or(0);
        if (block.length == 0)
            (isV4 ? families->v4Default : families->v6Default) = choice;
        else if (isV4)
            v4.emplace_back(entryOf<std::uint32_t>(block, index), keep);
        else if (block.length <= 64)
            v6.emplace_back(entryOf<std::uint64_t>(block, index), keep);
        else
            v6Long.emplace_back(entryOf<Key128>(block, index), keep);
    }
    if (!v4.empty()) {
        families->v4 = families_->v4.withChanges(v4);
        std::vector<SliceSpan> slices;
        slices.reserve(v4.size());
        for (const auto &[entry, keep] : v4) {
            const std::uint32_t first = entry.start >> sliceBits;
            const int spare = std::max(sliceBits - entry.length, 0);
            slices.push_back({first, first + (1U << spare)});
        }
        families->v4Ranges = rangesWithSlices(families_->v4Ranges, families->v4, slices);
    }
    if (!v6.empty())
        families->v6 = families_->v6.withChanges(v6);
    if (!v6Long.empty())
        families->v6Long = families_->v6Long.withChanges(v6Long);
    return PrefixTable(std::move(families));
}

std::vector<BlockChoice> PrefixTable::blocks() const
{
    using namespace internal;
    std::vector<BlockChoice> all;
    const auto add = [&all](const auto &entry) {
        all.push_back({{addressOf(entry.start), entry.length}, entry.choice});
    };
    if (families_->v4Default)
        all.push_back({{{0, 0, IpFamily::V4}, 0}, *families_->v4Default});
    families_->v4.forEach(add);
    const auto firstV6 = static_cast<std::ptrdiff_t>(all.size());
    if (families_->v6Default)
        all.push_back({{{0, 0, IpFamily::V6}, 0}, *families_->v6Default});
    families_->v6.forEach(add);
    families_->v6Long.forEach(add);
    std::sort(all.begin() + firstV6, all.end(),
              [](const BlockChoice &a, const BlockChoice &b) { return a.block < b.block; });
    return all;
}

PrefixTableSize PrefixTable::size() const
{
    return {families_->v4.blockCount(), families_->v4Ranges.bytes(), families_->v4.bytes(),
            families_->v6.blockCount() + families_->v6Long.blockCount(),
            families_->v6.bytes() + families_->v6Long.bytes()};
}

Result<ClientTable, PrefixTableError> compileClients(const std::vector<ClientsRule> &rules)
{
    ClientTable compiled;
    std::map<std::vector<std::pair<std::string, int>>, std::size_t> indexOf;
    std::vector<BlockChoice> blocks;
    for (const auto &rule : rules) {
        const auto block = parseClientBlock(rule.prefix);
        if (!isOk(block))
            return PrefixTableError::BadBlock;
        std::vector<std::pair<std::string, int>> list;
        for (const auto &[region, weight] : rule.regions)
            list.emplace_back(region, weight);
        const auto [at, isNew] = indexOf.emplace(std::move(list), compiled.choices.size());
        if (isNew)
            compiled.choices.push_back(rule.regions);
        if (compiled.choices.size() > maxRegionChoices)
            return PrefixTableError::TooManyChoices;
        blocks.push_back({value(block), static_cast<std::uint8_t>(at->second)});
    }
    auto table = PrefixTable::build(std::move(blocks));
    if (!isOk(table))
        return error(table);
    compiled.table = value(std::move(table));
    return compiled;
}

} // namespace chestnutvane
