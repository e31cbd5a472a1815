#include "chestnutvane/operator/command_line.h"

#include <gtest/gtest.h>

#include <iterator>
#include <sstream>
#include <tuple>

namespace chestnutvane {
namespace {

std::variant<Command, UsageError, HelpText> parse(const std::vector<std::string> &words,
                                                  const std::string &serverVariable = "")
{
    return parseCommandLine(words, [&](const std::string &name) -> std::optional<std::string> {
        if (name == "CHESTNUTVANE_SERVER" && !serverVariable.empty())
            return serverVariable;
        return std::nullopt;
    });
}

// Guards against a flag that is read into the wrong member, and a variable that beats the flag.
TEST(CommandLineTest, ReadsFlagsAndWords)
{
    const auto parsed =
            parse({"drain", "zone", "tpe-a", "--author", "Lin", "--asked-by", "Mei", "--undo",
                   "--json", "--timeout", "250", "--server", "127.0.0.1:1,[::1]:2"},
                  "127.0.0.9:9");
    ASSERT_TRUE(std::holds_alternative<Command>(parsed));
    const auto &command = std::get<Command>(parsed);
    EXPECT_EQ(command.name, CommandName::Drain);
    EXPECT_EQ(command.drainKind, DrainKind::Zone);
    EXPECT_EQ(command.drainSubject, "tpe-a");
    EXPECT_EQ(command.author, "Lin");
    EXPECT_EQ(command.askedBy, "Mei");
    EXPECT_TRUE(command.undo && command.json);
    EXPECT_EQ(command.timeout, Milliseconds(250));
    EXPECT_EQ(command.servers, (std::vector<std::string>{"127.0.0.1:1", "[::1]:2"}));

    const auto fromVariable = parse({"status"}, "127.0.0.9:9");
    ASSERT_TRUE(std::holds_alternative<Command>(fromVariable));
    EXPECT_EQ(std::get<Command>(fromVariable).servers, std::vector<std::string>{"127.0.0.9:9"});
}

// Guards against bad usage that is taken for something else or does not name what is allowed.
TEST(CommandLineTest, BadUsageNamesFaultAndWhatIsAllowed)
{
    using enum UsageFault;
    const std::string at = "127.0.0.1:1";
    const std::vector<std::tuple<std::vector<std::string>, UsageFault, std::string>> cases{
            {{}, UnknownCommand, "check, diff, apply, status, drain, explain, suspects"},
            {{"aply", "f"}, UnknownCommand, "apply"},
            {{"--json", "check", "f"}, UnknownCommand, "check"},
            {{"check", "f", "--author", "Lin"}, UnknownFlag, "--json, --help"},
            {{"check", "--file", "f"}, UnknownFlag, "--json"},
            {{"check"}, WrongWords, "FILE"},
            {{"check", "a", "b"}, WrongWords, "FILE"},
            {{"diff", "f"}, MissingFlag, "CHESTNUTVANE_SERVER"},
            {{"diff", "f", "--server", "localhost:1"}, BadValue, "IP:port"},
            {{"diff", "f", "--server", "127.0.0.1:1,"}, BadValue, "IP:port"},
            {{"apply", "f", "--server", at}, MissingFlag, "--author NAME"},
            {{"apply", "f", "--server", at, "--author"}, BadFlag, "value"},
            {{"apply", "f", "--server", at, "--author", "a\nb"}, BadValue, "one line"},
            {{"apply", "f", "--server", at, "--author", "a", "--timeout", "10s"},
             BadValue,
             "from 1 to 600000"},
            {{"status", "--server", at, "--base", "-1"}, BadValue, "a whole number"},
            {{"suspects", "--server", at, "--clear", "0x1f"}, BadValue, "a fingerprint"},
            {{"explain", "--request", "r1"}, WrongWords, "LOG..."},
            {{"explain", "--request", "r1", "i1.log", "--client", "10.1.2.3"},
             UnknownFlag,
             "--json"},
            {{"drain", "rack", "x", "--server", at}, BadValue, "target, zone, region"},
    };
    for (const auto &[words, fault, allowed] : cases) {
        const auto parsed = parse(words);
        ASSERT_TRUE(std::holds_alternative<UsageError>(parsed)) << allowed;
        const auto &failure = std::get<UsageError>(parsed);
        EXPECT_EQ(enumName(usageFaultNames, failure.fault), enumName(usageFaultNames, fault))
                << describe(failure);
        EXPECT_NE(failure.allowed.find(allowed), std::string::npos) << describe(failure);
    }
}

// Guards against a story of a request that needs a server, or against an explanation of a caller
// that no longer parses beside it.
TEST(CommandLineTest, ExplainHasTwoForms)
{
    const auto story = parse({"explain", "--request", "r1", "i1.log", "i2.log"});
    ASSERT_TRUE(std::holds_alternative<Command>(story));
    EXPECT_EQ(std::get<Command>(story).request, "r1");
    EXPECT_EQ(std::get<Command>(story).logFiles, (std::vector<std::string>{"i1.log", "i2.log"}));
    const auto caller =
            parse({"explain", "--service", "s", "--client", "10.1.2.3", "--server", "127.0.0.1:1"});
    ASSERT_TRUE(std::holds_alternative<Command>(caller));
    EXPECT_TRUE(std::get<Command>(caller).request.empty());
}

// Guards against a command whose help lacks an example or cannot be asked without other flags.
TEST(CommandLineTest, EachCommandHasHelpWithExampleThatParses)
{
    for (const auto &row : commandNames) {
        const auto help = parse({std::string(row.name), "--help"});
        ASSERT_TRUE(std::holds_alternative<HelpText>(help)) << row.name;
        const auto &text = std::get<HelpText>(help).text;
        const std::string lead = "Example:\n  chestnutvanectl ";
        const auto start = text.find(lead);
        ASSERT_NE(start, std::string::npos) << row.name;
        std::istringstream example(text.substr(start + lead.size()));
        const std::vector<std::string> words{std::istream_iterator<std::string>(example), {}};
        EXPECT_TRUE(std::holds_alternative<Command>(parse(words))) << text;
    }
}

} // namespace
} // namespace chestnutvane
