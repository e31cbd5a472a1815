#include "chestnutvane/version/entry_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

namespace {

constexpr std::uint64_t instanceSeed = 5;
constexpr std::uint64_t groupSeed = 6;

// Appends up to "wanted" instances of a region: the best of the group that the caller ranks first,
// then of the second, and so on, in further rounds if there are fewer groups than wanted.
void draw(const EntryTable &table, const EntryTable::Region &region, std::uint64_t caller,
          std::size_t wanted, bool isFallback, EntryChoice &choice)
{
    std::array<std::pair<double, const EntryTable::Group *>, maxRegionEntries> ranked;
    std::size_t used = 0;
    for (const EntryTable::Group &group : region.groups) {
        if (group.begin == group.end)
            continue;
        const double lowest = used < wanted ? -1 : ranked[used - 1].first;
        const double score = weightedScoreAbove(hashPair(caller, group.hash), group.weight, lowest);
        if (score <= lowest)
            continue;
        std::size_t place = used < wanted ? used++ : used - 1;
        for (; place > 0 && ranked[place - 1].first < score; --place)
            ranked[place] = ranked[place - 1];
        ranked[place] = {score, &group};
    }

    const std::size_t start = choice.count;
    bool found = true;
    for (int round = 0; found && choice.count < start + wanted; ++round) {
        found = false;
        for (std::size_t i = 0; i < used && choice.count < start + wanted; ++i) {
            const EntryTable::Entry *best = nullptr;
            double bestScore = -1;
            for (std::uint32_t e = ranked[i].second->begin; e < ranked[i].second->end; ++e) {
                const EntryTable::Entry &entry = table.entries[e];
                const bool isListed = round > 0
                        && std::any_of(choice.picks.begin() + start,
                                       choice.picks.begin() + choice.count,
                                       [&](const EntryPick &pick) {
                                           return pick.instance == entry.instance;
                                       });
                if (isListed)
                    continue;
                // With equal weights the order of the scores is that of the hashes, and the
                // logarithm, the larger part of the time, is left out.
                const std::uint64_t hash = hashPair(caller, entry.hash);
                const double score = ranked[i].second->equalWeights
                        ? unitInterval(hash)
                        : weightedScoreAbove(hash, entry.weight, bestScore);
                if (score > bestScore) {
                    best = &entry;
                    bestScore = score;
                }
            }
            if (best) {
                choice.picks[choice.count++] = {best->instance, isFallback ? 0 : best->weight};
                found = true;
            }
        }
    }
}

} // namespace

EntryTable makeEntryTable(std::span<const EntryInstance> instances, std::size_t regionCount)
{
    struct Placed
    {
        std::size_t region;
        std::size_t group;
        EntryTable::Entry entry;
    };
    std::vector<Placed> placed;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const EntryInstance &instance = instances[i];
        if (!instance.liveAndServing || !(instance.weight > 0))
            continue;
        const std::uint64_t hash = hash64(instance.id, instanceSeed);
        placed.push_back({std::min<std::size_t>(instance.region, regionCount),
                          hash % EntryTable::groupCount,
                          {static_cast<std::uint32_t>(i), hash, instance.weight}});
    }
    std::sort(placed.begin(), placed.end(), [](const Placed &a, const Placed &b) {
        return std::tie(a.region, a.group, a.entry.hash)
                < std::tie(b.region, b.group, b.entry.hash);
    });

    EntryTable table;
    table.regions.resize(regionCount + 1);
    auto next = placed.begin();
    for (std::size_t r = 0; r <= regionCount; ++r) {
        EntryTable::Region &region = table.regions[r];
        region.hash = hash64("region", groupSeed + r);
        for (std::size_t g = 0; g < EntryTable::groupCount; ++g) {
            EntryTable::Group &group = region.groups[g];
            group.hash = hashPair(region.hash, g);
            group.begin = static_cast<std::uint32_t>(table.entries.size());
            for (; next != placed.end() && next->region == r && next->group == g; ++next) {
                table.entries.push_back(next->entry);
                group.weight += next->entry.weight;
                if (next->entry.weight != table.entries[group.begin].weight)
                    group.equalWeights = false;
            }
            group.end = static_cast<std::uint32_t>(table.entries.size());
            region.weight += group.weight;
        }
    }
    return table;
}

EntryOutcome chooseEntries(const EntryTable &table, RegionId region, std::uint64_t caller,
                           EntryChoice &choice)
{
    choice.count = 0;
    const std::size_t known = table.regions.empty() ? 0 : table.regions.size() - 1;
    if (region < known)
        draw(table, table.regions[region], caller, maxRegionEntries, false, choice);
    const bool hasOwn = choice.count > 0;

    // One instance of each of the two other regions that the caller ranks first; both of the same
    // region if there is no second one.
    std::array<std::pair<double, const EntryTable::Region *>, 2> best{};
    for (std::size_t r = 0; r < table.regions.size(); ++r) {
        const EntryTable::Region &other = table.regions[r];
        if (other.weight <= 0 || (hasOwn && r == region))
            continue;
        const double score = weightedScoreAbove(hashPair(caller, other.hash), other.weight,
                                                best[1].second ? best[1].first : -1);
        if (!best[0].second || score > best[0].first) {
            best[1] = best[0];
            best[0] = {score, &other};
        } else if (!best[1].second || score > best[1].first) {
            best[1] = {score, &other};
        }
    }
    if (best[0].second)
        draw(table, *best[0].second, caller, best[1].second ? 1 : maxFallbackEntries, hasOwn,
             choice);
    if (best[1].second)
        draw(table, *best[1].second, caller, 1, hasOwn, choice);

    if (hasOwn)
        return EntryOutcome::Chosen;
    return choice.count > 0 ? EntryOutcome::FallbackOnly : EntryOutcome::NoLiveInstance;
}

} // namespace chestnutvane
