// Differences of two rule files: by line for an operator, and by rule.
//
// Example:
//
//   for (const auto &line : diffLines(before, after))
//       std::cout << line.sign << line.text << "\n";
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

// A line that one of the two texts has and the other has not.
struct LineChange
{
    char sign = '+'; // '-' for the text before, '+' for the text after
    int line = 0; // in its own text, from 1
    std::string text;

    friend bool operator==(const LineChange &, const LineChange &) = default;
};

// Returns the lines to remove and to add, in order. The list is the shortest possible while the
// texts, without their equal start and end, have at most 4 million pairs of lines; beyond that all
// lines between are listed.
std::vector<LineChange> diffLines(std::string_view before, std::string_view after);

enum class RuleChangeKind {
    Added,
    Removed,
    Changed,
};

// A rule that differs. "subject" is what no two rules of a kind share, such as a name.
struct RuleChange
{
    RuleChangeKind kind = RuleChangeKind::Changed;
    std::string rule; // "region", "link", ...
    std::string subject;

    friend bool operator==(const RuleChange &, const RuleChange &) = default;
};

// Returns the rules that differ, by kind and then by subject. The order of rules does not count.
std::vector<RuleChange> diffRules(const RuleSet &before, const RuleSet &after);

} // namespace chestnutvane
