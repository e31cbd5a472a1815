#include "chestnutvane/operator/commands.h"

#include <fmt/format.h>

#include <variant>

#include "chestnutvane/operator/request_story.h"
#include "chestnutvane/operator/rule_edit.h"
#include "chestnutvane/version/rule_diff.h"
#include "chestnutvane/version/rule_parser.h"
#include "chestnutvane/version/version.h"

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

constexpr Milliseconds readTimeout{3000}; // of each server
constexpr int statusOk = 200;

std::string dumped(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

CommandResult failed(const Command &command, ExitStatus status, const std::string &kind,
                     const std::string &detail)
{
    if (command.json)
        return {status, dumped({{"error", kind}, {"detail", detail}}), {}};
    return {status, {}, fmt::format("chestnutvanectl: {}: {}\n", kind, detail)};
}

CommandResult succeeded(const Command &command, const json &body, const std::string &text)
{
    return {ExitStatus::Done, command.json ? dumped(body) : text, {}};
}

// The configuration in force at an instance.
struct InForce
{
    std::uint64_t revision = 0;
    std::string rules;
};

// Calls GET and yields the body, or the result that ends the command.
std::variant<json, CommandResult> read(const Command &command, const CommandContext &context,
                                       const std::string &path)
{
    const auto answer = context.client.get(path, readTimeout);
    if (!isOk(answer))
        return failed(command, ExitStatus::Failed, "no-server", error(answer).detail);
    const auto &[status, body, server] = value(answer);
    if (status != statusOk)
        return failed(command, ExitStatus::Failed, textMember(body, "error"),
                      fmt::format("{} answered with status {} {}", server, status,
                                  textMember(body, "detail")));
    return body;
}

std::variant<InForce, CommandResult> readInForce(const Command &command,
                                                 const CommandContext &context)
{
    auto answer = read(command, context, "/v1/config");
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &body = std::get<json>(answer);
    if (!body.contains("revision") || !body["revision"].is_number_unsigned()
        || !body.contains("rules") || !body["rules"].is_string())
        return failed(command, ExitStatus::Failed, "bad-answer",
                      "the answer to /v1/config has no revision or no rules");
    return InForce{body["revision"], body["rules"]};
}

// Nothing if the rules can be used, or the result that ends the command.
std::optional<CommandResult> findMistakes(const Command &command, const CommandContext &context,
                                          const std::string &file, const std::string &rules)
{
    if (const auto parsed = parseRules(rules); !isOk(parsed)) {
        if (!command.json)
            return CommandResult{
                    ExitStatus::BadUsage, {}, mistakesText(file, error(parsed), context.colour)};
        json list = json::array();
        for (const auto &mistake : error(parsed))
            list.push_back({{"line", mistake.line},
                            {"column", mistake.column},
                            {"kind", enumName(ruleMistakeKindNames, mistake.kind)},
                            {"message", mistake.message},
                            {"remedy", mistake.remedy}});
        return CommandResult{
                ExitStatus::BadUsage,
                dumped({{"error", "bad-rules"}, {"file", file}, {"mistakes", std::move(list)}}),
                {}};
    }
    if (const auto compiled = compileVersion(0, rules); !isOk(compiled))
        return failed(command, ExitStatus::BadUsage, "bad-rules",
                      fmt::format("{}: {}", file, error(compiled).detail));
    if (!isUtf8(rules))
        return failed(command, ExitStatus::BadUsage, "bad-text", file + ": not UTF-8");
    return std::nullopt;
}

// The text of a checked rule file, or the result that ends the command.
std::variant<std::string, CommandResult> readRules(const Command &command,
                                                   const CommandContext &context)
{
    auto rules = context.readFile(command.file);
    if (!rules)
        return failed(command, ExitStatus::Failed, "unreadable-file", command.file);
    if (auto end = findMistakes(command, context, command.file, *rules))
        return std::move(*end);
    return std::move(*rules);
}

// A checked rule file and what is in force before it.
struct Proposal
{
    std::string rules;
    InForce inForce;
};

// Reads the file before it asks an instance, so that a mistake in it is told without one.
std::variant<Proposal, CommandResult> readProposal(const Command &command,
                                                   const CommandContext &context)
{
    auto rules = readRules(command, context);
    if (auto *end = std::get_if<CommandResult>(&rules))
        return std::move(*end);
    auto inForce = readInForce(command, context);
    if (auto *end = std::get_if<CommandResult>(&inForce))
        return std::move(*end);
    return Proposal{std::move(std::get<std::string>(rules)), std::move(std::get<InForce>(inForce))};
}

CommandResult check(const Command &command, const CommandContext &context)
{
    auto rules = readRules(command, context);
    if (auto *end = std::get_if<CommandResult>(&rules))
        return std::move(*end);
    return succeeded(command, {{"file", command.file}, {"mistakes", json::array()}},
                     command.file + ": no mistakes\n");
}

CommandResult diff(const Command &command, const CommandContext &context)
{
    auto proposal = readProposal(command, context);
    if (auto *end = std::get_if<CommandResult>(&proposal))
        return std::move(*end);
    const auto &[after, inForce] = std::get<Proposal>(proposal);
    const auto &[revision, before] = inForce;
    json lines = json::array();
    for (const auto &line : diffLines(before, after))
        lines.push_back(
                {{"sign", std::string(1, line.sign)}, {"line", line.line}, {"text", line.text}});
    return succeeded(command, {{"revision", revision}, {"lines", std::move(lines)}},
                     fmt::format("from revision {} to {}:\n{}", revision, command.file,
                                 diffText(before, after, context.colour)));
}

ExitStatus exitStatusOf(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return ExitStatus::Done;
    case ChangeOutcome::Lagging:
        return ExitStatus::Lagging;
    case ChangeOutcome::Conflict:
        return ExitStatus::Conflict;
    case ChangeOutcome::NotAccepted:
        return ExitStatus::Failed;
    case ChangeOutcome::BadRules:
        return ExitStatus::BadUsage;
    case ChangeOutcome::Undetermined:
        break;
    }
    return ExitStatus::Undetermined;
}

json changeJson(const ChangeReport &report, const Change &change)
{
    json body{{"change-id", change.changeId},
              {"base-revision", change.baseRevision},
              {"outcome", enumName(changeOutcomeNames, report.outcome)},
              {"reason", report.reason},
              {"revision", report.revision},
              {"attempts", report.attempts},
              {"instances-known", report.instancesKnown},
              {"lagging", json::array()},
              {"silent", report.silent}};
    for (const auto &[id, revision] : report.lagging)
        body["lagging"].push_back({{"id", id}, {"revision", revision}});
    if (report.outcome == ChangeOutcome::BadRules)
        body["mistakes"] = report.mistakes;
    if (report.outcome == ChangeOutcome::Conflict) {
        body["author"] = report.author;
        body["rules"] = report.rules;
    }
    return body;
}

// Applies rules to the revision in force, or to "--base".
CommandResult applyRules(const Command &command, const CommandContext &context,
                         const InForce &inForce, std::string rules, std::string author)
{
    const Change change{.changeId = context.newChangeId(),
                        .author = std::move(author),
                        .rules = std::move(rules),
                        .baseRevision = command.base.value_or(inForce.revision),
                        .timeout = command.timeout};
    // Shown before the change is sent, so that an operator who stops the tool can ask for it.
    context.progress(fmt::format("change {} on revision {}", change.changeId, change.baseRevision));
    const auto report = applyChange(context.client, context.waiting, change);
    const auto *baseRules = change.baseRevision == inForce.revision ? &inForce.rules : nullptr;
    return {exitStatusOf(report.outcome),
            command.json ? dumped(changeJson(report, change))
                         : changeText(report, change, baseRules, context.colour),
            {}};
}

CommandResult apply(const Command &command, const CommandContext &context)
{
    auto proposal = readProposal(command, context);
    if (auto *end = std::get_if<CommandResult>(&proposal))
        return std::move(*end);
    auto &[rules, inForce] = std::get<Proposal>(proposal);
    return applyRules(command, context, inForce, std::move(rules), command.author);
}

CommandResult drain(const Command &command, const CommandContext &context)
{
    auto answer = readInForce(command, context);
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &inForce = std::get<InForce>(answer);
    const DrainRule rule{command.drainKind, command.drainSubject};
    auto edited = command.undo ? removeDrain(inForce.rules, rule)
                               : addDrain(inForce.rules, rule, command.askedBy);
    if (!isOk(edited))
        return failed(command, ExitStatus::Failed,
                      std::string(enumName(editFaultNames, error(edited))),
                      fmt::format("{} {} at revision {}", enumName(drainKindNames, rule.kind),
                                  rule.subject, inForce.revision));
    auto &rules = value(edited);
    if (auto end = findMistakes(command, context,
                                fmt::format("revision {} with the drain", inForce.revision), rules))
        return std::move(*end);
    // The line that named who asked is gone after an undo, so the author names it.
    auto author = command.undo ? command.author + ", asked by " + command.askedBy : command.author;
    return applyRules(command, context, inForce, std::move(rules), std::move(author));
}

CommandResult changeStatus(const Command &command, const CommandContext &context)
{
    auto path = "/v1/change?id=" + queryEncoded(command.changeId);
    if (command.base)
        path += fmt::format("&base={}", *command.base);
    auto answer = read(command, context, path);
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &body = std::get<json>(answer);
    auto result = succeeded(command, body, changeStateText(body));
    if (const auto state = textMember(body, "state"); state == "superseded")
        result.status = ExitStatus::Conflict;
    else if (state != "accepted")
        result.status = ExitStatus::Undetermined;
    return result;
}

CommandResult status(const Command &command, const CommandContext &context)
{
    if (!command.changeId.empty())
        return changeStatus(command, context);
    auto answer = read(command, context, "/v1/status");
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &body = std::get<json>(answer);
    return succeeded(command, body, statusText(body, context.colour));
}

CommandResult explainRequest(const Command &command, const CommandContext &context)
{
    std::vector<LogRecord> records;
    for (const auto &path : command.logFiles) {
        const auto text = context.readFile(path);
        if (!text)
            return failed(command, ExitStatus::Failed, "unreadable", path);
        auto more = parseLog(*text);
        records.insert(records.end(), std::make_move_iterator(more.begin()),
                       std::make_move_iterator(more.end()));
    }
    const RequestStory story = tellStory(records, command.request);
    json steps = json::array();
    for (const auto &[time, instance, words] : story.steps)
        steps.push_back({{"time", time}, {"instance", instance}, {"text", words}});
    auto result = succeeded(command,
                            {{"request", story.request},
                             {"end", enumName(storyEndNames, story.end)},
                             {"cause", story.cause},
                             {"steps", steps},
                             {"droppedLines", story.droppedLines}},
                            storyText(story));
    if (story.end == StoryEnd::NotFound)
        result.status = ExitStatus::Failed;
    return result;
}

CommandResult explain(const Command &command, const CommandContext &context)
{
    if (!command.request.empty())
        return explainRequest(command, context);
    auto answer = read(command, context,
                       "/v1/explain?service=" + queryEncoded(command.service)
                               + "&client=" + queryEncoded(command.client));
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &body = std::get<json>(answer);
    return succeeded(command, body, explainText(body));
}

CommandResult clearSuspect(const Command &command, const CommandContext &context)
{
    const auto answer = context.client.post(
            "/v1/suspects/clear", {{"fingerprint", std::to_string(*command.clear)}}, readTimeout);
    if (!isOk(answer)) {
        // A clear may be repeated, so the operator is only told that it may have been made.
        const bool lost = error(answer).failure == CallFailure::AnswerLost;
        return failed(command, lost ? ExitStatus::Undetermined : ExitStatus::Failed,
                      std::string(enumName(callFailureNames, error(answer).failure)),
                      error(answer).detail);
    }
    const auto &[status, body, server] = value(answer);
    if (status != statusOk)
        return failed(command, ExitStatus::Failed, textMember(body, "error"),
                      fmt::format("{} answered with status {} {}", server, status,
                                  textMember(body, "detail")));
    return succeeded(command, body, clearedText(body));
}

CommandResult suspects(const Command &command, const CommandContext &context)
{
    if (command.clear)
        return clearSuspect(command, context);
    auto answer = read(command, context, "/v1/suspects");
    if (auto *end = std::get_if<CommandResult>(&answer))
        return std::move(*end);
    const auto &body = std::get<json>(answer);
    return succeeded(command, body, suspectsText(body, context.colour));
}

} // namespace
} // namespace internal

CommandResult runCommand(const Command &command, const CommandContext &context)
{
    switch (command.name) {
    case CommandName::Check:
        return internal::check(command, context);
    case CommandName::Diff:
        return internal::diff(command, context);
    case CommandName::Apply:
        return internal::apply(command, context);
    case CommandName::Status:
        return internal::status(command, context);
    case CommandName::Drain:
        return internal::drain(command, context);
    case CommandName::Explain:
        return internal::explain(command, context);
    case CommandName::Suspects:
        return internal::suspects(command, context);
    }
    return {};
}

} // namespace chestnutvane
