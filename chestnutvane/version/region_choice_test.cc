#include "chestnutvane/version/region_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

RuleSet threeRegions()
{
    RuleSet rules;
    rules.services = {{"box-office"}};
    rules.clients = {{"0.0.0.0/0", {{"a", 80}, {"b", 15}, {"c", 5}}}};
    rules.moves = {{"south", "box-office", "a", "b", 50, 10}};
    for (const std::string name : {"a", "b", "c"}) {
        rules.regions.push_back({name, {name + "-1"}});
        rules.targets.push_back({"t-" + name, "box-office", name + "-1", "127.0.0.1:1", 3, 330});
    }
    return rules;
}

RegionId choose(const RuleSet &rules, const RegionInputs &inputs, std::uint64_t caller,
                RegionChoice &choice)
{
    chooseRegion(value(makeRegionPlan(rules)), inputs, {0, 0, caller}, choice);
    return choice.region;
}

RegionId choose(const RuleSet &rules, const RegionInputs &inputs, std::uint64_t caller)
{
    RegionChoice choice;
    return choose(rules, inputs, caller, choice);
}

// The naive version: names in place of indexes, sorted candidate lists in place of masks.
std::string naiveChoose(const RuleSet &rules, const std::map<std::string, double> &progress,
                        const std::map<std::string, UnitCapacity> &units, double linkShare,
                        std::uint64_t caller)
{
    const auto score = [&](const std::string &region, double weight) {
        return weight / -std::log(unitInterval(hashPair(caller, hash64(region, 2))));
    };
    const auto usable = [&](const std::string &region) {
        return std::none_of(rules.drains.begin(), rules.drains.end(), [&](const DrainRule &drain) {
            return drain.subject == region || drain.subject == region + "-1"
                    || drain.subject == "t-" + region;
        });
    };
    std::vector<std::string> order;
    order.reserve(rules.regions.size());
    std::vector<WeightedRegion> weighted = rules.clients[0].regions;
    std::stable_sort(weighted.begin(), weighted.end(), [&](const auto &x, const auto &y) {
        return score(x.region, x.weight) > score(y.region, y.weight);
    });
    for (const auto &entry : weighted)
        order.push_back(entry.region);
    std::vector<std::string> rest;
    for (const auto &region : rules.regions) {
        if (std::find(order.begin(), order.end(), region.name) == order.end())
            rest.push_back(region.name);
    }
    std::stable_sort(rest.begin(), rest.end(),
                     [&](const auto &x, const auto &y) { return score(x, 1) > score(y, 1); });
    order.insert(order.end(), rest.begin(), rest.end());

    std::string region = order.front();
    for (const MoveRule &move : rules.moves) {
        const double point = unitInterval(hashPair(caller, hash64(move.name, 3)));
        const double limit = progress.at(move.name) * (move.percent / 100);
        if (move.from == region && usable(move.to) && point < limit)
            region = move.to;
    }
    std::erase_if(order, [&](const auto &name) { return !usable(name); });
    if (!usable(region) && !order.empty())
        region = order.front();
    const UnitCapacity own = units.at(region);
    const double point = unitInterval(hashPair(hashPair(caller, hash64(region, 2)), 4));
    if (point >= own.overflowShare)
        return region;
    for (const std::string &other : order) {
        const UnitCapacity unit = units.at(other);
        const double room = 0.5 * unit.headroom * unit.slots / own.slots / 2;
        if (other != region && unit.headroom > 0 && unit.overflowShare <= 0
            && point < std::min(linkShare, room))
            return other;
    }
    return region;
}

double genShare()
{
    return *rc::gen::inRange(0, 101) / 100.0;
}

// Guards against an optimisation (masks, indexes) that changes the decision.
RC_GTEST_PROP(RegionChoiceTest, AgreesWithNaiveVersion, (std::uint64_t caller))
{
    RuleSet rules = threeRegions();
    rules.clients[0].regions.resize(*rc::gen::inRange(1, 4));
    for (auto &entry : rules.clients[0].regions)
        entry.weight = *rc::gen::inRange(1, 100);
    rules.moves.push_back({"east", "box-office", "b", "c", 100, 10});
    const std::vector<DrainRule> possible = {{DrainKind::Region, "a"},
                                             {DrainKind::Zone, "b-1"},
                                             {DrainKind::Target, "t-c"},
                                             {DrainKind::Region, "b"}};
    for (const DrainRule &drain : possible) {
        if (*rc::gen::inRange(0, 4) == 0)
            rules.drains.push_back(drain);
    }
    const std::vector<double> progress = {genShare(), genShare()};
    std::vector<UnitCapacity> units;
    units.reserve(3);
    for (int i = 0; i < 3; ++i)
        units.push_back({genShare(), *rc::gen::element(0.0, 0.5, 1.0), 10.0 + i});
    const double link = genShare();
    const std::vector<double> links(9, link);

    const RegionPlan plan = value(makeRegionPlan(rules));
    RegionChoice choice;
    chooseRegion(plan, {progress, units, links}, {0, 0, caller}, choice);
    RC_ASSERT(plan.regions[choice.region].name
              == naiveChoose(rules, {{"south", progress[0]}, {"east", progress[1]}},
                             {{"a", units[0]}, {"b", units[1]}, {"c", units[2]}}, link, caller));
    // The steps lead to the answer.
    RegionId last = noRegion;
    for (const RegionStep &step : choice.taken()) {
        RC_ASSERT(describeStep(plan, step).find('?') == std::string::npos);
        if (step.kind == RegionStepKind::Weighted || step.kind == RegionStepKind::Moved
            || step.kind == RegionStepKind::Drained || step.kind == RegionStepKind::NoTargets
            || step.kind == RegionStepKind::Overflowed)
            last = step.to;
    }
    RC_ASSERT(last == choice.region);
}

// Guards against a weight or progress change that moves callers between unconcerned regions.
RC_GTEST_PROP(RegionChoiceTest, RaisingMovesCallersOnlyTowardsTheGainingRegion, ())
{
    RuleSet before = threeRegions();
    RuleSet after = before;
    const bool raisesWeight = *rc::gen::arbitrary<bool>();
    const double progress = raisesWeight ? 0 : genShare();
    const RegionId gaining = raisesWeight ? *rc::gen::inRange<RegionId>(0, 3) : 1;
    if (raisesWeight)
        after.clients[0].regions[gaining].weight += *rc::gen::inRange(1, 200);
    const std::vector<double> low = {progress};
    const std::vector<double> high = {raisesWeight ? 0 : std::min(1.0, progress + genShare())};
    for (std::uint64_t i = 0; i < 200; ++i) {
        const std::uint64_t caller = hashPair(i, *rc::gen::arbitrary<std::uint32_t>());
        const RegionId first = choose(before, {low, {}, {}}, caller);
        const RegionId second = choose(after, {high, {}, {}}, caller);
        RC_ASSERT(first == second || second == gaining);
    }
}

// Guards against shares that do not follow the weights, the move and the link bound.
TEST(RegionChoiceTest, SharesFollowWeightsMovesAndOverflow)
{
    constexpr int callers = 20000;
    const RuleSet rules = threeRegions();
    const std::vector<double> progress = {0.5};
    std::vector<UnitCapacity> units(3, UnitCapacity{0.9, 0, 100});
    std::vector<double> links(9, 0.1);
    const auto share = [&](const RegionInputs &inputs, RegionId region) {
        int count = 0;
        for (int i = 0; i < callers; ++i)
            count += choose(rules, inputs, callerHash(std::to_string(i))) == region;
        return static_cast<double>(count) / callers;
    };
    EXPECT_NEAR(share({}, 0), 0.8, 0.01);
    EXPECT_NEAR(share({progress, {}, {}}, 0), 0.8 * 0.75, 0.01);
    units[0] = {0, 0.4, 100}; // 40% of the callers of "a" should leave, the links carry 10% each
    EXPECT_NEAR(share({{}, units, links}, 0), 0.8 * 0.9, 0.01);
    links.assign(9, 0.0);
    EXPECT_NEAR(share({{}, units, links}, 0), 0.8, 0.01);
    links.assign(9, 1.0); // half of the 0.9 headroom, split over the two regions that may overflow
    EXPECT_NEAR(share({{}, units, links}, 0), 0.8 * (1 - 0.225), 0.01);
}

// Guards against a drain that a move or the last region's drain undoes.
TEST(RegionChoiceTest, DrainsOverrideMovesAndKeepTheLastChoice)
{
    RuleSet rules = threeRegions();
    rules.drains = {{DrainKind::Zone, "b-1"}};
    const std::vector<double> progress = {1};
    for (int i = 0; i < 1000; ++i)
        EXPECT_NE(choose(rules, {progress, {}, {}}, callerHash(std::to_string(i))), 1);
    rules.drains = {{DrainKind::Region, "a"}, {DrainKind::Region, "b"}, {DrainKind::Region, "c"}};
    RegionChoice choice;
    EXPECT_NE(choose(rules, {}, 7, choice), noRegion);
    EXPECT_EQ(choice.taken().back().kind, RegionStepKind::AllDrained);
}

// Guards against a rule set with unknown names that is taken as far as it goes.
TEST(RegionChoiceTest, UnknownNamesAreRefused)
{
    RuleSet rules = threeRegions();
    rules.moves[0].to = "d";
    EXPECT_EQ(error(makeRegionPlan(rules)).failure, RegionPlanFailure::UnknownRegion);
    EXPECT_EQ(error(makeRegionPlan(rules)).subject, "d");
    rules = threeRegions();
    rules.targets[0].service = "x";
    EXPECT_EQ(error(makeRegionPlan(rules)).failure, RegionPlanFailure::UnknownService);
    rules = threeRegions();
    rules.clients[0].regions.clear();
    EXPECT_EQ(error(makeRegionPlan(rules)).failure, RegionPlanFailure::NoRegions);
    rules.regions.resize(maxRegions + 1);
    EXPECT_EQ(error(makeRegionPlan(rules)).failure, RegionPlanFailure::TooManyRegions);
    RegionChoice choice;
    chooseRegion({}, {}, {}, choice);
    EXPECT_EQ(choice.region, noRegion);
}

} // namespace
} // namespace chestnutvane
