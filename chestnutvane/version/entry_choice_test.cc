#include "chestnutvane/version/entry_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "chestnutvane/version/allocation_count.h"

namespace chestnutvane {
namespace {

std::vector<EntryInstance> genInstances(std::size_t regions)
{
    std::vector<EntryInstance> instances;
    const int count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
        const int region = *rc::gen::inRange(0, static_cast<int>(regions) + 1);
        instances.push_back(
                {"i" + std::to_string(i),
                 region == static_cast<int>(regions) ? noRegion : static_cast<RegionId>(region),
                 *rc::gen::inRange(0, 5) * 1.0, *rc::gen::arbitrary<bool>()});
    }
    return instances;
}

// Guards against a leaving, silent or doubled instance in an answer, a fall-back before the chosen
// region, and an answer with fewer instances than a plain scan of all instances finds.
RC_GTEST_PROP(EntryChoiceTest, ListsWhatAScanOfAllInstancesAllows, (std::uint64_t caller))
{
    constexpr std::size_t regions = 3;
    const std::vector<EntryInstance> instances = genInstances(regions);
    const RegionId region = *rc::gen::inRange<RegionId>(0, regions);
    EntryChoice choice;
    const EntryOutcome outcome
            = chooseEntries(makeEntryTable(instances, regions), region, caller, choice);

    std::size_t own = 0;
    std::map<RegionId, std::size_t> others;
    for (const EntryInstance &instance : instances) {
        if (!instance.liveAndServing || instance.weight <= 0)
            continue;
        if (instance.region == region)
            ++own;
        else
            ++others[instance.region];
    }
    std::size_t fallback = 0;
    for (const auto &[other, count] : others)
        fallback += count;
    fallback = std::min(fallback, maxFallbackEntries);
    const std::size_t listed = std::min(own, maxRegionEntries);
    RC_ASSERT(choice.count == listed + fallback);
    RC_ASSERT(outcome
              == (own > 0                ? EntryOutcome::Chosen
                          : fallback > 0 ? EntryOutcome::FallbackOnly
                                         : EntryOutcome::NoLiveInstance));
    std::set<std::uint32_t> seen;
    for (std::size_t i = 0; i < choice.count; ++i) {
        const EntryInstance &instance = instances[choice.picks[i].instance];
        RC_ASSERT(instance.liveAndServing);
        RC_ASSERT(seen.insert(choice.picks[i].instance).second);
        RC_ASSERT((instance.region == region) == (i < listed));
        RC_ASSERT((choice.picks[i].weight > 0) == (i < listed || own == 0));
    }
}

// Guards against load that does not follow the weights: compares the share of first places with
// the weights, also at the target size and after one instance has gone.
TEST(EntryChoiceTest, FirstPlacesFollowTheWeights)
{
    for (const std::size_t count : {10U, 119U}) {
        std::vector<EntryInstance> instances;
        for (std::size_t i = 0; i < count; ++i)
            instances.push_back(
                    {"i" + std::to_string(i), 0, 1.0 + static_cast<double>(i % 3), true});
        for (const bool isGone : {false, true}) {
            instances[1].liveAndServing = !isGone;
            const EntryTable table = makeEntryTable(instances, 1);
            std::vector<double> first(count);
            double totalWeight = 0;
            for (const EntryInstance &instance : instances)
                totalWeight += instance.liveAndServing ? instance.weight : 0;
            constexpr int callers = 200000;
            EntryChoice choice;
            for (int i = 0; i < callers; ++i) {
                chooseEntries(table, 0, callerHash(std::to_string(i)), choice);
                first[choice.picks[0].instance] += 1;
            }
            for (std::size_t i = 0; i < count; ++i) {
                const double expected = instances[i].liveAndServing
                        ? callers * instances[i].weight / totalWeight
                        : 0;
                // Five standard deviations of a binomial count.
                EXPECT_NEAR(first[i], expected, 5 * std::sqrt(expected)) << count << " " << i;
            }
        }
    }
}

// Guards against allocations on the path of a routing decision.
TEST(EntryChoiceTest, RoutingDecisionAllocatesNothing)
{
    RuleSet rules;
    rules.services = {{"s"}};
    rules.regions = {{"a", {"a1"}}, {"b", {"b1"}}};
    rules.clients = {{"::/0", {{"a", 1}, {"b", 2}}}};
    rules.targets = {{"ta", "s", "a1", "x", 1, 1}, {"tb", "s", "b1", "x", 1, 1}};
    rules.moves = {{"m", "s", "a", "b", 100, 10}};
    const RegionPlan plan = value(makeRegionPlan(rules));
    std::vector<EntryInstance> instances;
    instances.reserve(830);
    for (int i = 0; i < 830; ++i)
        instances.push_back({"i" + std::to_string(i), static_cast<RegionId>(i % 2), 1, true});
    const EntryTable table = makeEntryTable(instances, 2);
    const std::vector<double> progress = {0.5};
    const std::vector<UnitCapacity> units = {{0, 0.5, 10}, {0.5, 0, 10}};
    const std::vector<double> links(4, 0.5);
    RegionChoice region;
    EntryChoice entries;
    const std::size_t before = allocationCount();
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const std::uint64_t caller = callerHash("10.1.2.3") + i;
        chooseRegion(plan, {progress, units, links}, {0, 0, caller}, region);
        chooseEntries(table, region.region, caller, entries);
    }
    EXPECT_EQ(allocationCount() - before, 0U);
}

} // namespace
} // namespace chestnutvane
