// Longest-prefix match from a client address to the index of a region choice.
//
// Example:
//
//   auto table = PrefixTable::build({{*block, 3}});
//   std::optional<std::uint8_t> choice = value(table).lookUp(*address);
//   auto next = value(table).withChanges({{{*block, std::nullopt}}}); // removes the block
//
// The blocks of a family are kept sorted by start and length, in pages of at most 2048. A page is
// immutable and shared by all tables that contain it, so that a change of a few blocks copies only
// the pages that hold them. IPv4 blocks are also flattened to ranges that do not overlap
// (ipv4_ranges.h), which look-ups use. A look-up of an IPv6 address finds the last block that
// starts at or before it, through an index of the first keys of groups of 64 blocks (key_index.h);
// the longest match is that block or one that encloses it, and each block knows the nearest one
// that encloses it inside its page.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/version/client_block.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

// A block with the index of its region choice.
struct BlockChoice
{
    ClientBlock block;
    std::uint8_t choice = 0;

    friend bool operator==(const BlockChoice &, const BlockChoice &) = default;
};

// Sets the choice of a block, or removes the block if "choice" is empty.
struct BlockChange
{
    ClientBlock block;
    std::optional<std::uint8_t> choice;
};

// Why a table cannot be built.
enum class PrefixTableError {
    DuplicateBlock, // the same block is given twice
    BadBlock, // a rule's block is not in CIDR form
    TooManyChoices, // more than 256 different lists of weighted regions
};

inline constexpr EnumName<PrefixTableError> prefixTableErrorNames[] = {
        {PrefixTableError::DuplicateBlock, "duplicate-block"},
        {PrefixTableError::BadBlock, "bad-block"},
        {PrefixTableError::TooManyChoices, "too-many-choices"},
};

// Memory of a table by family, with all arrays, page headers and directories. Look-ups of IPv4
// addresses use "v4Bytes"; the blocks kept beside them for updates take "v4UpdateBytes". For IPv6
// the same blocks serve both.
struct PrefixTableSize
{
    std::size_t v4Blocks = 0;
    std::size_t v4Bytes = 0;
    std::size_t v4UpdateBytes = 0;
    std::size_t v6Blocks = 0;
    std::size_t v6Bytes = 0;
};

// Immutable; a copy shares the data. All functions may be called from any number of threads.
class PrefixTable
{
public:
    // A table without blocks.
    PrefixTable();

    // Builds a table from blocks in any order.
    static Result<PrefixTable, PrefixTableError> build(std::vector<BlockChoice> blocks);

    // Returns the choice of the longest block that contains the address, or nothing.
    std::optional<std::uint8_t> lookUp(const IpAddress &address) const;

    // Returns a table with the changes applied in order; this table stays as it is. Removing a
    // block that is not there changes nothing. The result shares all pages without a change.
    PrefixTable withChanges(std::span<const BlockChange> changes) const;

    // Returns all blocks, IPv4 first, each family sorted by start and length.
    std::vector<BlockChoice> blocks() const;

    PrefixTableSize size() const;

private:
    struct Families;

    explicit PrefixTable(std::shared_ptr<const Families> families);

    std::shared_ptr<const Families> families_;
};

// The compiled "clients" rules of a revision: "choices" is indexed by the results of the table.
struct ClientTable
{
    PrefixTable table;
    std::vector<std::vector<WeightedRegion>> choices;
};

// Largest number of different lists of weighted regions in one revision. A choice takes one byte.
inline constexpr std::size_t maxRegionChoices = 256;

// Compiles the "clients" rules. Equal lists of weighted regions share one choice.
Result<ClientTable, PrefixTableError> compileClients(const std::vector<ClientsRule> &rules);

} // namespace chestnutvane
