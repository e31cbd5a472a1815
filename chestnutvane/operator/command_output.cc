#include "chestnutvane/operator/command_output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "chestnutvane/version/rule_diff.h"

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

constexpr std::string_view red = "\x1b[31m";
constexpr std::string_view green = "\x1b[32m";
constexpr std::string_view plain = "\x1b[0m";

std::string coloured(std::string_view text, std::string_view code, Colour colour)
{
    return colour == Colour::On ? fmt::format("{}{}{}", code, text, plain) : std::string(text);
}

// A member as text: strings without quotes, all else as JSON, "-" if it is absent.
std::string show(const json &object, const char *name)
{
    if (!object.is_object() || !object.contains(name))
        return "-";
    const auto &member = object.at(name);
    return member.is_string() ? member.get<std::string>()
                              : member.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json &listOf(const json &object, const char *name)
{
    static const json none = json::array();
    return object.is_object() && object.contains(name) && object.at(name).is_array()
            ? object.at(name)
            : none;
}

std::string joined(const std::vector<std::string> &names)
{
    return fmt::format("{}", fmt::join(names, ", "));
}

std::string acceptedText(const ChangeReport &report)
{
    auto text = fmt::format("accepted as revision {}", report.revision);
    if (!report.instancesKnown)
        return text + "; no server told which instances have it\n";
    if (report.lagging.empty())
        text += "; in force at every live instance\n";
    else {
        text += fmt::format("; {} live instance(s) lag:\n", report.lagging.size());
        for (const auto &[id, revision] : report.lagging)
            text += fmt::format("  {} has revision {}\n", id, revision);
    }
    if (!report.silent.empty())
        text += fmt::format("not heard, and not waited for: {}\n", joined(report.silent));
    return text;
}

std::string conflictText(const ChangeReport &report, const Change &change,
                         const std::string *baseRules, Colour colour)
{
    auto text = fmt::format(
            "conflict: the change was made on revision {}; revision {} by {} is in force\n",
            change.baseRevision, report.revision, report.author);
    if (baseRules != nullptr)
        return text + "changed since by others:\n" + diffText(*baseRules, report.rules, colour);
    return text + "from what is in force to this change:\n"
            + diffText(report.rules, change.rules, colour);
}

// A number of an answer; 0 if it is absent or no number.
double realMember(const json &object, const char *name)
{
    return object.contains(name) && object.at(name).is_number() ? object.at(name).get<double>() : 0;
}

bool isKnown(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && !object.at(name).is_null();
}

std::string fleetUnitText(const json &unit, Colour colour)
{
    auto text = fmt::format("  {:<28} ", show(unit, "service") + "/" + show(unit, "region"));
    if (!isKnown(unit, "broker"))
        return text + coloured("no known broker", red, colour) + "\n";
    const auto state = show(unit, "broker-status");
    text += fmt::format("broker {:<16} {:<8} epoch {:<4} ", show(unit, "broker"),
                        coloured(state, state == "serving" ? green : red, colour),
                        show(unit, "epoch"));
    if (isKnown(unit, "report-age-ms"))
        text += fmt::format("{} of {} usable slots free, {} queued, headroom {:.2f}, {:.1f} s old",
                            show(unit, "free-slots"), show(unit, "usable-slots"),
                            show(unit, "queued"), realMember(unit, "headroom"),
                            realMember(unit, "report-age-ms") / 1000);
    else
        text += "no report of this epoch";
    return text + (show(unit, "configured") == "false" ? ", not in the configuration\n" : "\n");
}

// "refused for 588 s more", or what else becomes of a request with the crashes of a row.
std::string suspectStateText(const json &row, Colour colour)
{
    if (show(row, "refused") == "true")
        return coloured(fmt::format("refused for {:.0f} s more",
                                    std::ceil(realMember(row, "refused-for-ms") / 1000)),
                        red, colour);
    if (realMember(row, "crashes") == 0)
        return "cleared";
    const bool inPart =
            std::any_of(listOf(row, "regions").begin(), listOf(row, "regions").end(),
                        [](const json &region) { return show(region, "refused") == "true"; });
    return inPart ? "refused in part, else alone on its target" : "runs alone on its target";
}

} // namespace
} // namespace internal

std::string diffText(std::string_view before, std::string_view after, Colour colour)
{
    std::string text;
    for (const auto &line : diffLines(before, after))
        text += internal::coloured(fmt::format("{}{}: {}", line.sign, line.line, line.text),
                                   line.sign == '-' ? internal::red : internal::green, colour)
                + "\n";
    return text.empty() ? "no difference\n" : text;
}

std::string mistakesText(std::string_view file, const std::vector<RuleMistake> &mistakes,
                         Colour colour)
{
    std::string text;
    for (const auto &mistake : mistakes)
        text += fmt::format("{}:{}\n", file,
                            internal::coloured(mistakeText(mistake), internal::red, colour));
    return text;
}

std::string mistakesText(std::string_view file, const nlohmann::json &mistakes, Colour colour)
{
    using internal::show;
    std::string text;
    for (const auto &mistake : mistakes)
        text += fmt::format(
                "{}:{}\n", file,
                internal::coloured(fmt::format("{}:{}: {}: {}; {}", show(mistake, "line"),
                                               show(mistake, "column"), show(mistake, "kind"),
                                               show(mistake, "message"), show(mistake, "remedy")),
                                   internal::red, colour));
    return text;
}

std::string changeText(const ChangeReport &report, const Change &change,
                       const std::string *baseRules, Colour colour)
{
    switch (report.outcome) {
    case ChangeOutcome::Accepted:
    case ChangeOutcome::Lagging:
        return internal::acceptedText(report);
    case ChangeOutcome::Conflict:
        return internal::conflictText(report, change, baseRules, colour);
    case ChangeOutcome::NotAccepted:
        return fmt::format("not accepted ({}); nothing has changed\n", report.reason);
    case ChangeOutcome::BadRules:
        return fmt::format("not accepted: {}\n{}", report.reason,
                           mistakesText("rules", report.mistakes, colour));
    case ChangeOutcome::Undetermined:
        break;
    }
    return fmt::format("undetermined after {} attempt(s) ({}); the change may take effect. Ask "
                       "later with:\n  chestnutvanectl status --change {} --base {}\n",
                       report.attempts, report.reason, change.changeId, change.baseRevision);
}

std::string statusText(const nlohmann::json &status, Colour colour)
{
    using internal::listOf;
    using internal::show;
    auto text =
            fmt::format("answered by {} in zone {}: revision {}, ready {}, isolated {}, "
                        "leaving {}, store reachable {}, in flight {}\n\ninstances:\n",
                        show(status, "instance"), show(status, "zone"), show(status, "revision"),
                        show(status, "ready"), show(status, "isolated"), show(status, "leaving"),
                        show(status, "store-reachable"), show(status, "in-flight"));
    for (const auto &member : listOf(status, "members")) {
        const auto state = show(member, "status");
        std::string brokers; // the roles of a member that is gone are free or taken by others
        for (const auto &unit : listOf(member, state == "gone" ? "" : "brokers"))
            brokers += " " + (unit.is_string() ? unit.get<std::string>() : unit.dump());
        text += fmt::format("  {:<16} {:<10} {:<8} revision {:<6} {}{}\n", show(member, "id"),
                            show(member, "zone"),
                            internal::coloured(state,
                                               state == "serving" ? internal::green : internal::red,
                                               colour),
                            show(member, "revision"), show(member, "operator-address"),
                            brokers.empty() ? "" : "  broker of" + brokers);
    }
    text += fmt::format("\nunits of the fleet, as known to {}:\n", show(status, "instance"));
    for (const auto &unit : listOf(status, "fleet-units"))
        text += internal::fleetUnitText(unit, colour);
    const auto &ownUnits = listOf(status, "units");
    if (!ownUnits.empty())
        text += "\nmore on the units whose broker is the answering instance:\n";
    for (const auto &unit : ownUnits)
        text += fmt::format("  {}/{}: {} of {} slots in use, {} usable, {} queued, headroom {}{}\n",
                            show(unit, "service"), show(unit, "region"), show(unit, "in-use"),
                            show(unit, "slots"), show(unit, "effective-slots"),
                            show(unit, "queued"), show(unit, "headroom"),
                            show(unit, "rebuilding") == "true" ? ", rebuilding" : "");
    return text;
}

std::string changeStateText(const nlohmann::json &answer)
{
    using internal::show;
    const auto state = show(answer, "state");
    auto text = fmt::format("change {}: {}", show(answer, "change-id"), state);
    if (state == "accepted")
        text += fmt::format(" as revision {}", show(answer, "revision"));
    else if (state == "superseded")
        text += "; another change took its place, and it will not take effect";
    else if (state == "open")
        text += "; nothing was accepted on its base, and a write under way may yet take effect";
    else if (state == "not-found")
        text += "; give --base REVISION to learn whether it can still take effect";
    else
        text += "; the configuration has moved too far from its base to tell";
    return text
            + fmt::format("\nlooked up in revisions {} to {}, as known to the {}\n",
                          show(answer, "oldest-revision"), show(answer, "head-revision"),
                          show(answer, "source"));
}

std::string explainText(const nlohmann::json &answer)
{
    using internal::listOf;
    using internal::show;
    auto text = fmt::format("region {} at revision {}\n", show(answer, "region"),
                            show(answer, "revision"));
    for (const auto &step : listOf(answer, "steps"))
        text += fmt::format("  {}\n", step.is_string() ? step.get<std::string>() : step.dump());
    text += "instances:\n";
    for (const auto &entry : listOf(answer, "instances"))
        text += fmt::format("  {:<16} {:<10} weight {}\n", show(entry, "id"), show(entry, "zone"),
                            show(entry, "weight"));
    return text;
}

std::string suspectsText(const nlohmann::json &answer, Colour colour)
{
    using internal::listOf;
    using internal::realMember;
    using internal::show;
    const auto &suspects = listOf(answer, "suspects");
    auto text = fmt::format(
            "{} suspect(s) known to {}; refused at {} crashes in a region or {} in all\n",
            suspects.size(), show(answer, "instance"), show(answer, "region-limit"),
            show(answer, "fleet-limit"));
    for (const auto &suspect : suspects) {
        text += fmt::format(
                "  {:<20} {} crash(es) in all, {}; last news {:.0f} s ago, {} clear(s)\n",
                show(suspect, "fingerprint"), show(suspect, "crashes"),
                internal::suspectStateText(suspect, colour),
                std::floor(realMember(suspect, "age-ms") / 1000), show(suspect, "clears"));
        for (const auto &region : listOf(suspect, "regions"))
            text += fmt::format("    {:<18} {} crash(es), {}\n", show(region, "region"),
                                show(region, "crashes"),
                                internal::suspectStateText(region, colour));
    }
    return text;
}

std::string clearedText(const nlohmann::json &answer)
{
    using internal::show;
    auto text = fmt::format("cleared {} at {}: {} crash(es) known there no longer count\n"
                            "the other instances hear of it by heartbeats, within seconds\n",
                            show(answer, "fingerprint"), show(answer, "instance"),
                            show(answer, "crashes"));
    std::vector<std::string> silent;
    for (const auto &id : internal::listOf(answer, "silent"))
        silent.push_back(id.is_string() ? id.get<std::string>() : id.dump());
    if (!silent.empty())
        text += fmt::format("not heard now, told when they are back: {}\n",
                            internal::joined(silent));
    return text;
}

} // namespace chestnutvane
