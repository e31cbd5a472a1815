#include "chestnutvane/operator/rule_edit.h"

#include <sstream>

namespace chestnutvane {
namespace internal {
namespace {

bool isDrainLine(std::string_view line, const std::string &subject)
{
    std::istringstream words(std::string(line.substr(0, line.find('#'))));
    std::string kind;
    std::string value;
    words >> kind >> value;
    return kind == "drain" && value == subject;
}

std::string subjectOf(const DrainRule &drain)
{
    return std::string(enumName(drainKindNames, drain.kind)) + "=" + drain.subject;
}

struct WithoutDrain
{
    std::string text;
    bool found = false;
};

WithoutDrain withoutDrain(std::string_view rules, const DrainRule &drain)
{
    WithoutDrain rest;
    const auto subject = subjectOf(drain);
    while (!rules.empty()) {
        const auto end = rules.find('\n');
        const auto line = rules.substr(0, end == std::string_view::npos ? end : end + 1);
        if (isDrainLine(line, subject))
            rest.found = true;
        else
            rest.text += line;
        rules.remove_prefix(line.size());
    }
    return rest;
}

} // namespace
} // namespace internal

Result<std::string, EditFault> addDrain(std::string_view rules, const DrainRule &drain,
                                        std::string_view askedBy)
{
    if (internal::withoutDrain(rules, drain).found)
        return EditFault::AlreadyDrained;
    std::string text(rules);
    if (!text.empty() && text.back() != '\n')
        text += '\n';
    text += "drain " + internal::subjectOf(drain) + " # asked by " + std::string(askedBy) + "\n";
    return text;
}

Result<std::string, EditFault> removeDrain(std::string_view rules, const DrainRule &drain)
{
    auto rest = internal::withoutDrain(rules, drain);
    if (!rest.found)
        return EditFault::NotDrained;
    return std::move(rest.text);
}

} // namespace chestnutvane
