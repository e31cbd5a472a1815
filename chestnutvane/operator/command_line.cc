#include "chestnutvane/operator/command_line.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>

#include "chestnutvane/connection/socket_address.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view serverVariable = "CHESTNUTVANE_SERVER";
constexpr std::uint64_t maxTimeoutMs = 600'000;
constexpr std::size_t maxNameBytes = 128; // the operator listener takes no longer author

struct FlagSpec
{
    std::string_view name;
    std::string_view value; // empty: a switch
    std::string_view help;
};

constexpr FlagSpec flagSpecs[] = {
        {"server", "IP:port",
         "Operator listener of an instance; several separated by \",\": the next one is asked when "
         "one does not answer. Default: the environment variable CHESTNUTVANE_SERVER."},
        {"json", "", "Prints one JSON object for scripts."},
        {"author", "NAME", "Who makes the change; kept with the revision."},
        {"asked-by", "NAME", "Who asked for the drain; kept with the rule."},
        {"undo", "", "Removes the drain in place of adding it."},
        {"base", "REVISION",
         "Revision that the change was made on. apply: default is the revision in force."},
        {"timeout", "MS",
         "Time to wait for a verdict, and again for all instances, in ms (default 10000)."},
        {"change", "ID", "Tells what became of the change with this id."},
        {"service", "NAME", "The service that the caller asks for."},
        {"client", "IP", "The caller's address."},
        {"request", "ID", "The id of a request, as in the log lines."},
        {"clear", "FINGERPRINT",
         "Clears the suspect: its crashes until now no longer count, on any instance."},
        {"help", "", "Prints this text."},
};

constexpr std::string_view manyFiles = "LOG..."; // words of a command that takes several files

struct CommandSpec
{
    CommandName name;
    std::string_view words;
    std::vector<std::string_view> required; // flags
    std::vector<std::string_view> optional;
    std::string_view help;
    std::string_view example;
    std::string_view selector = {}; // a flag that tells this form of the command from the other
};

const std::vector<CommandSpec> &commandSpecs()
{
    static const std::vector<CommandSpec> specs{
            {CommandName::Check,
             "FILE",
             {},
             {"json", "help"},
             "Checks a rule file and prints every mistake with line, column and remedy.",
             "check lumenwick.rules"},
            {CommandName::Diff,
             "FILE",
             {"server"},
             {"json", "help"},
             "Prints the difference between the configuration in force and a rule file.",
             "diff lumenwick.rules --server 127.0.0.11:8081"},
            {CommandName::Apply,
             "FILE",
             {"server", "author"},
             {"base", "timeout", "json", "help"},
             "Checks and applies a rule file, then waits until every live instance has it.",
             "apply lumenwick.rules --author Lin --server 127.0.0.11:8081,127.0.0.12:8081"},
            {CommandName::Status,
             "",
             {"server"},
             {"change", "base", "json", "help"},
             "Prints instances and units, or with --change what became of a change.",
             "status --server 127.0.0.11:8081"},
            {CommandName::Drain,
             "target|zone|region NAME",
             {"server", "author", "asked-by"},
             {"undo", "timeout", "json", "help"},
             "Adds a drain to the rules in force, or removes it, and applies them.",
             "drain zone tpe-a --author Lin --asked-by Mei --server 127.0.0.11:8081"},
            {CommandName::Explain,
             "",
             {"server", "service", "client"},
             {"json", "help"},
             "Prints which region and instances a caller is given, and why.",
             "explain --service box-office --client 10.1.2.3 --server 127.0.0.11:8081"},
            {CommandName::Explain,
             manyFiles,
             {"request"},
             {"json", "help"},
             "Tells the story of a request from log files of the instances, \"-\" for standard "
             "input.",
             "explain --request 6d284590d8fafa5f i1.log i2.log",
             "request"},
            {CommandName::Suspects,
             "",
             {"server"},
             {"clear", "json", "help"},
             "Prints the requests that crashed targets, or with --clear ends the refusal of one.",
             "suspects --clear 10216475169950329 --server 127.0.0.11:8081"},
    };
    return specs;
}

const FlagSpec &flagSpec(std::string_view name)
{
    return *std::find_if(std::begin(flagSpecs), std::end(flagSpecs),
                         [&](const FlagSpec &spec) { return spec.name == name; });
}

// Finds the form of a command that the words ask for.
const CommandSpec &formOf(CommandName name, const std::vector<std::string> &words)
{
    const CommandSpec *found = nullptr;
    for (const auto &spec : commandSpecs()) {
        if (spec.name != name)
            continue;
        const std::string flag = "--" + std::string(spec.selector);
        const bool selected = std::any_of(words.begin(), words.end(), [&](const auto &word) {
            return word == flag || word.starts_with(flag + "=");
        });
        if (found == nullptr || (!spec.selector.empty() && selected))
            found = &spec;
    }
    return *found;
}

std::vector<std::string_view> flagsOf(const CommandSpec &spec)
{
    auto names = spec.required;
    names.insert(names.end(), spec.optional.begin(), spec.optional.end());
    return names;
}

std::string allowedFlags(const CommandSpec &spec)
{
    std::string text;
    for (const auto name : flagsOf(spec))
        text += fmt::format("{}--{}", text.empty() ? "" : ", ", name);
    return text;
}

std::string overallHelp()
{
    std::string text = "chestnutvanectl: the operators' tool of chestnutvane\n\n"
                       "Usage: chestnutvanectl COMMAND [WORD]... [--FLAG [VALUE]]...\n\n";
    for (const auto &spec : commandSpecs())
        text += fmt::format("  {:<8} {}\n", enumName(commandNames, spec.name), spec.help);
    return text
            + "\nchestnutvanectl COMMAND --help lists the flags of a command.\n\n"
              "Exit status: 0 done, 1 failed or not accepted, 2 bad usage or bad rules, 3 conflict "
              "with\nanother change, 4 undetermined, 5 accepted but instances lag.\n\n"
              "Example:\n  chestnutvanectl check lumenwick.rules\n";
}

std::string commandHelp(const CommandSpec &spec)
{
    std::string text = fmt::format("{}\n\nUsage: chestnutvanectl {}{}{}", spec.help,
                                   enumName(commandNames, spec.name), spec.words.empty() ? "" : " ",
                                   spec.words);
    for (const auto name : spec.required)
        text += fmt::format(" --{} {}", name, flagSpec(name).value);
    text += " [--FLAG]...\n\n";
    for (const auto name : flagsOf(spec)) {
        const auto &flag = flagSpec(name);
        text += fmt::format("  --{}{}{}\n      {}\n", name, flag.value.empty() ? "" : " ",
                            flag.value, flag.help);
    }
    return text + fmt::format("\nExample:\n  chestnutvanectl {}\n", spec.example);
}

// The flags and words of one call as TCLAP finds them.
struct RawCommand
{
    std::map<std::string_view, std::string> values; // switches that are set have an empty value
    std::vector<std::string> words;
};

std::variant<RawCommand, UsageError> parseRaw(const CommandSpec &spec,
                                              const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("chestnutvanectl", ' ', "1", false);
    line.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> switches;
    for (const auto name : flagsOf(spec)) {
        const auto &flag = flagSpec(name);
        if (flag.value.empty())
            switches.push_back(std::make_unique<TCLAP::SwitchArg>("", std::string(name),
                                                                  std::string(flag.help), line));
        else
            values.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                    "", std::string(name), std::string(flag.help), false, "",
                    std::string(flag.value), line));
    }
    TCLAP::UnlabeledMultiArg<std::string> words("words", "Words.", false, "word", line);
    std::vector<std::string> withProgram{"chestnutvanectl"};
    withProgram.insert(withProgram.end(), arguments.begin(), arguments.end());
    try {
        line.parse(withProgram);
    } catch (const TCLAP::ArgException &failure) {
        return UsageError{UsageFault::BadFlag, failure.argId() + " " + failure.error(),
                          allowedFlags(spec) + ", each once, and with its value"};
    }
    RawCommand raw;
    raw.words = words.getValue();
    // TCLAP hands unknown flags over as words.
    for (const auto &word : raw.words) {
        if (word.starts_with("-") && word != "-")
            return UsageError{UsageFault::UnknownFlag, word, allowedFlags(spec)};
    }
    for (const auto &flag : values) {
        if (flag->isSet())
            raw.values[flagSpec(flag->getName()).name] = flag->getValue();
    }
    for (const auto &flag : switches) {
        if (flag->getValue())
            raw.values[flagSpec(flag->getName()).name] = "";
    }
    return raw;
}

std::optional<std::uint64_t> toNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

// A person's name: it stands in a comment of a rule, so it must be one line.
bool isPersonName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
            && text.find_first_not_of(' ') != std::string_view::npos
            && std::none_of(text.begin(), text.end(),
                            [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

std::optional<UsageError> readServers(Command &command, const RawCommand &raw,
                                      const Environment &environment)
{
    const auto flag = raw.values.find("server");
    const std::string text = flag != raw.values.end()
            ? flag->second
            : environment(std::string(serverVariable)).value_or("");
    if (text.empty())
        return UsageError{UsageFault::MissingFlag, "--server",
                          fmt::format("--server IP:port, or the variable {}", serverVariable)};
    for (std::size_t start = 0; start <= text.size();) {
        const auto comma = std::min(text.find(',', start), text.size());
        command.servers.push_back(text.substr(start, comma - start));
        if (!parseSocketAddress(command.servers.back()))
            return UsageError{
                    UsageFault::BadValue,
                    fmt::format("{} \"{}\"",
                                flag != raw.values.end() ? "--server" : std::string(serverVariable),
                                command.servers.back()),
                    "IP:port, or [IP]:port for IPv6; several separated by \",\""};
        start = comma + 1;
    }
    return std::nullopt;
}

std::optional<UsageError> readWords(Command &command, const CommandSpec &spec,
                                    const std::vector<std::string> &words)
{
    if (spec.words == manyFiles) {
        if (words.empty())
            return UsageError{UsageFault::WrongWords, "no log file", std::string(spec.words)};
        command.logFiles = words;
        return std::nullopt;
    }
    const std::size_t wanted = spec.words.empty() ? 0 : command.name == CommandName::Drain ? 2 : 1;
    if (words.size() != wanted)
        return UsageError{UsageFault::WrongWords,
                          fmt::format("{} words after {}", words.size(),
                                      enumName(commandNames, command.name)),
                          wanted == 0 ? "none" : std::string(spec.words)};
    if (wanted == 1)
        command.file = words[0];
    if (wanted == 2) {
        const auto kind = enumFromName(drainKindNames, words[0]);
        if (!kind)
            return UsageError{UsageFault::BadValue, words[0], allEnumNames(drainKindNames)};
        command.drainKind = *kind;
        command.drainSubject = words[1];
    }
    return std::nullopt;
}

std::optional<UsageError> readValues(Command &command, const RawCommand &raw)
{
    constexpr std::uint64_t defaultTimeoutMs = 10'000; // design 7.3
    const auto text = [&raw](std::string_view name) {
        const auto found = raw.values.find(name);
        return found == raw.values.end() ? std::string() : found->second;
    };
    command.json = raw.values.contains("json");
    command.undo = raw.values.contains("undo");
    command.author = text("author");
    command.askedBy = text("asked-by");
    command.changeId = text("change");
    command.service = text("service");
    command.client = text("client");
    command.request = text("request");
    for (const std::string_view name : {"author", "asked-by"}) {
        if (raw.values.contains(name) && !isPersonName(text(name)))
            return UsageError{UsageFault::BadValue, fmt::format("--{}", name),
                              "one line of 1 to 128 bytes"};
    }
    for (const std::string_view name : {"service", "client", "change", "request"}) {
        if (raw.values.contains(name) && text(name).empty())
            return UsageError{UsageFault::BadValue, fmt::format("--{}", name), "a non-empty text"};
    }
    if (raw.values.contains("base")) {
        command.base = toNumber(text("base"));
        if (!command.base)
            return UsageError{UsageFault::BadValue, "--base", "a whole number"};
    }
    if (raw.values.contains("clear")) {
        command.clear = toNumber(text("clear"));
        if (!command.clear)
            return UsageError{UsageFault::BadValue, "--clear",
                              "a fingerprint as printed by suspects, a whole number"};
    }
    const auto timeout = raw.values.contains("timeout") ? toNumber(text("timeout"))
                                                        : std::optional(defaultTimeoutMs);
    if (!timeout || *timeout == 0 || *timeout > maxTimeoutMs)
        return UsageError{UsageFault::BadValue, "--timeout",
                          fmt::format("a whole number of ms from 1 to {}", maxTimeoutMs)};
    command.timeout = Milliseconds(*timeout);
    return std::nullopt;
}

} // namespace
} // namespace internal

std::variant<Command, UsageError, HelpText> parseCommandLine(const std::vector<std::string> &words,
                                                             const Environment &environment)
{
    if (words.empty())
        return UsageError{UsageFault::UnknownCommand, "no command", allEnumNames(commandNames)};
    if (words[0] == "--help")
        return HelpText{internal::overallHelp()};
    const auto name = enumFromName(commandNames, words[0]);
    if (!name)
        return UsageError{UsageFault::UnknownCommand, words[0],
                          allEnumNames(commandNames) + "; --help"};
    const auto &spec = internal::formOf(*name, words);
    const auto parsed = internal::parseRaw(spec, {words.begin() + 1, words.end()});
    if (const auto *failure = std::get_if<UsageError>(&parsed))
        return *failure;
    const auto &raw = std::get<internal::RawCommand>(parsed);
    if (raw.values.contains("help"))
        return HelpText{internal::commandHelp(spec)};
    Command command;
    command.name = *name;
    if (const auto failure = internal::readWords(command, spec, raw.words))
        return *failure;
    for (const auto flag : spec.required) {
        if (flag == "server") {
            if (const auto failure = internal::readServers(command, raw, environment))
                return *failure;
        } else if (!raw.values.contains(flag)) {
            return UsageError{UsageFault::MissingFlag, fmt::format("--{}", flag),
                              fmt::format("--{} {}", flag, internal::flagSpec(flag).value)};
        }
    }
    if (const auto failure = internal::readValues(command, raw))
        return *failure;
    return command;
}

std::string describe(const UsageError &usageError)
{
    return fmt::format("chestnutvanectl: {}: {}; allowed: {}",
                       enumName(usageFaultNames, usageError.fault), usageError.subject,
                       usageError.allowed);
}

} // namespace chestnutvane
