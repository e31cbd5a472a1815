#include "chestnutvane/version/prefix_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include "chestnutvane/version/block_list.h"
#include "chestnutvane/version/client_key.h"
#include "chestnutvane/version/ipv4_ranges.h"

namespace chestnutvane {

namespace internal {

// Bits of an IPv4 address that name its slice.
constexpr int sliceBits = 16;

// Reads the blocks of slices in ascending order. A build reads all 65,536 slices, most of which no
// block starts in: those are answered from the slice before, without a search.
class SliceReader
{
public:
    explicit SliceReader(const BlockList<std::uint32_t> &blocks) : blocks_(blocks) { }

    void read(std::uint32_t slice, SliceBlocks &found)
    {
        const std::uint32_t first = slice << sliceBits;
        const std::uint32_t last = first | 0xffffU;
        const bool startsNone = isRead_ && (!next_ || *next_ > last);
        // Without a new block the enclosing one stays the same until it ends.
        if (!startsNone || (enclosing_ && !contains(enclosing_->start, enclosing_->length, first)))
            enclosing_ = blocks_.find(first, sliceBits);
        if (enclosing_)
            found.enclosing = enclosing_->choice;
        if (startsNone)
            return;
        next_ = blocks_.forEachFrom(first, last, [&](const auto &entry) {
            if (entry.length > sliceBits)
                found.blocks.push_back({entry.start, entry.length, entry.choice});
        });
        isRead_ = true;
    }

private:
    const BlockList<std::uint32_t> &blocks_;
    bool isRead_ = false;
    std::optional<std::uint32_t> next_; // start of the first block after the last search
    std::optional<Entry<std::uint32_t>> enclosing_; // of the slice read last
};

// Makes the ranges of the given slices anew from the blocks.
Ipv4Ranges rangesWithSlices(const Ipv4Ranges &ranges, const BlockList<std::uint32_t> &blocks,
                            std::span<const SliceSpan> slices)
{
    SliceReader reader(blocks);
    return ranges.withSlices(slices, [&reader](std::uint32_t slice, SliceBlocks &found) {
        reader.read(slice, found);
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
