#include "chestnutvane/version/rule_parser.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "chestnutvane/version/rule_kinds.h"

namespace chestnutvane {

namespace {

using internal::RuleDraft;

void parseRule(const internal::RuleLine &line, RuleDraft &draft)
{
    std::string names;
    for (const auto &[name, parse] : internal::ruleKinds()) {
        if (name == line.kind.text) {
            parse(line, draft);
            return;
        }
        names += (names.empty() ? "" : ", ") + std::string(name);
    }
    addMistake(draft.mistakes, RuleMistakeKind::UnknownRule, line.kind,
               internal::quoted(line.kind.text) + " is not a kind of rule", "use one of " + names);
}

} // namespace

Result<RuleSet, RuleMistakes> parseRules(std::string_view text)
{
    RuleDraft draft;
    for (int number = 1; !text.empty(); ++number) {
        const auto end = text.find('\n');
        if (const auto line = internal::cutRuleLine(text.substr(0, end), number, draft.mistakes))
            parseRule(*line, draft);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    checkReferences(draft.mistakes, draft.names);
    if (draft.mistakes.empty())
        return std::move(draft.rules);
    std::stable_sort(draft.mistakes.begin(), draft.mistakes.end(),
                     [](const RuleMistake &a, const RuleMistake &b) {
                         return std::tie(a.line, a.column) < std::tie(b.line, b.column);
                     });
    return std::move(draft.mistakes);
}

} // namespace chestnutvane
