#include "chestnutvane/version/rule_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "chestnutvane/version/client_block.h"
#include "chestnutvane/version/prefix_table.h"

namespace chestnutvane {

namespace {

using Kind = RuleMistakeKind;

// A piece of a line with its place.
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

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

// Lists at most eight names, because a remedy is one line of text.
std::string listNames(const std::set<std::string, std::less<>> &names)
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

class Parser
{
public:
    Result<RuleSet, std::vector<RuleMistake>> parse(std::string_view text)
    {
        int line = 0;
        while (!text.empty()) {
            const auto end = text.find('\n');
            parseLine(text.substr(0, end), ++line);
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        checkReferences();
        if (mistakes_.empty())
            return std::move(rules_);
        std::stable_sort(mistakes_.begin(), mistakes_.end(),
                         [](const RuleMistake &a, const RuleMistake &b) {
                             return std::tie(a.line, a.column) < std::tie(b.line, b.column);
                         });
        return std::move(mistakes_);
    }

private:
    using NameSet = std::set<std::string, std::less<>>;

    struct Reference
    {
        Kind unknown; // the mistake if the name does not exist
        Word name;
    };

    void add(Kind kind, const Word &at, std::string message, std::string remedy)
    {
        mistakes_.push_back({at.line, at.column, kind, std::move(message), std::move(remedy)});
    }

    void parseLine(std::string_view line, int number)
    {
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        const auto hash = line.find('#');
        const auto body = line.substr(0, hash);
        RuleLine rule;
        bool first = true;
        for (std::size_t at = 0;
             (at = body.find_first_not_of(" \t", at)) != std::string_view::npos;) {
            const auto end = std::min(body.find_first_of(" \t", at), body.size());
            const Word word{body.substr(at, end - at), number, static_cast<int>(at) + 1};
            at = end;
            if (std::exchange(first, false))
                rule.kind = word;
            else if (const auto equals = word.text.find('='); equals == std::string_view::npos)
                rule.names.push_back(word);
            else if (!rule.values.emplace(word.text.substr(0, equals), word.part(equals + 1))
                              .second)
                add(Kind::DuplicateKey, word,
                    "the key " + quoted(word.text.substr(0, equals)) + " is given twice",
                    "keep one of them");
        }
        if (first)
            return;
        checkComment(line, hash, number);
        parseRule(rule);
    }

    void checkComment(std::string_view line, std::size_t hash, int number)
    {
        constexpr std::string_view start = "asked by ";
        const auto at = std::min(hash, line.size());
        auto comment = line.substr(at);
        comment.remove_prefix(std::min(comment.find_first_not_of("# \t"), comment.size()));
        const bool named = comment.substr(0, start.size()) == start
                && comment.find_first_not_of(" \t", start.size()) != std::string_view::npos;
        if (!named)
            add(Kind::MissingComment, {{}, number, static_cast<int>(at) + 1},
                "the rule does not name who asked for it", "end the line with \"# asked by WHO\"");
    }

    void parseRule(const RuleLine &line)
    {
        const auto kind = line.kind.text;
        if (kind == "region")
            parseRegion(line);
        else if (kind == "link")
            parseLink(line);
        else if (kind == "service")
            parseService(line);
        else if (kind == "class")
            parseClass(line);
        else if (kind == "target")
            parseTarget(line);
        else if (kind == "clients")
            parseClients(line);
        else if (kind == "cap")
            parseCap(line);
        else if (kind == "move")
            parseMove(line);
        else if (kind == "drain")
            parseDrain(line);
        else
            add(Kind::UnknownRule, line.kind, quoted(kind) + " is not a kind of rule",
                "use one of region, link, service, class, target, clients, cap, move, drain");
    }

    // Checks the number of names, and that all keys are known and all required ones are there.
    // Returns the names that are there, filled up with empty words.
    std::vector<Word> checkShape(const RuleLine &line, std::size_t nameCount,
                                 std::initializer_list<std::string_view> required,
                                 std::initializer_list<std::string_view> optional = {})
    {
        auto names = line.names;
        for (std::size_t i = nameCount; i < names.size(); ++i)
            add(Kind::UnexpectedWord, names[i], "unexpected word " + quoted(names[i].text),
                "remove it or write key=value");
        if (names.size() < nameCount)
            add(Kind::MissingName, line.kind,
                "a " + std::string(line.kind.text) + " rule needs "
                        + (nameCount == 1 ? "a name" : std::to_string(nameCount) + " names")
                        + " after the kind",
                "write " + std::string(line.kind.text)
                        + (nameCount == 1 ? " NAME ..." : " NAME NAME ..."));
        names.resize(nameCount, Word{{}, line.kind.line, line.kind.column});
        std::string allowed;
        for (const auto &list : {required, optional}) {
            for (const auto key : list)
                allowed += (allowed.empty() ? "" : ", ") + std::string(key);
        }
        for (const auto &[key, value] : line.values) {
            const auto known = [&key = key](const auto &list) {
                return std::find(list.begin(), list.end(), key) != list.end();
            };
            if (!known(required) && !known(optional))
                add(Kind::UnknownKey,
                    {key, value.line, value.column - static_cast<int>(key.size()) - 1},
                    "a " + std::string(line.kind.text) + " rule has no key " + quoted(key),
                    allowed.empty() ? "remove it" : "use " + allowed);
        }
        for (const auto key : required) {
            if (!line.values.contains(key))
                add(Kind::MissingKey, line.kind, "the key " + quoted(key) + " is missing",
                    "add " + std::string(key) + "=...");
        }
        return names;
    }

    // Returns a value, or nothing if the key is absent; checkShape has reported that.
    static const Word *find(const RuleLine &line, std::string_view key)
    {
        const auto at = line.values.find(key);
        return at == line.values.end() ? nullptr : &at->second;
    }

    std::string readName(const Word &word)
    {
        constexpr std::string_view allowed
                = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
        if (word.text.empty() || word.text.size() > 64
            || word.text.find_first_not_of(allowed) != std::string_view::npos)
            add(Kind::BadName, word, quoted(word.text) + " is not a name",
                "use 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
        return std::string(word.text);
    }

    // Reads a name that a rule introduces. Names of one kind must differ.
    std::string defineName(const Word &word, std::string_view what, NameSet &names)
    {
        if (word.text.empty())
            return {};
        auto name = readName(word);
        if (!names.insert(name).second)
            add(Kind::DuplicateName, word,
                "the " + std::string(what) + " " + quoted(name) + " is already there",
                "choose another name or remove one of the rules");
        return name;
    }

    // Reads a name that another rule introduces.
    std::string referTo(Kind unknown, const Word *word)
    {
        if (!word || (word->text.empty() && word->column == 1))
            return {};
        references_.push_back({unknown, *word});
        return std::string(word->text);
    }

    double readNumber(const RuleLine &line, std::string_view key, double least, double most,
                      bool whole, double absent)
    {
        const Word *word = find(line, key);
        return word ? readNumber(*word, key, least, most, whole) : absent;
    }

    double readNumber(const Word &word, std::string_view key, double least, double most, bool whole)
    {
        double number = 0;
        const char *end = word.text.data() + word.text.size();
        const auto [stop, status]
                = std::from_chars(word.text.data(), end, number, std::chars_format::fixed);
        const bool valid = status == std::errc() && stop == end && number >= least && number <= most
                && (!whole || number == std::floor(number));
        if (valid)
            return number;
        const auto number10 = [](double value) {
            std::string text = std::to_string(value);
            text.erase(text.find_last_not_of('0') + 1);
            if (text.back() == '.')
                text.pop_back();
            return text;
        };
        add(Kind::BadNumber, word, std::string(key) + " cannot be " + quoted(word.text),
            std::string("use a ") + (whole ? "whole " : "") + "number from " + number10(least)
                    + " to " + number10(most));
        return least;
    }

    // Reports a second rule about the same subject.
    void defineSubject(const std::string &subject, const Word &at, const std::string &what)
    {
        if (const auto [earlier, isNew] = subjects_.emplace(subject, at.line); !isNew)
            add(Kind::DuplicateRule, at,
                what + " is already set in line " + std::to_string(earlier->second),
                "remove one of the two rules");
    }

    void parseRegion(const RuleLine &line)
    {
        const auto names = checkShape(line, 1, {"zones"});
        RegionRule rule{defineName(names[0], "region", regions_), {}};
        if (const Word *zones = find(line, "zones")) {
            for (const auto &zone : split(*zones, ',')) {
                rule.zones.push_back(readName(zone));
                if (!zones_.insert(rule.zones.back()).second)
                    add(Kind::DuplicateName, zone,
                        "the zone " + quoted(zone.text) + " is already in a region",
                        "name each zone once in one region");
            }
        }
        rules_.regions.push_back(std::move(rule));
    }

    void checkEndsDiffer(const Word *from, const Word *to, std::string_view what)
    {
        if (from && to && !from->text.empty() && from->text == to->text)
            add(Kind::SameRegion, *to,
                "both ends of the " + std::string(what) + " are " + quoted(to->text),
                "name two different regions");
    }

    static std::string pairOf(std::string_view a, std::string_view b)
    {
        return std::string(std::min(a, b)) + ":" + std::string(std::max(a, b));
    }

    void parseLink(const RuleLine &line)
    {
        const auto names = checkShape(line, 2, {"capacity-mbps"});
        LinkRule rule;
        rule.capacityMbps = readNumber(line, "capacity-mbps", 0.001, 1e7, false, 1);
        if (!names[1].text.empty()) {
            rule.from = referTo(Kind::UnknownRegion, &names[0]);
            rule.to = referTo(Kind::UnknownRegion, &names[1]);
            checkEndsDiffer(&names[0], &names[1], "link");
            links_.insert(pairOf(rule.from, rule.to));
            defineSubject("link " + pairOf(rule.from, rule.to), names[0],
                          "the link between " + rule.from + " and " + rule.to);
        }
        rules_.links.push_back(std::move(rule));
    }

    void parseService(const RuleLine &line)
    {
        const auto names = checkShape(line, 1, {});
        rules_.services.push_back({defineName(names[0], "service", services_)});
    }

    void checkPath(const Word &path)
    {
        std::string wrong;
        if (path.text.empty() || path.text.front() != '/') {
            wrong = "does not start with \"/\"";
        } else if (path.text.size() > 1) {
            for (const auto &segment : split(path.part(1), '/')) {
                if (segment.text.empty())
                    wrong = "has an empty segment";
                else if (segment.text == "." || segment.text == "..")
                    wrong = "has a segment " + quoted(segment.text);
            }
        }
        if (path.text.find('?') != std::string_view::npos)
            wrong = "has a query";
        if (!wrong.empty())
            add(Kind::BadPath, path, "the path " + quoted(path.text) + " " + wrong,
                "write \"/\" or segments such as /checkout or /wax-lots/reserve");
    }

    void parseClass(const RuleLine &line)
    {
        const auto names = checkShape(line, 1, {"service", "path", "repeat"},
                                      {"importance", "deadline-ms", "queue-ms", "silence-ms"});
        RequestClass rule;
        rule.service = referTo(Kind::UnknownService, find(line, "service"));
        rule.name = names[0].text.empty() ? std::string() : readName(names[0]);
        if (!rule.name.empty())
            defineSubject("class " + rule.service + " " + rule.name, names[0],
                          "the class " + quoted(rule.name) + " of the service");
        if (const Word *path = find(line, "path")) {
            checkPath(*path);
            rule.pathPrefix = path->text;
            defineSubject("path " + rule.service + " " + rule.pathPrefix, *path,
                          "the class of the path " + quoted(path->text));
        }
        if (const Word *repeat = find(line, "repeat")) {
            if (const auto named = enumFromName(repeatNames, repeat->text))
                rule.repeat = *named;
            else
                add(Kind::BadValue, *repeat, "repeat cannot be " + quoted(repeat->text),
                    "use " + allEnumNames(repeatNames));
        }
        const auto milliseconds = [&](std::string_view key, double least, Milliseconds absent) {
            // A grant, and with it a request, lasts at most 30 s.
            return Milliseconds(static_cast<std::int64_t>(readNumber(
                    line, key, least, 30000, true, static_cast<double>(absent.count()))));
        };
        rule.importance = static_cast<int>(readNumber(line, "importance", 0, 9, true, 5));
        rule.deadline = milliseconds("deadline-ms", 1, rule.deadline);
        rule.queueLimit = milliseconds("queue-ms", 0, std::min(rule.queueLimit, rule.deadline));
        rule.silenceLimit = milliseconds("silence-ms", 1, rule.silenceLimit);
        if (const Word *queue = find(line, "queue-ms"); queue && rule.queueLimit > rule.deadline)
            add(Kind::BadNumber, *queue, "queue-ms is longer than the deadline",
                "use at most " + std::to_string(rule.deadline.count()));
        rules_.classes.push_back(std::move(rule));
    }

    void checkAddress(const Word &word)
    {
        const auto colon = word.text.rfind(':');
        auto host = word.text.substr(0, colon);
        const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        if (bracketed)
            host = host.substr(1, host.size() - 2);
        const auto address = parseIpAddress(host);
        int port = 0;
        bool valid = colon != std::string_view::npos && address
                && bracketed == (address->family == IpFamily::V6);
        if (valid) {
            const auto digits = word.text.substr(colon + 1);
            const char *end = digits.data() + digits.size();
            const auto [stop, status] = std::from_chars(digits.data(), end, port);
            valid = status == std::errc() && stop == end && port >= 1 && port <= 65535;
        }
        if (!valid)
            add(Kind::BadAddress, word, quoted(word.text) + " is not an address with a port",
                "write IP:PORT, or [IP]:PORT for IPv6, with a port from 1 to 65535");
    }

    void parseTarget(const RuleLine &line)
    {
        const auto names
                = checkShape(line, 1, {"service", "zone", "address", "slots", "connections"});
        TargetRule rule;
        rule.name = defineName(names[0], "target", targets_);
        rule.service = referTo(Kind::UnknownService, find(line, "service"));
        rule.zone = referTo(Kind::UnknownZone, find(line, "zone"));
        if (const Word *address = find(line, "address")) {
            checkAddress(*address);
            rule.address = address->text;
            defineSubject("address " + rule.address, *address,
                          "the target of the address " + rule.address);
        }
        rule.slots = static_cast<int>(readNumber(line, "slots", 1, 10000, true, 1));
        rule.connections = static_cast<int>(readNumber(line, "connections", 1, 1e6, true, 1));
        rules_.targets.push_back(std::move(rule));
    }

    void checkBlock(const Word &word)
    {
        const auto block = parseClientBlock(word.text);
        if (isOk(block)) {
            defineSubject("clients " + blockText(value(block)), word,
                          "the region of the block " + std::string(word.text));
            return;
        }
        std::string remedy = "write an address, \"/\" and the number of its fixed bits, such as "
                             "10.1.0.0/16 or 2001:db8::/32";
        if (error(block) == ClientBlockError::HostBitsSet) {
            const auto slash = word.text.find('/');
            int length = 0;
            std::from_chars(word.text.data() + slash + 1, word.text.data() + word.text.size(),
                            length);
            const auto address = parseIpAddress(word.text.substr(0, slash));
            if (address)
                remedy = "write "
                        + blockText({maskAddress(*address, length),
                                     static_cast<std::uint8_t>(length)});
        }
        add(Kind::BadBlock, word,
            quoted(word.text) + " is not a block of addresses ("
                    + std::string(enumName(clientBlockErrorNames, error(block))) + ")",
            remedy);
    }

    void parseClients(const RuleLine &line)
    {
        const auto names = checkShape(line, 1, {"regions"});
        ClientsRule rule{std::string(names[0].text), {}};
        if (!names[0].text.empty())
            checkBlock(names[0]);
        if (const Word *list = find(line, "regions")) {
            NameSet seen;
            for (const auto &part : split(*list, ',')) {
                const auto colon = part.text.find(':');
                const Word region = part.part(0, colon);
                WeightedRegion weighted{referTo(Kind::UnknownRegion, &region), 1};
                if (colon != std::string_view::npos)
                    weighted.weight = static_cast<int>(
                            readNumber(part.part(colon + 1), "a weight", 1, 10000, true));
                if (!seen.insert(weighted.region).second)
                    add(Kind::DuplicateName, region,
                        "the region " + quoted(region.text) + " is in the list twice",
                        "keep one of them");
                rule.regions.push_back(std::move(weighted));
            }
            std::string key;
            for (const auto &[region, weight] : rule.regions)
                key += region + ":" + std::to_string(weight) + ",";
            if (choices_.size() < maxRegionChoices || choices_.contains(key))
                choices_.insert(std::move(key));
            else
                add(Kind::TooManyChoices, *list,
                    "more than " + std::to_string(maxRegionChoices) + " different region lists",
                    "use one of the lists of earlier lines");
        }
        rules_.clients.push_back(std::move(rule));
    }

    void parseCap(const RuleLine &line)
    {
        checkShape(line, 0, {"percent"}, {"region", "link", "shift"});
        CapRule rule;
        rule.percent = readNumber(line, "percent", 0, 100, false, 100);
        const Word *subject = readSubject(line, capKindNames, rule.kind);
        if (!subject)
            return;
        rule.subject = subject->text;
        if (rule.kind == CapKind::Region) {
            referTo(Kind::UnknownRegion, subject);
        } else if (rule.kind == CapKind::Link) {
            referTo(Kind::UnknownLink, subject);
            if (const auto colon = subject->text.find(':'); colon != std::string_view::npos)
                rule.subject
                        = pairOf(subject->text.substr(0, colon), subject->text.substr(colon + 1));
        } else if (subject->text != "all") {
            add(Kind::BadValue, *subject, "shift cannot be " + quoted(subject->text), "use all");
        }
        defineSubject("cap " + std::string(enumName(capKindNames, rule.kind)) + " " + rule.subject,
                      *subject, "the cap of " + rule.subject);
        // A link has one capacity each way and so one cap; the text keeps the operator's order.
        rule.subject = subject->text;
        rules_.caps.push_back(std::move(rule));
    }

    // Finds the one key that names the subject of a cap or a drain.
    template <class E, std::size_t N>
    const Word *readSubject(const RuleLine &line, const EnumName<E> (&table)[N], E &kind)
    {
        const Word *subject = nullptr;
        for (const auto &row : table) {
            const Word *word = find(line, row.name);
            if (word && subject) {
                add(Kind::DuplicateKey, *word, "the rule has more than one subject",
                    "write one rule for each");
            } else if (word) {
                subject = word;
                kind = row.value;
            }
        }
        if (!subject)
            add(Kind::MissingKey, line.kind, "the subject of the rule is missing",
                "add one of " + allEnumNames(table) + " with \"=\" and its name");
        return subject;
    }

    void parseMove(const RuleLine &line)
    {
        const auto names = checkShape(
                line, 1, {"service", "from", "to", "percent", "cap-percent-per-minute"});
        MoveRule rule;
        rule.name = defineName(names[0], "move", moves_);
        rule.service = referTo(Kind::UnknownService, find(line, "service"));
        rule.from = referTo(Kind::UnknownRegion, find(line, "from"));
        rule.to = referTo(Kind::UnknownRegion, find(line, "to"));
        checkEndsDiffer(find(line, "from"), find(line, "to"), "move");
        rule.percent = readNumber(line, "percent", 0, 100, false, 100);
        rule.capPercentPerMinute
                = readNumber(line, "cap-percent-per-minute", 0.001, 100, false, 10);
        rules_.moves.push_back(std::move(rule));
    }

    void parseDrain(const RuleLine &line)
    {
        checkShape(line, 0, {}, {"target", "zone", "region"});
        DrainRule rule;
        const Word *subject = readSubject(line, drainKindNames, rule.kind);
        if (!subject)
            return;
        const Kind unknown = rule.kind == DrainKind::Target ? Kind::UnknownTarget
                : rule.kind == DrainKind::Zone              ? Kind::UnknownZone
                                                            : Kind::UnknownRegion;
        rule.subject = referTo(unknown, subject);
        defineSubject("drain " + std::string(enumName(drainKindNames, rule.kind)) + " "
                              + rule.subject,
                      *subject, "the drain of " + rule.subject);
        rules_.drains.push_back(std::move(rule));
    }

    void checkReferences()
    {
        for (const auto &[unknown, name] : references_) {
            const NameSet &known = unknown == Kind::UnknownRegion ? regions_
                    : unknown == Kind::UnknownZone                ? zones_
                    : unknown == Kind::UnknownService             ? services_
                    : unknown == Kind::UnknownTarget              ? targets_
                                                                  : links_;
            std::string key(name.text);
            if (const auto colon = key.find(':');
                unknown == Kind::UnknownLink && colon != std::string::npos)
                key = pairOf(key.substr(0, colon), key.substr(colon + 1));
            if (known.contains(key))
                continue;
            std::string what(enumName(ruleMistakeKindNames, unknown));
            what.erase(0, what.find('-') + 1);
            add(unknown, name, "no " + what + " " + quoted(name.text),
                "add it or use a known " + what + ": " + listNames(known));
        }
    }

    RuleSet rules_;
    std::vector<RuleMistake> mistakes_;
    std::vector<Reference> references_;
    std::map<std::string, int> subjects_; // line of the first rule about a subject
    NameSet regions_;
    NameSet zones_;
    NameSet services_;
    NameSet targets_;
    NameSet moves_;
    NameSet links_; // "A:B" with the names in order
    NameSet choices_;
};

} // namespace

Result<RuleSet, std::vector<RuleMistake>> parseRules(std::string_view text)
{
    return Parser().parse(text);
}

std::string mistakeText(const RuleMistake &mistake)
{
    return std::to_string(mistake.line) + ":" + std::to_string(mistake.column) + ": "
            + std::string(enumName(ruleMistakeKindNames, mistake.kind)) + ": " + mistake.message
            + "; " + mistake.remedy;
}

} // namespace chestnutvane
