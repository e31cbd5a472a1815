// The command line of chestnutvanectl.
//
// One table describes the commands and one the flags; parsing, messages and help come from them.
//
// Example:
//
//   auto parsed = parseCommandLine({argv + 1, argv + argc}, readEnvironment);
//   if (const auto *command = std::get_if<Command>(&parsed))
//       run(*command);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/settings.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

enum class CommandName {
    Check,
    Diff,
    Apply,
    Status,
    Drain,
    Explain,
    Suspects,
};

inline constexpr EnumName<CommandName> commandNames[] = {
        {CommandName::Check, "check"},       {CommandName::Diff, "diff"},
        {CommandName::Apply, "apply"},       {CommandName::Status, "status"},
        {CommandName::Drain, "drain"},       {CommandName::Explain, "explain"},
        {CommandName::Suspects, "suspects"},
};

// The exit status of the tool.
enum class ExitStatus {
    Done = 0,
    Failed = 1, // also: the change was not accepted, or no server answered
    BadUsage = 2, // also: mistakes in the rules
    Conflict = 3, // another change has been accepted since the base
    Undetermined = 4, // the change may have been accepted
    Lagging = 5, // accepted, but a live instance does not report the revision yet
};

// What the operator asked for. Only the members of the command's own flags are set.
struct Command
{
    CommandName name = CommandName::Check;
    bool json = false;
    std::vector<std::string> servers; // "IP:port" of operator listeners
    Milliseconds timeout{0};
    std::string file;
    std::string author;
    std::string askedBy;
    DrainKind drainKind = DrainKind::Target;
    std::string drainSubject;
    bool undo = false;
    std::string changeId;
    std::optional<std::uint64_t> base;
    std::string service;
    std::string client;
    std::string request; // id; explain tells its story from the log files
    std::vector<std::string> logFiles; // "-" is the standard input
    std::optional<std::uint64_t> clear; // fingerprint of a suspect
};

enum class UsageFault {
    UnknownCommand,
    UnknownFlag,
    BadFlag, // a flag without its value, or given twice
    MissingFlag,
    WrongWords, // too few or too many words besides the flags
    BadValue,
};

inline constexpr EnumName<UsageFault> usageFaultNames[] = {
        {UsageFault::UnknownCommand, "unknown-command"},
        {UsageFault::UnknownFlag, "unknown-flag"},
        {UsageFault::BadFlag, "bad-flag"},
        {UsageFault::MissingFlag, "missing-flag"},
        {UsageFault::WrongWords, "wrong-words"},
        {UsageFault::BadValue, "bad-value"},
};

struct UsageError
{
    UsageFault fault = UsageFault::BadValue;
    std::string subject; // the word or flag at fault
    std::string allowed; // what is allowed in its place
};

struct HelpText
{
    std::string text;
};

// Parses the arguments after the program's name. Flags follow the command.
std::variant<Command, UsageError, HelpText> parseCommandLine(const std::vector<std::string> &words,
                                                             const Environment &environment);

// Returns one line that names the fault and what is allowed.
std::string describe(const UsageError &usageError);

} // namespace chestnutvane
