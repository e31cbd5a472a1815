// Reads the text of a rule file (docs/rules.md) into a RuleSet.
//
// Example:
//
//   auto rules = parseRules(text);
//   if (!isOk(rules)) {
//       for (const auto &mistake : error(rules))
//           std::cerr << mistakeText(mistake) << "\n";
//   }
#pragma once

#include <string_view>

#include "chestnutvane/base/result.h"
#include "chestnutvane/version/rule_mistake.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

// Reads a rule file. Returns either all rules or all mistakes, sorted by place. Rules may refer to
// names of later lines.
Result<RuleSet, RuleMistakes> parseRules(std::string_view text);

} // namespace chestnutvane
