#include "chestnutvane/process/settings.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdlib>
#include <map>
#include <memory>

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view logLevels = "debug, info, warning, error";

struct RawValue
{
    std::string text;
    std::string origin; // "flag", the environment variable, or "default"
};

using RawValues = std::map<std::string_view, RawValue>;

std::string allowedValues(const SettingSpec &spec)
{
    switch (spec.kind) {
    case SettingKind::Text:
        return "a non-empty text";
    case SettingKind::Integer:
        return fmt::format("a whole number from {} to {}", spec.min, spec.max);
    case SettingKind::IpAddress:
        return "an IPv4 or IPv6 address";
    case SettingKind::HttpUrl:
        return "http://IP:port";
    case SettingKind::AddressList:
        return "IP:port, several separated by \",\"";
    case SettingKind::LogLevel:
        return std::string(logLevels);
    }
    return {};
}

std::optional<std::int64_t> toInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isIpAddress(const std::string &text)
{
    asio::error_code failure;
    asio::ip::make_address(text, failure);
    return !failure;
}

bool isEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    constexpr std::int64_t maxPort = 65535;
    const auto port = toInteger(text.substr(colon + 1));
    return isIpAddress(host) && port && *port >= 1 && *port <= maxPort;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        items.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return items;
}

std::optional<SettingFault> checkValue(const SettingSpec &spec, const std::string &text)
{
    constexpr std::string_view scheme = "http://";
    if (text.empty())
        return spec.required ? std::optional(SettingFault::Missing) : std::nullopt;
    switch (spec.kind) {
    case SettingKind::Text:
        return std::nullopt;
    case SettingKind::Integer: {
        const auto number = toInteger(text);
        if (!number)
            return SettingFault::NotANumber;
        if (*number < spec.min || *number > spec.max)
            return SettingFault::OutOfRange;
        return std::nullopt;
    }
    case SettingKind::IpAddress:
        return isIpAddress(text) ? std::nullopt : std::optional(SettingFault::BadValue);
    case SettingKind::HttpUrl:
        if (text.starts_with(scheme) && isEndpoint(std::string_view(text).substr(scheme.size())))
            return std::nullopt;
        return SettingFault::BadValue;
    case SettingKind::AddressList:
        for (const auto &item : splitList(text)) {
            if (!isEndpoint(item))
                return SettingFault::BadValue;
        }
        return std::nullopt;
    case SettingKind::LogLevel:
        if ((", " + std::string(logLevels) + ",").find(" " + text + ",") != std::string::npos)
            return std::nullopt;
        return SettingFault::BadValue;
    }
    return std::nullopt;
}

Settings toSettings(const RawValues &raw)
{
    const auto text = [&raw](std::string_view name) { return raw.at(name).text; };
    const auto number = [&raw](std::string_view name) { return *toInteger(raw.at(name).text); };
    Settings settings;
    settings.instanceId = text("instance-id");
    settings.zone = text("zone");
    settings.address = text("address");
    settings.callerPort = static_cast<std::uint16_t>(number("caller-port"));
    settings.operatorPort = static_cast<std::uint16_t>(number("operator-port"));
    settings.peerPort = static_cast<std::uint16_t>(number("peer-port"));
    settings.storeUrl = text("store-url");
    settings.peers = splitList(text("peers"));
    settings.lookUpTtl = Milliseconds(number("look-up-ttl-ms"));
    settings.heartbeat = Milliseconds(number("heartbeat-ms"));
    settings.leaseTtl = Milliseconds(number("lease-ttl-ms"));
    settings.leaseRenewal = Milliseconds(number("lease-renewal-ms"));
    settings.isolationLimit = Milliseconds(number("isolation-limit-ms"));
    settings.maxBodyBytes = static_cast<std::size_t>(number("max-body-bytes"));
    settings.maxConnections = static_cast<std::size_t>(number("max-connections"));
    settings.workers = static_cast<int>(number("workers"));
    settings.logLevel = text("log-level");
    settings.logSample = static_cast<std::uint32_t>(number("log-sample"));
    return settings;
}

std::vector<SettingError> contradictions(const Settings &settings)
{
    std::vector<SettingError> found;
    const auto add = [&found](std::string setting, std::string allowed) {
        found.push_back({SettingFault::Contradiction, std::move(setting), std::move(allowed)});
    };
    if (settings.leaseRenewal * 2 >= settings.leaseTtl)
        add("--lease-renewal-ms", "less than half of --lease-ttl-ms, so that one renewal may fail");
    if (settings.isolationLimit >= settings.leaseTtl)
        add("--isolation-limit-ms",
            "less than --lease-ttl-ms, so that an instance stops before others take over");
    if (settings.callerPort == settings.operatorPort || settings.callerPort == settings.peerPort
        || settings.operatorPort == settings.peerPort)
        add("--caller-port, --operator-port, --peer-port", "three different ports");
    return found;
}

std::string helpText()
{
    std::string text =
            "chestnutvaned: an instance of the chestnutvane traffic steering system\n\n"
            "Usage: chestnutvaned --instance-id ID --zone ZONE --address IP "
            "--store-url URL [--NAME VALUE]...\n\n"
            "Each setting can also be given as an environment variable; the flag wins.\n\n";
    for (const auto &spec : settingSpecs()) {
        text += fmt::format("  --{} ({})\n      {} Allowed: {}.{}\n", spec.name,
                            environmentName(spec.name), spec.help, allowedValues(spec),
                            spec.defaultText.empty()
                                    ? std::string()
                                    : fmt::format(" Default: {}.", spec.defaultText));
    }
    text += "  --print-settings\n      Prints the settings in force and where they came from.\n"
            "  --help\n      Prints this text.\n\n"
            "Example:\n  chestnutvaned --instance-id tpe-1 --zone tpe-a --address 127.0.0.11 "
            "--store-url http://127.0.0.2:7000\n";
    return text;
}

std::string printedSettings(const RawValues &raw)
{
    std::string text;
    for (const auto &spec : settingSpecs()) {
        const auto &entry = raw.at(spec.name);
        text += fmt::format("{}={} ({})\n", spec.name, entry.text, entry.origin);
    }
    text += fmt::format(
            "# request bodies take at most {} bytes (max-body-bytes * max-connections)\n",
            *toInteger(raw.at("max-body-bytes").text) * *toInteger(raw.at("max-connections").text));
    return text;
}

// The flags of one call, parsed by TCLAP.
struct Flags
{
    std::map<std::string_view, std::string> values;
    bool help = false;
    bool print = false;
    std::optional<SettingError> failure;
};

Flags parseFlags(const std::vector<std::string> &arguments)
{
    Flags flags;
    TCLAP::CmdLine command("chestnutvaned", ' ', "1", false);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    for (const auto &spec : settingSpecs())
        values.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                "", std::string(spec.name), std::string(spec.help), false, "", "value", command));
    TCLAP::SwitchArg help("", "help", "Prints the help text.", command);
    TCLAP::SwitchArg print("", "print-settings", "Prints the settings in force.", command);
    std::vector<std::string> withProgram{"chestnutvaned"};
    withProgram.insert(withProgram.end(), arguments.begin(), arguments.end());
    try {
        command.parse(withProgram);
    } catch (const TCLAP::ArgException &failure) {
        flags.failure = SettingError{SettingFault::UnknownFlag, failure.argId(),
                                     failure.error() + "; see --help for all flags"};
        return flags;
    }
    flags.help = help.getValue();
    flags.print = print.getValue();
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (values[i]->isSet())
            flags.values[settingSpecs()[i].name] = values[i]->getValue();
    }
    return flags;
}

RawValues gather(const Flags &flags, const Environment &environment)
{
    RawValues raw;
    for (const auto &spec : settingSpecs()) {
        const auto variable = environmentName(spec.name);
        if (const auto flag = flags.values.find(spec.name); flag != flags.values.end())
            raw[spec.name] = {flag->second, "flag"};
        else if (const auto text = environment(variable))
            raw[spec.name] = {*text, variable};
        else
            raw[spec.name] = {std::string(spec.defaultText), "default"};
    }
    return raw;
}

} // namespace
} // namespace internal

const std::vector<SettingSpec> &settingSpecs()
{
    using enum SettingKind;
    static const std::vector<SettingSpec> specs{
            {"instance-id", Text, "", true, 0, 0, "Name of this instance, unique in the fleet."},
            {"zone", Text, "", true, 0, 0, "Availability zone of this instance."},
            {"address", IpAddress, "", true, 0, 0, "Address of the three listeners."},
            {"caller-port", Integer, "8080", true, 1, 65535, "Port for callers."},
            {"operator-port", Integer, "8081", true, 1, 65535, "Port for operators."},
            {"peer-port", Integer, "8082", true, 1, 65535, "Port for other instances."},
            {"store-url", HttpUrl, "", true, 0, 0, "The platform's key-value service."},
            {"peers", AddressList, "", false, 0, 0, "Peer listeners of other instances."},
            {"look-up-ttl-ms", Integer, "2000", true, 100, 60000,
             "Time for which callers may cache a look-up answer."},
            {"heartbeat-ms", Integer, "200", true, 20, 10000, "Period of heartbeats to peers."},
            {"lease-ttl-ms", Integer, "5000", true, 1000, 60000,
             "Time to live of the store lease."},
            {"lease-renewal-ms", Integer, "1500", true, 100, 30000,
             "Period of renewals of the store lease."},
            {"isolation-limit-ms", Integer, "4000", true, 500, 59000,
             "Time without contact to the store and to any peer after which no new work is taken."},
            {"max-body-bytes", Integer, "16777216", true, 1024, 1073741824,
             "Largest body of a request or an answer."},
            {"max-connections", Integer, "1024", true, 8, 100000, "Open connections of callers."},
            {"workers", Integer, "4", true, 1, 64, "Threads of the worker pool."},
            {"log-level", LogLevel, "info", true, 0, 0, "Lowest level of log lines."},
            {"log-sample", Integer, "1", true, 1, 1000000,
             "Writes one of this many routing decisions; all others are counted only."},
    };
    return specs;
}

std::string environmentName(std::string_view settingName)
{
    std::string name = "CHESTNUTVANE_";
    for (const char c : settingName)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::optional<std::string> readEnvironment(const std::string &name)
{
    const char *text = std::getenv(name.c_str());
    return text == nullptr ? std::nullopt : std::optional<std::string>(text);
}

std::variant<Settings, SettingErrors, SettingsText>
parseSettings(const std::vector<std::string> &arguments, const Environment &environment)
{
    const auto flags = internal::parseFlags(arguments);
    if (flags.failure)
        return SettingErrors{{*flags.failure}};
    if (flags.help)
        return SettingsText{internal::helpText()};
    const auto raw = internal::gather(flags, environment);
    SettingErrors errors;
    for (const auto &spec : settingSpecs()) {
        const auto &[text, origin] = raw.at(spec.name);
        if (const auto fault = internal::checkValue(spec, text))
            errors.list.push_back(
                    {*fault,
                     "--" + std::string(spec.name)
                             + (origin.starts_with("CHEST") ? " (" + origin + ")" : ""),
                     internal::allowedValues(spec)});
    }
    if (!errors.list.empty())
        return errors;
    const auto settings = internal::toSettings(raw);
    errors.list = internal::contradictions(settings);
    if (!errors.list.empty())
        return errors;
    if (flags.print)
        return SettingsText{internal::printedSettings(raw)};
    return settings;
}

std::string describe(const SettingErrors &errors)
{
    std::string text;
    for (const auto &[fault, setting, allowed] : errors.list)
        text += fmt::format("{}: {}; allowed: {}\n", setting, enumName(settingFaultNames, fault),
                            allowed);
    return text;
}

std::string settingsDocument()
{
    std::string text =
            "# Settings of chestnutvaned\n\n"
            "Each setting is a flag `--NAME` and an environment variable; the flag wins.\n\n"
            "| flag | environment variable | allowed | default | meaning |\n"
            "|---|---|---|---|---|\n";
    for (const auto &spec : settingSpecs())
        text += fmt::format("| `--{}` | `{}` | {} | {} | {} |\n", spec.name,
                            environmentName(spec.name), internal::allowedValues(spec),
                            spec.defaultText.empty() ? (spec.required ? "must be given" : "none")
                                                     : spec.defaultText,
                            spec.help);
    text += "\n`--print-settings` prints the settings in force and where each came from.\n";
    return text;
}

} // namespace chestnutvane
