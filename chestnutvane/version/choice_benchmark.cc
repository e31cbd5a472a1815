// Time and allocations of one routing decision: region choice and entry choice. Fails if a decision
// allocates in steady state; the time is only reported.
#include <benchmark/benchmark.h>

#include "chestnutvane/version/allocation_count.h"
#include "chestnutvane/version/entry_choice.h"
#include "chestnutvane/version/region_choice.h"

namespace chestnutvane {
namespace {

RuleSet makeRules(int regions)
{
    RuleSet rules;
    rules.services = {{"s"}};
    rules.clients.resize(1);
    for (int i = 0; i < regions; ++i) {
        const std::string name = "r" + std::to_string(i);
        rules.regions.push_back({name, {name + "-1"}});
        rules.targets.push_back({"t-" + name, "s", name + "-1", "127.0.0.1:1", 3, 330});
        rules.clients[0].regions.push_back({name, i + 1});
    }
    rules.moves = {{"m", "s", "r0", "r1", 50, 10}};
    return rules;
}

// Arguments: regions, instances, whether callers overflow.
void BM_RoutingDecision(benchmark::State &state)
{
    const int regions = static_cast<int>(state.range(0));
    const RegionPlan plan = value(makeRegionPlan(makeRules(regions)));
    std::vector<EntryInstance> instances;
    instances.reserve(state.range(1));
    for (int i = 0; i < state.range(1); ++i) {
        instances.push_back({"i" + std::to_string(i), static_cast<RegionId>(i % regions), 1, true});
    }
    const EntryTable table = makeEntryTable(instances, regions);
    const std::vector<double> progress = {0.5};
    std::vector<UnitCapacity> units(regions, {0.5, 0, 100});
    if (state.range(2) != 0)
        units.back() = {0, 1, 100};
    const std::vector<double> links(static_cast<std::size_t>(regions) * regions, 0.5);
    RegionChoice region;
    EntryChoice entries;
    std::uint64_t caller = 0;
    const auto decide = [&] {
        const std::uint64_t hash = hashPair(++caller, 1);
        chooseRegion(plan, {progress, units, links}, {0, 0, hash}, region);
        benchmark::DoNotOptimize(chooseEntries(table, region.region, hash, entries));
    };
    // The results keep their memory from one decision to the next.
    constexpr int warmUpDecisions = 1000;
    for (int i = 0; i < warmUpDecisions; ++i)
        decide();
    const std::size_t before = allocationCount();
    for (auto _ : state)
        decide();
    const std::size_t during = allocationCount() - before;
    state.counters["allocations"] = static_cast<double>(during);
    // The benchmark library itself allocates a few times around the loop.
    if (during > 16)
        state.SkipWithError("a routing decision allocates in steady state");
}
BENCHMARK(BM_RoutingDecision)
        ->Args({3, 9, 0})
        ->Args({3, 9, 1})
        ->Args({7, 830, 0})
        ->Args({7, 830, 1});

} // namespace
} // namespace chestnutvane

BENCHMARK_MAIN();
