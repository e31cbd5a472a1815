// Runs the commands of chestnutvanectl.
//
// Example:
//
//   CommandResult result = runCommand(command, context);
//   std::cout << result.output;
//   return static_cast<int>(result.status);
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "chestnutvane/operator/apply_change.h"
#include "chestnutvane/operator/command_line.h"
#include "chestnutvane/operator/command_output.h"
#include "chestnutvane/operator/operator_client.h"

namespace chestnutvane {

// What a command needs of its surroundings.
struct CommandContext
{
    OperatorClient &client;
    Waiting waiting;
    std::function<std::optional<std::string>(const std::string &path)> readFile;
    std::function<std::string()> newChangeId; // unique
    std::function<void(const std::string &line)> progress; // shown at once, before the result
    Colour colour = Colour::Off;
};

struct CommandResult
{
    ExitStatus status = ExitStatus::Done;
    std::string output; // for standard output
    std::string errors; // for standard error
};

// Runs one command. Blocks until its end.
CommandResult runCommand(const Command &command, const CommandContext &context);

} // namespace chestnutvane
