// The kinds of rules: one function for each, reached through a table.
//
// Example:
//
//   RuleDraft draft;
//   for (const auto &[name, parse] : ruleKinds()) {
//       if (name == line.kind.text)
//           parse(line, draft);
//   }
#pragma once

#include <span>
#include <string_view>

#include "chestnutvane/version/rule_line.h"
#include "chestnutvane/version/rule_names.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane::internal {

// What has been read of a rule file.
struct RuleDraft
{
    RuleSet rules;
    RuleMistakes mistakes;
    RuleNames names;
    NameSet regionLists; // the different lists of weighted regions
};

// A kind of rule. The function reads a line of this kind into the draft.
struct RuleKind
{
    std::string_view name;
    void (*parse)(const RuleLine &line, RuleDraft &draft);
};

// All kinds, in the order of messages.
std::span<const RuleKind> ruleKinds();

} // namespace chestnutvane::internal
