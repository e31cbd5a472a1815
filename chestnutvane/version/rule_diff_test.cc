#include "chestnutvane/version/rule_diff.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a difference that does not lead from one text to the other.
RC_GTEST_PROP(RuleDiffTest, AppliedToTheFirstTextGivesTheSecond,
              (const std::vector<bool> &a, const std::vector<bool> &b))
{
    std::vector<std::string> lines;
    std::string before;
    std::string after;
    for (const bool x : a) {
        lines.emplace_back(x ? "x" : "y");
        before += lines.back() + "\n";
    }
    for (const bool x : b)
        after += x ? "x\n" : "y\n";
    const auto changes = diffLines(before, after);
    for (auto at = changes.rbegin(); at != changes.rend(); ++at) {
        if (at->sign == '-') {
            RC_ASSERT(lines.at(static_cast<std::size_t>(at->line - 1)) == at->text);
            lines.erase(lines.begin() + at->line - 1);
        }
    }
    for (const auto &change : changes) {
        if (change.sign == '+')
            lines.insert(lines.begin() + change.line - 1, change.text);
    }
    std::string result;
    for (const auto &line : lines)
        result += line + "\n";
    RC_ASSERT(result == after);
}

// Guards against a changed rule that is listed as two, or a reordered one that is listed at all.
TEST(RuleDiffTest, ListsChangedRules)
{
    RuleSet before;
    before.regions = {{"a", {"z1"}}, {"b", {"z2"}}, {"c", {"z3"}}};
    RuleSet after;
    after.regions = {{"d", {"z3"}}, {"b", {"z2"}}, {"a", {"z4"}}};
    const std::vector<RuleChange> expected = {{RuleChangeKind::Changed, "region", "a"},
                                              {RuleChangeKind::Removed, "region", "c"},
                                              {RuleChangeKind::Added, "region", "d"}};
    EXPECT_EQ(diffRules(before, after), expected);
}

} // namespace
} // namespace chestnutvane
