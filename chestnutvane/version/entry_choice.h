// Picks the ordered, weighted list of instances of a look-up answer (design page, section 6).
//
// Example:
//
//   EntryTable table = makeEntryTable(instances, regionCount);    // at each membership change
//   EntryChoice choice;
//   if (chooseEntries(table, region, callerHash("10.1.2.3"), choice) ==
//   EntryOutcome::NoLiveInstance)
//       refuse(Outcome::NotRun, Reason::Leaving);
//
// All functions may be called from any thread at the same time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "chestnutvane/version/region_choice.h"

namespace chestnutvane {

inline constexpr std::size_t maxRegionEntries = 4; // of the chosen region
inline constexpr std::size_t maxFallbackEntries = 2; // of other regions
inline constexpr std::size_t maxEntries = maxRegionEntries + maxFallbackEntries;

// An instance that may be listed.
struct EntryInstance
{
    std::string id;
    RegionId region = noRegion;
    double weight = 1; // share of the region's callers relative to the other instances
    bool liveAndServing = false; // heard within the silence limit and not joining or leaving
};

// The listable instances, prepared for fast choices. Instances of a region are split by the hash
// of their id into a fixed number of groups, so that a choice scores the groups and then one group
// in place of all instances.
struct EntryTable
{
    static constexpr std::size_t groupCount = 16;
    struct Entry
    {
        std::uint32_t instance = 0; // index in the span the table was made from
        std::uint64_t hash = 0;
        double weight = 0;
    };
    struct Group
    {
        std::uint32_t begin = 0; // range in "entries"
        std::uint32_t end = 0;
        std::uint64_t hash = 0;
        double weight = 0; // sum of the entries' weights
        bool equalWeights = true;
    };

    struct Region
    {
        std::array<Group, groupCount> groups;
        std::uint64_t hash = 0;
        double weight = 0; // sum of the entries' weights
    };

    std::vector<Entry> entries;
    std::vector<Region> regions; // by region; the last holds instances without a known region
};

// Prepares a table. Instances that are not live and serving, or have no positive weight, are left
// out; those with a region not below regionCount are used as fall-back only.
EntryTable makeEntryTable(std::span<const EntryInstance> instances, std::size_t regionCount);

enum class EntryOutcome {
    Chosen, // starts with an instance of the region
    FallbackOnly, // the region has no live instance; instances of other regions are listed
    NoLiveInstance, // the list is empty; the look-up is refused
};

inline constexpr EnumName<EntryOutcome> entryOutcomeNames[] = {
        {EntryOutcome::Chosen, "chosen"},
        {EntryOutcome::FallbackOnly, "fallback-only"},
        {EntryOutcome::NoLiveInstance, "no-live-instance"},
};

struct EntryPick
{
    std::uint32_t instance = 0; // index in the span the table was made from
    double weight = 0; // 0: fall-back, used only when all before it have failed

    friend bool operator==(const EntryPick &, const EntryPick &) = default;
};

// The answer. Reuse one object per thread.
struct EntryChoice
{
    std::size_t count = 0;
    std::array<EntryPick, maxEntries> picks;

    std::span<const EntryPick> list() const { return {picks.data(), count}; }
};

// Lists the instances for a caller: up to maxRegionEntries of the region, then up to
// maxFallbackEntries of other regions. The first instance is drawn by the caller's hash with a
// probability in proportion to its weight. If the region has no live instance, the fall-back
// entries get their own weights. Allocates nothing.
EntryOutcome chooseEntries(const EntryTable &table, RegionId region, std::uint64_t caller,
                           EntryChoice &choice);

} // namespace chestnutvane
