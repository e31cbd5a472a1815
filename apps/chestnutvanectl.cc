// The operators' command-line tool.

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include <fmt/format.h>

#include "chestnutvane/operator/commands.h"

namespace {

using namespace chestnutvane;

// Reads a whole file, or the standard input for "-".
std::optional<std::string> readFile(const std::string &path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    if (std::error_code failure; std::filesystem::is_directory(path, failure))
        return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// 128 random bits of the system's source, so that no two changes share an id.
std::string newChangeId()
{
    std::random_device source;
    std::string id;
    for (int i = 0; i < 4; ++i)
        id += fmt::format("{:08x}", source());
    return id;
}

ExitStatus run(const Command &command)
{
    auto http = HttpClient::create({});
    if (!isOk(http)) {
        std::cerr << "chestnutvanectl: " << error(http).detail << "\n";
        return ExitStatus::Failed;
    }
    OperatorClient client(command.servers, makeExchange(*value(http)));
    const auto result = runCommand(
            command,
            {.client = client,
             .waiting = {.now = [] { return Clock::now(); },
                         .sleep = [](Milliseconds length) { std::this_thread::sleep_for(length); }},
             .readFile = readFile,
             .newChangeId = newChangeId,
             .progress = [](const std::string &line) { std::cerr << line << std::endl; },
             .colour = isatty(STDOUT_FILENO) == 1 && isatty(STDERR_FILENO) == 1 ? Colour::On
                                                                                : Colour::Off});
    std::cout << result.output << std::flush;
    std::cerr << result.errors;
    return result.status;
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = parseCommandLine({argv + 1, argv + argc}, readEnvironment);
    if (const auto *help = std::get_if<HelpText>(&parsed)) {
        std::cout << help->text;
        return 0;
    }
    if (const auto *failure = std::get_if<UsageError>(&parsed)) {
        std::cerr << describe(*failure) << "\n";
        return static_cast<int>(ExitStatus::BadUsage);
    }
    return static_cast<int>(run(std::get<Command>(parsed)));
}
