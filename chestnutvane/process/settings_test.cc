#include "chestnutvane/process/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace chestnutvane {
namespace {

const std::vector<std::string> required{
        "--instance-id", "tpe-1",     "--zone",      "tpe-a",
        "--address",     "127.0.0.1", "--store-url", "http://127.0.0.2:7000"};

std::vector<std::string> with(std::vector<std::string> more)
{
    auto arguments = required;
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

Environment environment(std::map<std::string, std::string> variables)
{
    return [variables](const std::string &name) -> std::optional<std::string> {
        const auto entry = variables.find(name);
        return entry == variables.end() ? std::nullopt : std::optional(entry->second);
    };
}

// Guards against an environment variable that overrides a flag.
TEST(SettingsTest, FlagWinsOverEnvironment)
{
    const auto variables =
            environment({{"CHESTNUTVANE_WORKERS", "7"}, {"CHESTNUTVANE_HEARTBEAT_MS", "300"}});
    const auto parsed = parseSettings(with({"--workers", "3"}), variables);
    ASSERT_TRUE(std::holds_alternative<Settings>(parsed));
    EXPECT_EQ(std::get<Settings>(parsed).workers, 3);
    EXPECT_EQ(std::get<Settings>(parsed).heartbeat, Milliseconds(300));
}

// Guards against a start that reports only the first of several mistakes.
TEST(SettingsTest, ReportsAllMistakesAtOnce)
{
    const auto parsed = parseSettings({"--workers", "0", "--zone", "a", "--address", "x"},
                                      environment({{"CHESTNUTVANE_HEARTBEAT_MS", "abc"}}));
    ASSERT_TRUE(std::holds_alternative<SettingErrors>(parsed));
    const auto text = describe(std::get<SettingErrors>(parsed));
    EXPECT_NE(text.find("--workers: out-of-range; allowed: a whole number from 1 to 64"),
              std::string::npos);
    EXPECT_NE(text.find("--heartbeat-ms (CHESTNUTVANE_HEARTBEAT_MS): not-a-number"),
              std::string::npos);
    EXPECT_NE(text.find("--instance-id: missing"), std::string::npos);
    EXPECT_NE(text.find("--address: bad-value"), std::string::npos);
}

// Guards against settings that undo each other's guarantees.
TEST(SettingsTest, RefusesContradictionsAndUnknownFlags)
{
    const auto late = parseSettings(with({"--isolation-limit-ms", "9000"}), environment({}));
    ASSERT_TRUE(std::holds_alternative<SettingErrors>(late));
    EXPECT_EQ(std::get<SettingErrors>(late).list.front().fault, SettingFault::Contradiction);
    const auto unknown = parseSettings(with({"--colour", "red"}), environment({}));
    ASSERT_TRUE(std::holds_alternative<SettingErrors>(unknown));
    EXPECT_EQ(std::get<SettingErrors>(unknown).list.front().fault, SettingFault::UnknownFlag);
}

// Guards against a settings page that differs from the program.
TEST(SettingsTest, DocumentIsUpToDate)
{
    std::ifstream file(CHESTNUTVANE_SOURCE_DIR "/docs/settings.md");
    std::stringstream content;
    content << file.rdbuf();
    EXPECT_EQ(content.str(), settingsDocument());
}

} // namespace
} // namespace chestnutvane
