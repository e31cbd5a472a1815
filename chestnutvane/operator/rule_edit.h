// Edits of the text of a rule file. All other lines stay as they are.
//
// Example:
//
//   auto edited = addDrain(text, {DrainKind::Zone, "tpe-a"}, "Mei");
#pragma once

#include <string>
#include <string_view>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

enum class EditFault {
    AlreadyDrained,
    NotDrained,
};

inline constexpr EnumName<EditFault> editFaultNames[] = {
        {EditFault::AlreadyDrained, "already-drained"},
        {EditFault::NotDrained, "not-drained"},
};

// Adds a drain rule at the end. The name is not checked; parseRules() does that.
Result<std::string, EditFault> addDrain(std::string_view rules, const DrainRule &drain,
                                        std::string_view askedBy);

// Removes the line of a drain rule.
Result<std::string, EditFault> removeDrain(std::string_view rules, const DrainRule &drain);

} // namespace chestnutvane
