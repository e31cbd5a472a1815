#include "chestnutvane/process/drain_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

const TimePoint start{std::chrono::hours{1}};

RuleSet twoRegions()
{
    RuleSet rules;
    rules.regions = {{"a", {"a1", "a2"}}, {"b", {"b1"}}};
    for (const char *name : {"a1-1", "a1-2", "a2-1", "a2-2", "b1-1", "b1-2"})
        rules.targets.push_back({name, "s", std::string(name, 2), "127.0.0.1:1", 3, 330});
    return rules;
}

// Guards against a target that receives requests although a rule or its own report drains it.
// Compares with a scan of the rules for each target.
RC_GTEST_PROP(DrainStateTest, AgreesWithScanOfTheRules, ())
{
    const std::vector<DrainRule> possible = {
            {DrainKind::Target, "a1-1"}, {DrainKind::Zone, "a1"},  {DrainKind::Zone, "a2"},
            {DrainKind::Region, "a"},    {DrainKind::Region, "b"}, {DrainKind::Target, "b1-2"}};
    RuleSet rules = twoRegions();
    DrainState state;
    bool isDraining = false;
    for (int round = 0; round < 3; ++round) {
        rules.drains.clear();
        for (const DrainRule &drain : possible) {
            if (*rc::gen::arbitrary<bool>())
                rules.drains.push_back(drain);
        }
        isDraining = *rc::gen::arbitrary<bool>();
        state.setReportedDraining("a2-2", isDraining, start);
        state.setRules(rules, start);
    }
    const auto hasDrain = [&](const std::string &subject) {
        return std::any_of(rules.drains.begin(), rules.drains.end(),
                           [&](const DrainRule &drain) { return drain.subject == subject; });
    };
    for (const TargetRule &target : rules.targets) {
        RC_ASSERT(state.isDrained(target.name)
                  == (hasDrain(target.name) || hasDrain(target.zone)
                      || hasDrain(target.zone.substr(0, 1))
                      || (isDraining && target.name == "a2-2")));
    }
    RC_ASSERT(state.isRegionDrained("a") == (hasDrain("a") || (hasDrain("a1") && hasDrain("a2"))));
}

// Guards against a drain time that starts at a later revision of the rules or ends before the last
// request has ended.
TEST(DrainStateTest, DrainTimeEndsWithTheLastRequest)
{
    DrainState state;
    RuleSet rules = twoRegions();
    state.setRules(rules, start);
    state.onRequestStarted("a1-1", start);
    state.onRequestStarted("a1-1", start);
    rules.drains = {{DrainKind::Target, "a1-1"}, {DrainKind::Target, "a1-2"}};
    state.setRules(rules, start + Milliseconds{100});
    state.setRules(rules, start + Milliseconds{200}); // another revision with the same drain
    state.onRequestEnded("a1-1", start + Milliseconds{300});
    EXPECT_EQ(state.drainTime("a1-1"), std::nullopt);
    state.onRequestEnded("a1-1", start + Milliseconds{450});
    EXPECT_EQ(state.drainTime("a1-1"), Milliseconds{350});
    EXPECT_EQ(state.drainTime("a1-2"), Milliseconds{0});
    EXPECT_EQ(state.drainTime("b1-1"), std::nullopt);

    // A target removed from the rules with requests in flight stays drained until they have ended.
    state.onRequestStarted("b1-1", start);
    rules.targets.pop_back();
    rules.targets.pop_back();
    state.setRules(rules, start + Milliseconds{500});
    EXPECT_TRUE(state.isDrained("b1-1"));
    EXPECT_EQ(state.requestsInFlight("b1-1"), 1U);
}

} // namespace
} // namespace chestnutvane
