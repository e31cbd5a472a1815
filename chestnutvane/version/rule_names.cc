#include "chestnutvane/version/rule_names.h"

#include <algorithm>

#include "chestnutvane/version/rule_values.h"

namespace chestnutvane::internal {

namespace {

using Kind = RuleMistakeKind;

// Lists at most eight names, because a remedy is one line of text.
std::string listNames(const NameSet &names)
{
    std::string text;
    int count = 0;
    for (const auto &name : names) {
        if (++count > 8)
            return text + ", ...";
        text += (text.empty() ? "" : ", ") + name;
    }
    return text.empty() ? "none" : text;
}

const NameSet &knownNames(const RuleNames &names, Kind unknown)
{
    return unknown == Kind::UnknownRegion     ? names.regions
            : unknown == Kind::UnknownZone    ? names.zones
            : unknown == Kind::UnknownService ? names.services
            : unknown == Kind::UnknownTarget  ? names.targets
                                              : names.links;
}

} // namespace

std::string defineName(RuleMistakes &mistakes, const Word &word, std::string_view what,
                       NameSet &names)
{
    if (word.text.empty())
        return {};
    auto name = readName(mistakes, word);
    if (!names.insert(name).second)
        addMistake(mistakes, Kind::DuplicateName, word,
                   "the " + std::string(what) + " " + quoted(name) + " is already there",
                   "choose another name or remove one of the rules");
    return name;
}

std::string referTo(RuleNames &names, RuleMistakeKind unknown, const Word *word)
{
    if (!word)
        return {};
    names.references.push_back({unknown, *word});
    return std::string(word->text);
}

void defineSubject(RuleMistakes &mistakes, RuleNames &names, const std::string &subject,
                   const Word &at, const std::string &what)
{
    if (const auto [earlier, isNew] = names.subjects.emplace(subject, at.line); !isNew)
        addMistake(mistakes, Kind::DuplicateRule, at,
                   what + " is already set in line " + std::to_string(earlier->second),
                   "remove one of the two rules");
}

std::string linkKey(std::string_view a, std::string_view b)
{
    return std::string(std::min(a, b)) + ":" + std::string(std::max(a, b));
}

std::string linkKey(std::string_view link)
{
    const auto colon = link.find(':');
    return colon == std::string_view::npos ? std::string(link)
                                           : linkKey(link.substr(0, colon), link.substr(colon + 1));
}

void checkReferences(RuleMistakes &mistakes, const RuleNames &names)
{
    for (const auto &[unknown, name] : names.references) {
        const NameSet &known = knownNames(names, unknown);
        const bool isLink = unknown == Kind::UnknownLink;
        if (known.contains(isLink ? linkKey(name.text) : std::string(name.text)))
            continue;
        std::string what(enumName(ruleMistakeKindNames, unknown));
        what.erase(0, what.find('-') + 1);
        addMistake(mistakes, unknown, name, "no " + what + " " + quoted(name.text),
                   "add it or use a known " + what + ": " + listNames(known));
    }
}

} // namespace chestnutvane::internal
