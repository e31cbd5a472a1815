#include "chestnutvane/version/rule_line.h"

#include <algorithm>
#include <utility>

namespace chestnutvane::internal {

namespace {

using Kind = RuleMistakeKind;
using KeyList = std::initializer_list<std::string_view>;

bool contains(const KeyList &keys, std::string_view key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

void checkComment(std::string_view line, std::size_t hash, int number, RuleMistakes &mistakes)
{
    constexpr std::string_view start = "asked by ";
    const auto at = std::min(hash, line.size());
    auto comment = line.substr(at);
    comment.remove_prefix(std::min(comment.find_first_not_of("# \t"), comment.size()));
    const bool named = comment.substr(0, start.size()) == start
            && comment.find_first_not_of(" \t", start.size()) != std::string_view::npos;
    if (!named)
        addMistake(mistakes, Kind::MissingComment, {{}, number, static_cast<int>(at) + 1},
                   "the rule does not name who asked for it",
                   "end the line with \"# asked by WHO\"");
}

void addWord(RuleLine &line, const Word &word, RuleMistakes &mistakes)
{
    const auto equals = word.text.find('=');
    if (line.kind.text.empty())
        line.kind = word;
    else if (equals == std::string_view::npos)
        line.names.push_back(word);
    else if (const auto key = word.text.substr(0, equals);
             !line.values.emplace(key, word.part(equals + 1)).second)
        addMistake(mistakes, Kind::DuplicateKey, word, "the key " + quoted(key) + " is given twice",
                   "keep one of them");
}

void checkNames(RuleMistakes &mistakes, const RuleLine &line, std::size_t nameCount)
{
    for (std::size_t i = nameCount; i < line.names.size(); ++i)
        addMistake(mistakes, Kind::UnexpectedWord, line.names[i],
                   "unexpected word " + quoted(line.names[i].text), "remove it or write key=value");
    if (line.names.size() >= nameCount)
        return;
    const std::string kind(line.kind.text);
    addMistake(mistakes, Kind::MissingName, line.kind,
               "a " + kind + " rule needs "
                       + (nameCount == 1 ? "a name" : std::to_string(nameCount) + " names")
                       + " after the kind",
               "write " + kind + (nameCount == 1 ? " NAME ..." : " NAME NAME ..."));
}

std::string unknownKeyRemedy(const KeyList &required, const KeyList &optional)
{
    std::string allowed;
    for (const auto &keys : {required, optional}) {
        for (const auto key : keys)
            allowed += (allowed.empty() ? "" : ", ") + std::string(key);
    }
    return allowed.empty() ? "remove it" : "use " + allowed;
}

void checkKeys(RuleMistakes &mistakes, const RuleLine &line, const KeyList &required,
               const KeyList &optional)
{
    for (const auto &[key, value] : line.values) {
        if (!contains(required, key) && !contains(optional, key))
            addMistake(mistakes, Kind::UnknownKey,
                       {key, value.line, value.column - static_cast<int>(key.size()) - 1},
                       "a " + std::string(line.kind.text) + " rule has no key " + quoted(key),
                       unknownKeyRemedy(required, optional));
    }
    for (const auto key : required) {
        if (!line.values.contains(key))
            addMistake(mistakes, Kind::MissingKey, line.kind,
                       "the key " + quoted(key) + " is missing",
                       "add " + std::string(key) + "=...");
    }
}

} // namespace

void addMistake(RuleMistakes &mistakes, RuleMistakeKind kind, const Word &at, std::string message,
                std::string remedy)
{
    mistakes.push_back({at.line, at.column, kind, std::move(message), std::move(remedy)});
}

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::vector<Word> split(const Word &word, char separator)
{
    std::vector<Word> parts;
    std::size_t from = 0;
    while (true) {
        const auto end = word.text.find(separator, from);
        parts.push_back(word.part(from, end == std::string_view::npos ? end : end - from));
        if (end == std::string_view::npos)
            return parts;
        from = end + 1;
    }
}

std::optional<RuleLine> cutRuleLine(std::string_view text, int number, RuleMistakes &mistakes)
{
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    const auto hash = text.find('#');
    const auto body = text.substr(0, hash);
    RuleLine line;
    for (std::size_t at = 0; (at = body.find_first_not_of(" \t", at)) != std::string_view::npos;) {
        const auto end = std::min(body.find_first_of(" \t", at), body.size());
        addWord(line, {body.substr(at, end - at), number, static_cast<int>(at) + 1}, mistakes);
        at = end;
    }
    if (line.kind.text.empty())
        return std::nullopt;
    checkComment(text, hash, number, mistakes);
    return line;
}

std::vector<Word> checkShape(RuleMistakes &mistakes, const RuleLine &line, std::size_t nameCount,
                             std::initializer_list<std::string_view> required,
                             std::initializer_list<std::string_view> optional)
{
    checkNames(mistakes, line, nameCount);
    checkKeys(mistakes, line, required, optional);
    auto names = line.names;
    names.resize(nameCount, Word{{}, line.kind.line, line.kind.column});
    return names;
}

const Word *findValue(const RuleLine &line, std::string_view key)
{
    const auto at = line.values.find(key);
    return at == line.values.end() ? nullptr : &at->second;
}

} // namespace chestnutvane::internal
