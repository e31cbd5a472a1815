// Settings of the gateway, from flags and environment variables.
//
// A flag takes precedence over its environment variable ("CHESTNUTVANE_" and the flag's name in
// capitals), which takes precedence over the default. All invalid settings are reported at once.
//
// Example:
//
//   auto parsed = parseGatewaySettings({argv + 1, argv + argc}, readEnvironment);
//   if (auto *settings = std::get_if<GatewaySettings>(&parsed))
//       run(*settings);
#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/header_names.h"
#include "chestnutvane/process/gateway/limits/send_limits.h"
#include "chestnutvane/process/settings.h"

namespace chestnutvane {

// Memory that an instance is assumed to have if no setting says it.
inline constexpr std::size_t defaultMemoryLimitMb = 256;

// How room is divided among requests where it is short.
enum class AdmissionPolicy {
    ByImportance, // in-time requests first, then by importance and arrival
    FairShares, // late requests leave slots to others, and returns of refused callers are spread
};

inline constexpr EnumName<AdmissionPolicy> admissionPolicyNames[] = {
        {AdmissionPolicy::ByImportance, "by-importance"},
        {AdmissionPolicy::FairShares, "fair-shares"},
};

// For which services requests are placed by what they are likely to cost and by the speed of each
// target at the moment.
enum class WorkModelMode {
    Auto, // those whose targets state their speed
    On, // all
    Off,
};

inline constexpr EnumName<WorkModelMode> workModelModeNames[] = {
        {WorkModelMode::Auto, "auto"},
        {WorkModelMode::On, "on"},
        {WorkModelMode::Off, "off"},
};

struct GatewaySettings
{
    std::string instanceId;
    std::string zone;
    std::map<std::string, std::string> zoneRegions; // region of each availability zone
    std::string callerAddress; // "IP:port", as are the other addresses
    std::string readinessAddress;
    std::string directoryAddress;
    std::string metricsAddress;
    std::string reportAddress; // UDP address for load reports of other instances
    std::string storeUrl; // "http://IP:port"
    double coreShare = 1; // processor cores that this instance may use
    Milliseconds stopGrace{6000}; // from SIGTERM to the end of the process
    Milliseconds drainTime{2000}; // how long a target serves after it said that it leaves
    Milliseconds directoryTtl{2000}; // how long callers may cache a directory response
    RetryLimit retryLimit;
    double coldOvershoot = 1.5;
    double coldSlack = 5;
    std::size_t assumedWarmCapacity = 36; // initial estimate of the objects that a target holds
    AdmissionPolicy admission = AdmissionPolicy::ByImportance;
    int targetQueue = 0; // requests that a target queues beyond its slots
    WorkModelMode workModel = WorkModelMode::Auto;
    std::size_t memoryLimitMb = 0; // of the machine; 0: defaultMemoryLimitMb
    std::size_t descriptorLimit = 0; // of this process; 0: the limit that the system sets
    std::string logLevel = "info";
    HeaderNames headers;

    // Returns the region of a zone, or an empty string for an unknown zone.
    [[nodiscard]] std::string regionOf(const std::string &zoneName) const;
};

// A row of the table of gateway settings.
struct GatewaySettingSpec
{
    std::string name; // the flag without "--"
    std::string defaultText; // empty: the setting is required
    std::string help;
    // Parses the text and sets the value. Returns what is allowed if the text is invalid, otherwise
    // an empty string.
    std::function<std::string(GatewaySettings &, const std::string &)> assignValue;
};

std::vector<GatewaySettingSpec> gatewaySettingSpecs();

// Parses flags and environment. Returns the help text if --help was given.
std::variant<GatewaySettings, SettingErrors, SettingsText>
parseGatewaySettings(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace chestnutvane
