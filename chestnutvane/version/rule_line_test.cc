#include "chestnutvane/version/rule_line.h"

#include <gtest/gtest.h>

namespace chestnutvane::internal {
namespace {

// Guards against columns that are shifted by blanks, tabs or a carriage return.
TEST(RuleLine, WordsKeepTheirPlaces)
{
    RuleMistakes mistakes;
    const auto line = cutRuleLine("  link\ta b  x=1 # asked by Mei\r", 7, mistakes);
    ASSERT_TRUE(line);
    EXPECT_EQ(line->kind.column, 3);
    ASSERT_EQ(line->names.size(), 2U);
    EXPECT_EQ(line->names[0].column, 8);
    EXPECT_EQ(line->names[1].column, 10);
    const Word *x = findValue(*line, "x");
    ASSERT_NE(x, nullptr);
    EXPECT_EQ(x->text, "1");
    EXPECT_EQ(x->column, 15);
    EXPECT_EQ(x->line, 7);
    EXPECT_EQ(findValue(*line, "y"), nullptr);
    EXPECT_TRUE(mistakes.empty());
}

// Guards against a mistake for a line that states no rule.
TEST(RuleLine, LineWithoutRuleIsNothing)
{
    RuleMistakes mistakes;
    for (const auto *text : {"", " \t", "\r", "# asked by Mei", "  # a remark"})
        EXPECT_FALSE(cutRuleLine(text, 1, mistakes)) << text;
    EXPECT_TRUE(mistakes.empty());
}

// Guards against a list whose empty parts are lost, and parts with the place of the whole word.
TEST(RuleLine, SplitKeepsEmptyPartsAndPlaces)
{
    const auto parts = split(Word{"a,,b,", 2, 5}, ',');
    ASSERT_EQ(parts.size(), 4U);
    EXPECT_EQ(parts[1].text, "");
    EXPECT_EQ(parts[1].column, 7);
    EXPECT_EQ(parts[2].text, "b");
    EXPECT_EQ(parts[2].column, 8);
    EXPECT_EQ(parts[3].text, "");
}

// Guards against a function of a rule kind that reads past the names of a short line.
TEST(RuleLine, MissingNamesAreFilledUp)
{
    RuleMistakes mistakes;
    const auto line = cutRuleLine("link a # asked by Mei", 1, mistakes);
    ASSERT_TRUE(line);
    const auto names = checkShape(mistakes, *line, 2, {});
    ASSERT_EQ(names.size(), 2U);
    EXPECT_EQ(names[0].text, "a");
    EXPECT_EQ(names[1].text, "");
    ASSERT_EQ(mistakes.size(), 1U);
    EXPECT_EQ(mistakes[0].kind, RuleMistakeKind::MissingName);
}

} // namespace
} // namespace chestnutvane::internal
