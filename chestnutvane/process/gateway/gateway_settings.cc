#include "chestnutvane/process/gateway/gateway_settings.h"

#include <charconv>
#include <cstdlib>

#include <tclap/CmdLine.h>

#include "chestnutvane/connection/socket_address.h"
#include "chestnutvane/process/events.h"

namespace chestnutvane {
namespace {

using Setter = std::function<std::string(GatewaySettings &, const std::string &)>;

Setter textSetter(std::string GatewaySettings::*member)
{
    return [member](GatewaySettings &settings, const std::string &text) -> std::string {
        settings.*member = text;
        return text.empty() ? "a non-empty text" : "";
    };
}

Setter addressSetter(std::string GatewaySettings::*member)
{
    return [member](GatewaySettings &settings, const std::string &text) -> std::string {
        settings.*member = text;
        return parseSocketAddress(text) ? "" : "IP:port";
    };
}

// Accepts a number from minimum to maximum, both inclusive.
template <class Set>
Setter numberSetter(double minimum, double maximum, Set set)
{
    return [minimum, maximum, set](GatewaySettings &settings,
                                   const std::string &text) -> std::string {
        char *end = nullptr;
        const double number = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || number < minimum || number > maximum)
            return "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        set(settings, number);
        return {};
    };
}

template <class Set>
Setter secondsSetter(double minimum, double maximum, Set set)
{
    return numberSetter(minimum, maximum, [set](GatewaySettings &settings, double seconds) {
        constexpr double millisecondsPerSecond = 1000;
        set(settings, Milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond)));
    });
}

std::string setZones(GatewaySettings &settings, const std::string &text)
{
    std::string allowed = "ZONE=REGION, several separated by \",\"";
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto item = rest.substr(0, comma);
        const auto equals = item.find('=');
        if (equals == std::string_view::npos || equals == 0 || equals + 1 == item.size())
            return allowed;
        settings.zoneRegions[std::string(item.substr(0, equals))] = item.substr(equals + 1);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return settings.zoneRegions.empty() ? allowed : "";
}

std::string setLogLevel(GatewaySettings &settings, const std::string &text)
{
    settings.logLevel = text;
    return enumFromName(logLevelNames, text) ? "" : allEnumNames(logLevelNames);
}

std::string setAdmission(GatewaySettings &settings, const std::string &text)
{
    const auto policy = enumFromName(admissionPolicyNames, text);
    settings.admission = policy.value_or(settings.admission);
    return policy ? "" : allEnumNames(admissionPolicyNames);
}

std::string setWorkModel(GatewaySettings &settings, const std::string &text)
{
    const auto mode = enumFromName(workModelModeNames, text);
    settings.workModel = mode.value_or(settings.workModel);
    return mode ? "" : allEnumNames(workModelModeNames);
}

std::string setStoreUrl(GatewaySettings &settings, const std::string &text)
{
    constexpr std::string_view scheme = "http://";
    settings.storeUrl = text;
    const bool isValid = text.starts_with(scheme)
            && parseSocketAddress(std::string_view(text).substr(scheme.size()));
    return isValid ? "" : "http://IP:port";
}

} // namespace

std::string GatewaySettings::regionOf(const std::string &zoneName) const
{
    const auto found = zoneRegions.find(zoneName);
    return found == zoneRegions.end() ? std::string() : found->second;
}

std::vector<GatewaySettingSpec> gatewaySettingSpecs()
{
    using S = GatewaySettings;
    constexpr double maxSeconds = 600;
    constexpr double maxCount = 100000;
    constexpr double minCoreShare = 0.001;
    constexpr double maxMemoryMb = 16777216; // 16 TB
    constexpr double maxDescriptors = 16777216;
    return {
            {"instance-id", "", "name of this instance, unique in the fleet",
             textSetter(&S::instanceId)},
            {"zone", "", "availability zone of this instance", textSetter(&S::zone)},
            {"zones", "", "ZONE=REGION of all availability zones, separated by \",\"", setZones},
            {"caller-address", "", "IP:port for callers", addressSetter(&S::callerAddress)},
            {"readiness-address", "", "IP:port for readiness checks",
             addressSetter(&S::readinessAddress)},
            {"directory-address", "", "IP:port for look-ups of instances by callers",
             addressSetter(&S::directoryAddress)},
            {"metrics-address", "", "IP:port for metrics", addressSetter(&S::metricsAddress)},
            {"report-address", "", "IP:port (UDP) for load reports of other instances",
             addressSetter(&S::reportAddress)},
            {"store-url", "", "http://IP:port of the platform's store", setStoreUrl},
            {"core-share", "1",
             "processor cores that this instance may use; callers are directed in proportion",
             numberSetter(minCoreShare, maxCount, [](S &s, double v) { s.coreShare = v; })},
            {"stop-grace", "6", "seconds from SIGTERM to the end of the process",
             secondsSetter(0.1, maxSeconds, [](S &s, Milliseconds v) { s.stopGrace = v; })},
            {"drain-time", "2", "seconds for which a target serves after it said that it leaves",
             secondsSetter(0, maxSeconds, [](S &s, Milliseconds v) { s.drainTime = v; })},
            {"directory-ttl", "2", "seconds for which callers may cache a directory response",
             secondsSetter(0.1, maxSeconds, [](S &s, Milliseconds v) { s.directoryTtl = v; })},
            {"retry-ratio", "0.2", "retries per request of a service, over all instances",
             numberSetter(0, 1, [](S &s, double v) { s.retryLimit.ratio = v; })},
            {"retry-slack", "50", "retries beyond the ratio per window, over all instances",
             numberSetter(0, maxCount, [](S &s, double v) { s.retryLimit.slack = v; })},
            {"retry-window", "10", "length of the window of the retry limit in seconds",
             secondsSetter(0.1, maxSeconds, [](S &s, Milliseconds v) { s.retryLimit.window = v; })},
            {"cold-overshoot", "1.5",
             "tolerated factor on the configured request rate of a target in its cold start",
             numberSetter(1, maxCount, [](S &s, double v) { s.coldOvershoot = v; })},
            {"cold-slack", "5",
             "requests per second to a target in its cold start beyond rate times factor",
             numberSetter(0, maxCount, [](S &s, double v) { s.coldSlack = v; })},
            {"warm-objects", "36", "initial estimate of the objects that a target holds",
             numberSetter(
                     1, maxCount,
                     [](S &s, double v) { s.assumedWarmCapacity = static_cast<std::size_t>(v); })},
            {"admission", "by-importance", "how room is divided among requests where it is short",
             setAdmission},
            {"target-queue", "0", "requests that a target queues beyond its slots",
             numberSetter(0, maxCount,
                          [](S &s, double v) { s.targetQueue = static_cast<int>(v); })},
            {"work-model", "auto",
             "placement by the cost of requests and the speed of targets: on, off, or auto for "
             "services whose targets state their speed",
             setWorkModel},
            {"memory-limit-mb", "0",
             "memory of the machine in MB, four tenths of it for callers; 0: 256",
             numberSetter(0, maxMemoryMb,
                          [](S &s, double v) { s.memoryLimitMb = static_cast<std::size_t>(v); })},
            {"descriptor-limit", "0",
             "open descriptors, 200 of them for files; 0: the limit that the system sets",
             numberSetter(0, maxDescriptors,
                          [](S &s, double v) { s.descriptorLimit = static_cast<std::size_t>(v); })},
            {"log-level", "info", "lowest level that is logged", setLogLevel},
    };
}

std::variant<GatewaySettings, SettingErrors, SettingsText>
parseGatewaySettings(const std::vector<std::string> &arguments, const Environment &environment)
{
    const auto specs = gatewaySettingSpecs();
    TCLAP::CmdLine line("chestnutvane gateway", ' ', "", false);
    line.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
    for (const auto &spec : specs) {
        flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>("", spec.name, spec.help,
                                                                       false, "", "text"));
        line.add(*flags.back());
    }
    TCLAP::SwitchArg help("", "help", "prints the settings and exits");
    line.add(help);
    SettingErrors errors;
    std::vector<std::string> words = arguments;
    words.insert(words.begin(), "gateway");
    try {
        line.parse(words);
    } catch (const TCLAP::ArgException &failure) {
        errors.list.push_back({SettingFault::UnknownFlag, failure.argId(), "see --help"});
        return errors;
    }
    if (help.getValue()) {
        SettingsText text;
        for (const auto &spec : specs)
            text.text += "--" + spec.name + " (" + environmentName(spec.name) + "): " + spec.help
                    + (spec.defaultText.empty() ? "; required" : "; default " + spec.defaultText)
                    + "\n";
        return text;
    }
    GatewaySettings settings;
    for (std::size_t i = 0; i < specs.size(); ++i) {
        std::string text = specs[i].defaultText;
        std::string origin = "--" + specs[i].name;
        if (flags[i]->isSet()) {
            text = flags[i]->getValue();
        } else if (auto variable = environment(environmentName(specs[i].name))) {
            text = *variable;
            origin += " (" + environmentName(specs[i].name) + ")";
        } else if (text.empty()) {
            errors.list.push_back({SettingFault::Missing, origin, specs[i].help});
            continue;
        }
        if (auto allowed = specs[i].assignValue(settings, text); !allowed.empty())
            errors.list.push_back({SettingFault::BadValue, origin, allowed});
    }
    if (errors.list.empty() && settings.regionOf(settings.zone).empty())
        errors.list.push_back(
                {SettingFault::Contradiction, "--zone", "one of the zones in --zones"});
    if (!errors.list.empty())
        return errors;
    return settings;
}

} // namespace chestnutvane
