#include "chestnutvane/version/rule_kinds.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "chestnutvane/version/prefix_table.h"
#include "chestnutvane/version/rule_values.h"

namespace chestnutvane::internal {

namespace {

using Kind = RuleMistakeKind;

void parseRegion(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words = checkShape(mistakes, line, 1, {"zones"});
    RegionRule rule{defineName(mistakes, words[0], "region", names.regions), {}};
    if (const Word *zones = findValue(line, "zones")) {
        for (const auto &zone : split(*zones, ',')) {
            rule.zones.push_back(readName(mistakes, zone));
            if (!names.zones.insert(rule.zones.back()).second)
                addMistake(mistakes, Kind::DuplicateName, zone,
                           "the zone " + quoted(zone.text) + " is already in a region",
                           "name each zone once in one region");
        }
    }
    draft.rules.regions.push_back(std::move(rule));
}

void checkEndsDiffer(RuleMistakes &mistakes, const Word *from, const Word *to,
                     std::string_view what)
{
    if (from && to && !from->text.empty() && from->text == to->text)
        addMistake(mistakes, Kind::SameRegion, *to,
                   "both ends of the " + std::string(what) + " are " + quoted(to->text),
                   "name two different regions");
}

void parseLink(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words = checkShape(mistakes, line, 2, {"capacity-mbps"});
    LinkRule rule;
    rule.capacityMbps =
            readNumber(mistakes, line, "capacity-mbps", {.least = 0.001, .most = 1e7}, 1);
    if (!words[1].text.empty()) {
        rule.from = referTo(names, Kind::UnknownRegion, &words[0]);
        rule.to = referTo(names, Kind::UnknownRegion, &words[1]);
        checkEndsDiffer(mistakes, &words[0], &words[1], "link");
        const auto key = linkKey(rule.from, rule.to);
        names.links.insert(key);
        defineSubject(mistakes, names, "link " + key, words[0],
                      "the link between " + rule.from + " and " + rule.to);
    }
    draft.rules.links.push_back(std::move(rule));
}

void parseService(const RuleLine &line, RuleDraft &draft)
{
    const auto words = checkShape(draft.mistakes, line, 1, {});
    draft.rules.services.push_back(
            {defineName(draft.mistakes, words[0], "service", draft.names.services)});
}

// Reads the name and the path of a class; both are unique in their service.
void readClassSubjects(const RuleLine &line, const Word &name, RuleDraft &draft, RequestClass &rule)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    rule.name = name.text.empty() ? std::string() : readName(mistakes, name);
    if (!rule.name.empty())
        defineSubject(mistakes, names, "class " + rule.service + " " + rule.name, name,
                      "the class " + quoted(rule.name) + " of the service");
    if (const Word *path = findValue(line, "path")) {
        checkPath(mistakes, *path);
        rule.pathPrefix = path->text;
        defineSubject(mistakes, names, "path " + rule.service + " " + rule.pathPrefix, *path,
                      "the class of the path " + quoted(path->text));
    }
}

void readClassTimes(const RuleLine &line, RuleMistakes &mistakes, RequestClass &rule)
{
    const auto milliseconds = [&](std::string_view key, double least, Milliseconds absent) {
        // A grant, and with it a request, lasts at most 30 s.
        return Milliseconds(static_cast<std::int64_t>(
                readNumber(mistakes, line, key, {.least = least, .most = 30000, .whole = true},
                           static_cast<double>(absent.count()))));
    };
    rule.deadline = milliseconds("deadline-ms", 1, rule.deadline);
    rule.queueLimit = milliseconds("queue-ms", 0, std::min(rule.queueLimit, rule.deadline));
    rule.silenceLimit = milliseconds("silence-ms", 1, rule.silenceLimit);
    if (const Word *queue = findValue(line, "queue-ms"); queue && rule.queueLimit > rule.deadline)
        addMistake(mistakes, Kind::BadNumber, *queue, "queue-ms is longer than the deadline",
                   "use at most " + std::to_string(rule.deadline.count()));
}

void parseClass(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words = checkShape(mistakes, line, 1, {"service", "path", "repeat"},
                                  {"importance", "deadline-ms", "queue-ms", "silence-ms"});
    RequestClass rule;
    rule.service = referTo(names, Kind::UnknownService, findValue(line, "service"));
    readClassSubjects(line, words[0], draft, rule);
    if (const Word *repeat = findValue(line, "repeat")) {
        if (const auto named = enumFromName(repeatNames, repeat->text))
            rule.repeat = *named;
        else
            addMistake(mistakes, Kind::BadValue, *repeat,
                       "repeat cannot be " + quoted(repeat->text),
                       "use " + allEnumNames(repeatNames));
    }
    rule.importance = static_cast<int>(
            readNumber(mistakes, line, "importance", {.least = 0, .most = 9, .whole = true}, 5));
    readClassTimes(line, mistakes, rule);
    draft.rules.classes.push_back(std::move(rule));
}

void parseTarget(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words =
            checkShape(mistakes, line, 1, {"service", "zone", "address", "slots", "connections"});
    TargetRule rule;
    rule.name = defineName(mistakes, words[0], "target", names.targets);
    rule.service = referTo(names, Kind::UnknownService, findValue(line, "service"));
    rule.zone = referTo(names, Kind::UnknownZone, findValue(line, "zone"));
    if (const Word *address = findValue(line, "address")) {
        checkAddress(mistakes, *address);
        rule.address = address->text;
        defineSubject(mistakes, names, "address " + rule.address, *address,
                      "the target of the address " + rule.address);
    }
    rule.slots = static_cast<int>(
            readNumber(mistakes, line, "slots", {.least = 1, .most = 10000, .whole = true}, 1));
    rule.connections = static_cast<int>(
            readNumber(mistakes, line, "connections", {.least = 1, .most = 1e6, .whole = true}, 1));
    draft.rules.targets.push_back(std::move(rule));
}

std::vector<WeightedRegion> readWeightedRegions(const Word &list, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    std::vector<WeightedRegion> regions;
    NameSet seen;
    for (const auto &part : split(list, ',')) {
        const auto colon = part.text.find(':');
        const Word region = part.part(0, colon);
        WeightedRegion weighted{referTo(names, Kind::UnknownRegion, &region), 1};
        if (colon != std::string_view::npos)
            weighted.weight =
                    static_cast<int>(readNumber(mistakes, part.part(colon + 1), "a weight",
                                                {.least = 1, .most = 10000, .whole = true}));
        if (!seen.insert(weighted.region).second)
            addMistake(mistakes, Kind::DuplicateName, region,
                       "the region " + quoted(region.text) + " is in the list twice",
                       "keep one of them");
        regions.push_back(std::move(weighted));
    }
    return regions;
}

// Reports a list of regions that is one more than a prefix table can hold.
void countRegionList(const std::vector<WeightedRegion> &regions, const Word &at, RuleDraft &draft)
{
    std::string key;
    for (const auto &[region, weight] : regions)
        key += region + ":" + std::to_string(weight) + ",";
    auto &lists = draft.regionLists;
    if (lists.size() < maxRegionChoices || lists.contains(key))
        lists.insert(std::move(key));
    else
        addMistake(draft.mistakes, Kind::TooManyChoices, at,
                   "more than " + std::to_string(maxRegionChoices) + " different region lists",
                   "use one of the lists of earlier lines");
}

void parseClients(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words = checkShape(mistakes, line, 1, {"regions"});
    ClientsRule rule{std::string(words[0].text), {}};
    if (!words[0].text.empty()) {
        if (const auto block = readBlock(mistakes, words[0]))
            defineSubject(mistakes, names, "clients " + blockText(*block), words[0],
                          "the region of the block " + std::string(words[0].text));
    }
    if (const Word *list = findValue(line, "regions")) {
        rule.regions = readWeightedRegions(*list, draft);
        countRegionList(rule.regions, *list, draft);
    }
    draft.rules.clients.push_back(std::move(rule));
}

// Finds the one key that names the subject of a cap or a drain.
template <class E, std::size_t N>
const Word *readSubject(RuleMistakes &mistakes, const RuleLine &line, const EnumName<E> (&table)[N],
                        E &kind)
{
    const Word *subject = nullptr;
    for (const auto &row : table) {
        const Word *word = findValue(line, row.name);
        if (word && subject) {
            addMistake(mistakes, Kind::DuplicateKey, *word, "the rule has more than one subject",
                       "write one rule for each");
        } else if (word) {
            subject = word;
            kind = row.value;
        }
    }
    if (!subject)
        addMistake(mistakes, Kind::MissingKey, line.kind, "the subject of the rule is missing",
                   "add one of " + allEnumNames(table) + " with \"=\" and its name");
    return subject;
}

void parseCap(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    checkShape(mistakes, line, 0, {"percent"}, {"region", "link", "shift"});
    CapRule rule;
    rule.percent = readNumber(mistakes, line, "percent", {.least = 0, .most = 100}, 100);
    const Word *subject = readSubject(mistakes, line, capKindNames, rule.kind);
    if (!subject)
        return;
    rule.subject = subject->text;
    // A link has one capacity each way and so one cap; the text keeps the operator's order.
    const auto key = rule.kind == CapKind::Link ? linkKey(rule.subject) : rule.subject;
    if (rule.kind == CapKind::Region)
        referTo(names, Kind::UnknownRegion, subject);
    else if (rule.kind == CapKind::Link)
        referTo(names, Kind::UnknownLink, subject);
    else if (rule.subject != "all")
        addMistake(mistakes, Kind::BadValue, *subject, "shift cannot be " + quoted(rule.subject),
                   "use all");
    defineSubject(mistakes, names,
                  "cap " + std::string(enumName(capKindNames, rule.kind)) + " " + key, *subject,
                  "the cap of " + key);
    draft.rules.caps.push_back(std::move(rule));
}

void parseMove(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    const auto words = checkShape(mistakes, line, 1,
                                  {"service", "from", "to", "percent", "cap-percent-per-minute"});
    MoveRule rule;
    rule.name = defineName(mistakes, words[0], "move", names.moves);
    rule.service = referTo(names, Kind::UnknownService, findValue(line, "service"));
    rule.from = referTo(names, Kind::UnknownRegion, findValue(line, "from"));
    rule.to = referTo(names, Kind::UnknownRegion, findValue(line, "to"));
    checkEndsDiffer(mistakes, findValue(line, "from"), findValue(line, "to"), "move");
    rule.percent = readNumber(mistakes, line, "percent", {.least = 0, .most = 100}, 100);
    rule.capPercentPerMinute =
            readNumber(mistakes, line, "cap-percent-per-minute", {.least = 0.001, .most = 100}, 10);
    draft.rules.moves.push_back(std::move(rule));
}

void parseDrain(const RuleLine &line, RuleDraft &draft)
{
    auto &mistakes = draft.mistakes;
    auto &names = draft.names;
    checkShape(mistakes, line, 0, {}, {"target", "zone", "region"});
    DrainRule rule;
    const Word *subject = readSubject(mistakes, line, drainKindNames, rule.kind);
    if (!subject)
        return;
    const Kind unknown = rule.kind == DrainKind::Target ? Kind::UnknownTarget
            : rule.kind == DrainKind::Zone              ? Kind::UnknownZone
                                                        : Kind::UnknownRegion;
    rule.subject = referTo(names, unknown, subject);
    defineSubject(mistakes, names,
                  "drain " + std::string(enumName(drainKindNames, rule.kind)) + " " + rule.subject,
                  *subject, "the drain of " + rule.subject);
    draft.rules.drains.push_back(std::move(rule));
}

constexpr RuleKind kinds[] = {
        {"region", parseRegion}, {"link", parseLink},     {"service", parseService},
        {"class", parseClass},   {"target", parseTarget}, {"clients", parseClients},
        {"cap", parseCap},       {"move", parseMove},     {"drain", parseDrain},
};

} // namespace

std::span<const RuleKind> ruleKinds()
{
    return kinds;
}

} // namespace chestnutvane::internal
