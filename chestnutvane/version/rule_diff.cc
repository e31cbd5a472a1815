#include "chestnutvane/version/rule_diff.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace chestnutvane {

namespace {

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

template <class R, class F>
void diffKind(const std::string &kind, const std::vector<R> &before, const std::vector<R> &after,
              F &&subjectOf, std::vector<RuleChange> &changes)
{
    std::map<std::string, std::pair<const R *, const R *>> bySubject;
    for (const auto &rule : before)
        bySubject[subjectOf(rule)].first = &rule;
    for (const auto &rule : after)
        bySubject[subjectOf(rule)].second = &rule;
    for (const auto &[subject, rules] : bySubject) {
        if (!rules.first)
            changes.push_back({RuleChangeKind::Added, kind, subject});
        else if (!rules.second)
            changes.push_back({RuleChangeKind::Removed, kind, subject});
        else if (!(*rules.first == *rules.second))
            changes.push_back({RuleChangeKind::Changed, kind, subject});
    }
}

} // namespace

std::vector<LineChange> diffLines(std::string_view before, std::string_view after)
{
    const auto a = linesOf(before);
    const auto b = linesOf(after);
    std::size_t first = 0;
    while (first < std::min(a.size(), b.size()) && a[first] == b[first])
        ++first;
    std::size_t same = 0;
    while (same < std::min(a.size(), b.size()) - first
           && a[a.size() - 1 - same] == b[b.size() - 1 - same])
        ++same;
    const std::size_t rows = a.size() - first - same;
    const std::size_t columns = b.size() - first - same;
    constexpr std::size_t maxPairs = 4'000'000;
    const bool exact = rows * columns <= maxPairs;
    // common[i][j] is the length of the longest common sequence of the lines from i and j on.
    const std::size_t width = columns + 1;
    std::vector<std::uint32_t> common(exact ? (rows + 1) * width : 0);
    for (std::size_t i = exact ? rows : 0; i-- > 0;) {
        for (std::size_t j = columns; j-- > 0;) {
            common[i * width + j] = a[first + i] == b[first + j]
                    ? common[(i + 1) * width + j + 1] + 1
                    : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
        }
    }
    std::vector<LineChange> changes;
    for (std::size_t i = 0, j = 0; i < rows || j < columns;) {
        if (exact && i < rows && j < columns && a[first + i] == b[first + j]) {
            ++i;
            ++j;
        } else if (i < rows
                   && (j == columns || !exact
                       || common[(i + 1) * width + j] >= common[i * width + j + 1])) {
            changes.push_back({'-', static_cast<int>(first + i) + 1, std::string(a[first + i])});
            ++i;
        } else {
            changes.push_back({'+', static_cast<int>(first + j) + 1, std::string(b[first + j])});
            ++j;
        }
    }
    return changes;
}

std::vector<RuleChange> diffRules(const RuleSet &before, const RuleSet &after)
{
    std::vector<RuleChange> changes;
    const auto name = [](const auto &rule) { return rule.name; };
    diffKind("region", before.regions, after.regions, name, changes);
    diffKind(
            "link", before.links, after.links,
            [](const LinkRule &rule) {
                return std::min(rule.from, rule.to) + ":" + std::max(rule.from, rule.to);
            },
            changes);
    diffKind("service", before.services, after.services, name, changes);
    diffKind(
            "class", before.classes, after.classes,
            [](const RequestClass &rule) { return rule.service + "/" + rule.name; }, changes);
    diffKind("target", before.targets, after.targets, name, changes);
    diffKind(
            "clients", before.clients, after.clients,
            [](const ClientsRule &rule) { return rule.prefix; }, changes);
    diffKind(
            "cap", before.caps, after.caps,
            [](const CapRule &rule) {
                return std::string(enumName(capKindNames, rule.kind)) + "=" + rule.subject;
            },
            changes);
    diffKind("move", before.moves, after.moves, name, changes);
    diffKind(
            "drain", before.drains, after.drains,
            [](const DrainRule &rule) {
                return std::string(enumName(drainKindNames, rule.kind)) + "=" + rule.subject;
            },
            changes);
    return changes;
}

} // namespace chestnutvane
