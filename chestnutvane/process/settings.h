// Settings of the daemon, from flags and environment variables.
//
// One table describes every setting; the command line, the checks, --print-settings and
// docs/settings.md all come from it. A flag wins over its environment variable, which wins over the
// default. All mistakes are reported at once.
//
// Example:
//
//   auto parsed = parseSettings({argv + 1, argv + argc}, readEnvironment);
//   if (auto *settings = std::get_if<Settings>(&parsed))
//       run(*settings);
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// The settings in force.
struct Settings
{
    std::string instanceId;
    std::string zone;
    std::string address; // IP address of all three listeners
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;
    std::string storeUrl;
    std::vector<std::string> peers; // "IP:port" of other instances' peer listeners
    Milliseconds lookUpTtl{0};
    Milliseconds heartbeat{0};
    Milliseconds leaseTtl{0};
    Milliseconds leaseRenewal{0};
    Milliseconds isolationLimit{0};
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0;
    int workers = 0;
    std::string logLevel;
    std::uint32_t logSample = 1; // writes one of this many routing decisions
};

enum class SettingKind {
    Text,
    Integer,
    IpAddress,
    HttpUrl,
    AddressList, // "IP:port", separated by ","
    LogLevel,
};

// One row of the table of settings.
struct SettingSpec
{
    std::string_view name; // the flag without "--"
    SettingKind kind = SettingKind::Text;
    std::string_view defaultText; // empty and required: must be given
    bool required = false;
    std::int64_t min = 0; // for Integer
    std::int64_t max = 0;
    std::string_view help;
};

// Returns the table of settings.
const std::vector<SettingSpec> &settingSpecs();

// Returns the environment variable of a setting: "CHESTNUTVANE_" and the name in capitals.
std::string environmentName(std::string_view settingName);

enum class SettingFault {
    UnknownFlag,
    Missing,
    NotANumber,
    OutOfRange,
    BadValue,
    Contradiction, // two settings that cannot hold together
};

inline constexpr EnumName<SettingFault> settingFaultNames[] = {
        {SettingFault::UnknownFlag, "unknown-flag"}, {SettingFault::Missing, "missing"},
        {SettingFault::NotANumber, "not-a-number"},  {SettingFault::OutOfRange, "out-of-range"},
        {SettingFault::BadValue, "bad-value"},       {SettingFault::Contradiction, "contradiction"},
};

struct SettingError
{
    SettingFault fault = SettingFault::BadValue;
    std::string setting; // the flag, with the environment variable if the value came from there
    std::string allowed; // what is allowed
};

struct SettingErrors
{
    std::vector<SettingError> list;
};

// Text to print before the program ends with status 0: help, or the settings in force.
struct SettingsText
{
    std::string text;
};

using Environment = std::function<std::optional<std::string>(const std::string &)>;

// Reads an environment variable of the process.
std::optional<std::string> readEnvironment(const std::string &name);

// Parses flags and environment.
std::variant<Settings, SettingErrors, SettingsText>
parseSettings(const std::vector<std::string> &arguments, const Environment &environment);

// Returns one line for each mistake.
std::string describe(const SettingErrors &errors);

// Returns the content of docs/settings.md.
std::string settingsDocument();

} // namespace chestnutvane
