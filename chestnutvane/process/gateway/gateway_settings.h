// Settings of the gateway, from flags and environment variables.
//
// A flag wins over its environment variable ("CHESTNUTVANE_" and the flag's name in capitals),
// which wins over the default. All mistakes are reported at once.
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

#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/header_names.h"
#include "chestnutvane/process/gateway/send_limits.h"
#include "chestnutvane/process/settings.h"

namespace chestnutvane {

struct GatewaySettings
{
    std::string instanceId;
    std::string zone;
    std::map<std::string, std::string> zoneRegions; // of all zones
    std::string callerAddress; // "IP:port", as the other addresses
    std::string readinessAddress;
    std::string directoryAddress;
    std::string metricsAddress;
    std::string reportAddress; // UDP, for reports of other instances
    std::string storeUrl; // "http://IP:port"
    Milliseconds stopGrace{6000}; // from SIGTERM to the end of the process
    Milliseconds directoryTtl{2000}; // how long callers keep an answer of the directory
    RetryLimit retryLimit;
    double coldOvershoot = 1.5;
    double coldSlack = 5;
    std::size_t assumedWarmCapacity = 36; // that a target is expected to keep
    std::string logLevel = "info";
    HeaderNames headers;

    // The region of a zone, or an empty text for an unknown zone.
    [[nodiscard]] std::string regionOf(const std::string &zoneName) const;
};

// One row of the table of gateway settings.
struct GatewaySettingSpec
{
    std::string name; // the flag without "--"
    std::string defaultText; // empty: must be given
    std::string help;
    // Stores the value; returns what is allowed if the text is not.
    std::function<std::string(GatewaySettings &, const std::string &)> assign;
};

// Returns the table of settings.
std::vector<GatewaySettingSpec> gatewaySettingSpecs();

// Parses flags and environment. The text is the help, if it was asked for.
std::variant<GatewaySettings, SettingErrors, SettingsText>
parseGatewaySettings(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace chestnutvane
