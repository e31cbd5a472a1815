// IPv4 blocks flattened to ranges that do not overlap, for look-ups with one memory access.
//
// Example:
//
//   Ipv4Ranges ranges = Ipv4Ranges().withSlices({{{0x0a01, 0x0a02}}}, [](auto slice, auto &blocks)
//   {
//       blocks.blocks = blocksInside(slice);
//   });
//   std::optional<std::uint8_t> choice = ranges.lookUp(0x0a010203);
//
// A slice is the addresses with the same upper 16 bits. Its ranges lie in one contiguous piece: the
// lower 16 bits of each range's first address, then one choice each. The 256 slices with the same
// upper 8 bits share a page, which is immutable and shared by all tables that contain it. A page
// for each slice would need a pointer and an allocation for each, 2 bytes a block more than the
// bound of 8 at 100,000 blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace chestnutvane::internal {

struct SliceBlock
{
    std::uint32_t start = 0;
    std::uint8_t length = 0; // 17 to 32
    std::uint8_t choice = 0;
};

// The blocks that decide about the addresses of a slice.
struct SliceBlocks
{
    std::optional<std::uint8_t> enclosing; // choice of the longest block of 16 bits or fewer
    std::vector<SliceBlock> blocks; // sorted by start and length
};

// Slices from "begin" to before "end".
struct SliceSpan
{
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
};

// Fills in the blocks of a slice. The argument is empty at the call. Slices are asked for in
// ascending order.
using SliceSource = std::function<void(std::uint32_t slice, SliceBlocks &blocks)>;

// Immutable; a copy shares the data. All functions may be called from any number of threads.
class Ipv4Ranges
{
public:
    // Returns the choice of the range that contains the address, or nothing.
    std::optional<std::uint8_t> lookUp(std::uint32_t address) const;

    // Returns ranges in which the given slices are made anew from the source. The spans are sorted
    // and may overlap. Pages without such a slice are shared.
    Ipv4Ranges withSlices(std::span<const SliceSpan> slices, const SliceSource &source) const;

    // Bytes of all pages with their headers and of the directory.
    std::size_t bytes() const;

private:
    struct Page;

    // What a look-up needs of a page. One of "narrow" and "wide" holds the begin of the piece of
    // each slice, in cells, and after them the end of the last; both are null without a page.
    struct View
    {
        const std::uint16_t *cells = nullptr;
        const std::uint16_t *narrow = nullptr;
        const std::uint32_t *wide = nullptr;
    };

    std::vector<std::shared_ptr<const Page>> pages_; // 256, or none if there is no range at all
    std::vector<View> views_; // as many as pages
};

} // namespace chestnutvane::internal
