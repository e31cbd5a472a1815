// The words of one line of a rule file with their places, and the checks of its shape.
//
// Example:
//
//   RuleMistakes mistakes;
//   if (const auto line = cutRuleLine("service box-office # asked by Lin", 1, mistakes)) {
//       const auto names = checkShape(mistakes, *line, 1, {});
//       // line->kind.text == "service", names[0].text == "box-office", names[0].column == 9
//   }
#pragma once

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/version/rule_mistake.h"

namespace chestnutvane::internal {

// A piece of a line with its place. Points into the text of the rule file.
struct Word
{
    std::string_view text;
    int line = 0;
    int column = 0;

    Word part(std::size_t from, std::size_t count = std::string_view::npos) const
    {
        return {text.substr(from, count), line, column + static_cast<int>(from)};
    }
};

// A rule line cut into words.
struct RuleLine
{
    Word kind;
    std::vector<Word> names; // words without "="
    std::map<std::string_view, Word> values; // by key
};

// Adds a mistake at the place of a word.
void addMistake(RuleMistakes &mistakes, RuleMistakeKind kind, const Word &at, std::string message,
                std::string remedy);

// Writes a text in quotes, for messages.
std::string quoted(std::string_view text);

// Cuts a word at each separator. A word without one is returned whole, as one part.
std::vector<Word> split(const Word &word, char separator);

// Cuts a line, without its end of line, into words. Returns nothing for a line without a rule.
// Reports a key that is given twice, and a rule without the comment that names who asked for it.
std::optional<RuleLine> cutRuleLine(std::string_view text, int number, RuleMistakes &mistakes);

// Checks the number of names, and that all keys are known and all required ones are there.
// Returns the names that are there, filled up to nameCount with empty words.
std::vector<Word> checkShape(RuleMistakes &mistakes, const RuleLine &line, std::size_t nameCount,
                             std::initializer_list<std::string_view> required,
                             std::initializer_list<std::string_view> optional = {});

// Returns a value, or nullptr if the key is absent; checkShape reports absent required keys.
const Word *findValue(const RuleLine &line, std::string_view key);

} // namespace chestnutvane::internal
