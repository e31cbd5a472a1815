#include "chestnutvane/version/ipv4_ranges.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace chestnutvane::internal {

namespace {

constexpr std::uint32_t pageCount = 256;
constexpr std::uint32_t slicesPerPage = 256;
constexpr std::uint32_t sliceSize = 1U << 16U;

// A piece of n ranges takes n cells of 16 bits for the starts and (n + 1) / 2 for the choices, so
// that its size gives n.

constexpr std::size_t rangesOf(std::size_t cells)
{
    return cells * 2 / 3;
}

// The byte of a range without a choice. The choice 255 itself is written as two ranges with the
// same start, because all 256 values of the byte are choices.
constexpr std::uint8_t noChoice = 255;

// Pieces of up to this size are fetched at once: at 4.1 million blocks a piece has about 350 bytes,
// and its cache lines arrive together instead of one after the other.
constexpr std::size_t prefetchBytes = 512;
constexpr std::size_t cacheLine = 64;

// Counts the starts that are at most "key", for a sorted array. Halving stops at 32 starts, which
// are compared 8 at a time: each halving waits for a load, the comparisons do not wait.
std::size_t countStarts(const std::uint16_t *starts, std::size_t count, std::uint16_t key)
{
    using Lanes [[gnu::vector_size(16)]] = std::uint16_t;
    constexpr std::size_t laneCount = sizeof(Lanes) / sizeof(std::uint16_t);
    const std::uint16_t *base = starts;
    while (count > 4 * laneCount) {
        const std::size_t half = count / 2;
        base += static_cast<std::size_t>(base[half - 1] <= key) * half;
        count -= half;
    }
    Lanes counts{};
    std::size_t at = 0;
    for (; at + laneCount <= count; at += laneCount) {
        Lanes lanes;
        std::memcpy(&lanes, base + at, sizeof(lanes));
        counts -= static_cast<Lanes>(lanes <= key); // a true comparison has all bits set
    }
    std::size_t total = static_cast<std::size_t>(base - starts);
    for (std::size_t lane = 0; lane < laneCount; ++lane)
        total += counts[lane];
    for (; at < count; ++at)
        total += static_cast<std::size_t>(base[at] <= key);
    return total;
}

// Writes the ranges of slices. The buffers are kept from one slice to the next: most slices have a
// single range, and a build visits all 65,536.
class SliceWriter
{
public:
    // Appends the ranges of a slice.
    void append(const SliceBlocks &slice, std::vector<std::uint16_t> &cells)
    {
        changes_.clear();
        set(0, slice.enclosing);
        open_.assign(1, {sliceSize, slice.enclosing});
        for (const auto &block : slice.blocks) {
            const std::uint32_t start = block.start % sliceSize;
            closeUntil(start);
            set(start, block.choice);
            open_.push_back({start + (1U << (32U - block.length)), block.choice});
        }
        closeUntil(sliceSize);
        appendChanges(cells);
    }

private:
    struct Open
    {
        std::uint32_t end;
        std::optional<std::uint8_t> choice;
    };

    // Notes a place where the choice changes. Before the first there is none.
    void set(std::uint32_t start, std::optional<std::uint8_t> choice)
    {
        if (!changes_.empty() && changes_.back().first == start)
            changes_.pop_back();
        if (choice != (changes_.empty() ? std::nullopt : changes_.back().second))
            changes_.emplace_back(start, choice);
    }

    void closeUntil(std::uint32_t place)
    {
        while (open_.size() > 1 && open_.back().end <= place) {
            const std::uint32_t end = open_.back().end;
            open_.pop_back();
            if (end < sliceSize)
                set(end, open_.back().choice);
        }
    }

    void appendChanges(std::vector<std::uint16_t> &cells)
    {
        choices_.clear();
        for (const auto &[start, choice] : changes_) {
            const std::size_t copies = choice == noChoice ? 2 : 1;
            cells.insert(cells.end(), copies, static_cast<std::uint16_t>(start));
            choices_.insert(choices_.end(), copies, choice.value_or(noChoice));
        }
        const std::size_t begin = cells.size();
        cells.resize(begin + (choices_.size() + 1) / 2);
        std::copy(choices_.begin(), choices_.end(),
                  reinterpret_cast<std::uint8_t *>(cells.data() + begin));
    }

    std::vector<std::pair<std::uint32_t, std::optional<std::uint8_t>>> changes_;
    std::vector<std::uint8_t> choices_;
    std::vector<Open> open_;
};

} // namespace

struct Ipv4Ranges::Page
{
    std::vector<std::uint16_t> cells;
    std::vector<std::uint16_t> narrow; // used if the cells can be counted in 16 bits
    std::vector<std::uint32_t> wide; // used otherwise

    View view() const
    {
        return {cells.data(), narrow.empty() ? nullptr : narrow.data(),
                wide.empty() ? nullptr : wide.data()};
    }

    std::size_t bytes() const
    {
        // 16 bytes for each of the allocator's headers and for the count of the shared pointer.
        return sizeof(Page) + 4 * std::size_t{16} + cells.capacity() * sizeof(std::uint16_t)
                + narrow.capacity() * sizeof(std::uint16_t)
                + wide.capacity() * sizeof(std::uint32_t);
    }
};

std::optional<std::uint8_t> Ipv4Ranges::lookUp(std::uint32_t address) const
{
    if (views_.empty())
        return std::nullopt;
    const View &view = views_[address >> 24U];
    const std::uint32_t slice = (address >> 16U) % slicesPerPage;
    std::size_t begin = 0;
    std::size_t end = 0;
    if (view.narrow != nullptr) {
        begin = view.narrow[slice];
        end = view.narrow[slice + 1];
    } else if (view.wide != nullptr) {
        begin = view.wide[slice];
        end = view.wide[slice + 1];
    }
    const std::size_t count = rangesOf(end - begin);
    if (count == 0)
        return std::nullopt;
    const std::uint16_t *starts = view.cells + begin;
    const auto *choices = reinterpret_cast<const std::uint8_t *>(starts + count);
    const std::size_t fetched = std::min((end - begin) * sizeof(std::uint16_t), prefetchBytes);
    for (std::size_t at = 0; at < fetched; at += cacheLine)
        __builtin_prefetch(reinterpret_cast<const std::uint8_t *>(starts) + at);
    const std::size_t found = countStarts(starts, count, static_cast<std::uint16_t>(address));
    if (found == 0)
        return std::nullopt;
    const std::uint8_t choice = choices[found - 1];
    if (choice == noChoice && (found < 2 || starts[found - 2] != starts[found - 1]))
        return std::nullopt;
    return choice;
}

Ipv4Ranges Ipv4Ranges::withSlices(std::span<const SliceSpan> slices,
                                  const SliceSource &source) const
{
    Ipv4Ranges result = *this;
    result.pages_.resize(pageCount);
    result.views_.resize(pageCount);
    SliceBlocks blocks;
    SliceWriter writer;
    std::size_t nextSpan = 0;
    std::uint32_t newUntil = 0; // end of the slices of the spans before "nextSpan"
    for (std::uint32_t p = 0; p < pageCount; ++p) {
        const std::uint32_t firstSlice = p * slicesPerPage;
        // The spans are sorted, so that each is read once and overlaps are not marked again.
        std::array<bool, slicesPerPage> isNew{};
        bool anyNew = false;
        for (std::uint32_t i = 0; i < slicesPerPage; ++i) {
            const std::uint32_t slice = firstSlice + i;
            for (; nextSpan < slices.size() && slices[nextSpan].begin <= slice; ++nextSpan)
                newUntil = std::max(newUntil, slices[nextSpan].end);
            isNew[i] = slice < newUntil;
            anyNew = anyNew || isNew[i];
        }
        if (!anyNew)
            continue;
        const Page *old = result.pages_[p].get();
        auto page = std::make_shared<Page>();
        std::vector<std::uint32_t> offsets = {0};
        if (old != nullptr)
            page->cells.reserve(old->cells.size() + 64);
        for (std::uint32_t i = 0; i < slicesPerPage; ++i) {
            if (isNew[i]) {
                blocks.enclosing.reset();
                blocks.blocks.clear();
                source(firstSlice + i, blocks);
                writer.append(blocks, page->cells);
            } else if (old != nullptr) {
                const auto offset = [&](std::uint32_t at) {
                    return static_cast<std::ptrdiff_t>(old->wide.empty() ? old->narrow[at]
                                                                         : old->wide[at]);
                };
                page->cells.insert(page->cells.end(), old->cells.begin() + offset(i),
                                   old->cells.begin() + offset(i + 1));
            }
            offsets.push_back(static_cast<std::uint32_t>(page->cells.size()));
        }
        page->cells.shrink_to_fit();
        if (page->cells.empty())
            page.reset();
        else if (page->cells.size() <= UINT16_MAX)
            page->narrow.assign(offsets.begin(), offsets.end());
        else
            page->wide = std::move(offsets);
        if (page)
            page->wide.shrink_to_fit();
        result.views_[p] = page ? page->view() : View();
        result.pages_[p] = std::move(page);
    }
    return result;
}

std::size_t Ipv4Ranges::bytes() const
{
    std::size_t total = pages_.capacity() * sizeof(pages_[0]) + views_.capacity() * sizeof(View);
    for (const auto &page : pages_)
        total += page ? page->bytes() : 0;
    return total;
}

} // namespace chestnutvane::internal
