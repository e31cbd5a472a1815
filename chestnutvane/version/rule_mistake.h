// Mistakes in a rule file: their kinds, their places and how to mend them.
//
// Example:
//
//   RuleMistakes mistakes;
//   mistakes.push_back({3, 1, RuleMistakeKind::UnknownRule, "\"zone\" is not a kind of rule", ""});
//   std::cerr << mistakeText(mistakes.back()) << "\n";
#pragma once

#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

enum class RuleMistakeKind {
    MissingComment, // no "# asked by WHO" at the end of the rule
    UnknownRule,
    MissingName,
    UnexpectedWord, // neither a name in its place nor key=value
    UnknownKey,
    DuplicateKey,
    MissingKey,
    BadName,
    BadNumber, // not a number, or outside its range
    BadValue, // not one of the allowed words
    BadPath,
    BadAddress,
    BadBlock,
    DuplicateName,
    DuplicateRule, // another rule already decides about the same subject
    UnknownRegion,
    UnknownZone,
    UnknownService,
    UnknownTarget,
    UnknownLink,
    SameRegion, // both ends of a link or a move are the same region
    TooManyChoices, // more different lists of weighted regions than a table can hold
};

inline constexpr EnumName<RuleMistakeKind> ruleMistakeKindNames[] = {
        {RuleMistakeKind::MissingComment, "missing-comment"},
        {RuleMistakeKind::UnknownRule, "unknown-rule"},
        {RuleMistakeKind::MissingName, "missing-name"},
        {RuleMistakeKind::UnexpectedWord, "unexpected-word"},
        {RuleMistakeKind::UnknownKey, "unknown-key"},
        {RuleMistakeKind::DuplicateKey, "duplicate-key"},
        {RuleMistakeKind::MissingKey, "missing-key"},
        {RuleMistakeKind::BadName, "bad-name"},
        {RuleMistakeKind::BadNumber, "bad-number"},
        {RuleMistakeKind::BadValue, "bad-value"},
        {RuleMistakeKind::BadPath, "bad-path"},
        {RuleMistakeKind::BadAddress, "bad-address"},
        {RuleMistakeKind::BadBlock, "bad-block"},
        {RuleMistakeKind::DuplicateName, "duplicate-name"},
        {RuleMistakeKind::DuplicateRule, "duplicate-rule"},
        {RuleMistakeKind::UnknownRegion, "unknown-region"},
        {RuleMistakeKind::UnknownZone, "unknown-zone"},
        {RuleMistakeKind::UnknownService, "unknown-service"},
        {RuleMistakeKind::UnknownTarget, "unknown-target"},
        {RuleMistakeKind::UnknownLink, "unknown-link"},
        {RuleMistakeKind::SameRegion, "same-region"},
        {RuleMistakeKind::TooManyChoices, "too-many-choices"},
};

// One mistake in a rule file. Lines and columns count from 1, columns in bytes.
struct RuleMistake
{
    int line = 0;
    int column = 0;
    RuleMistakeKind kind = RuleMistakeKind::UnknownRule;
    std::string message; // what is wrong
    std::string remedy; // how to mend it

    friend bool operator==(const RuleMistake &, const RuleMistake &) = default;
};

using RuleMistakes = std::vector<RuleMistake>;

// Writes "LINE:COLUMN: KIND: MESSAGE; REMEDY".
std::string mistakeText(const RuleMistake &mistake);

} // namespace chestnutvane
