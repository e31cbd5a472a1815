// The names that the rules of a file introduce, the references to them, and the subjects that rules
// decide about.
//
// Example:
//
//   RuleNames names;
//   defineName(mistakes, word, "region", names.regions);
//   referTo(names, RuleMistakeKind::UnknownRegion, other);
//   checkReferences(mistakes, names); // after the last line
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/version/rule_line.h"

namespace chestnutvane::internal {

using NameSet = std::set<std::string, std::less<>>;

// A name that another rule must introduce, in an earlier or a later line.
struct RuleReference
{
    RuleMistakeKind unknown; // the mistake if the name does not exist
    Word name;
};

struct RuleNames
{
    NameSet regions;
    NameSet zones;
    NameSet services;
    NameSet targets;
    NameSet moves;
    NameSet links; // keys of linkKey()
    std::vector<RuleReference> references;
    std::map<std::string, int> subjects; // line of the first rule about a subject
};

// Reads a name that a rule introduces. Names of one kind must differ; "what" is the kind.
std::string defineName(RuleMistakes &mistakes, const Word &word, std::string_view what,
                       NameSet &names);

// Reads a name that another rule introduces; an empty one if there is no word.
std::string referTo(RuleNames &names, RuleMistakeKind unknown, const Word *word);

// Reports a second rule about the same subject; "what" names the subject in the message.
void defineSubject(RuleMistakes &mistakes, RuleNames &names, const std::string &subject,
                   const Word &at, const std::string &what);

// The key of the link between two regions, "A:B" with the names in order.
std::string linkKey(std::string_view a, std::string_view b);

// As above for a text "A:B"; returns a text without ":" as it is.
std::string linkKey(std::string_view link);

// Reports the references to names that no rule introduces.
void checkReferences(RuleMistakes &mistakes, const RuleNames &names);

} // namespace chestnutvane::internal
