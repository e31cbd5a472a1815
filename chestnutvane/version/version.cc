#include "chestnutvane/version/version.h"

#include <algorithm>

#include "chestnutvane/version/rule_parser.h"

namespace chestnutvane {

Result<std::shared_ptr<const Version>, VersionError> compileVersion(std::uint64_t revision,
                                                                    std::string_view rules)
{
    auto parsed = parseRules(rules);
    if (!isOk(parsed))
        return VersionError{mistakeText(error(parsed).front())};
    auto version = std::make_shared<Version>();
    version->revision = revision;
    version->rules = std::move(value(parsed));
    auto clients = compileClients(version->rules.clients);
    if (!isOk(clients))
        return VersionError{std::string(enumName(prefixTableErrorNames, error(clients)))};
    version->clients = std::move(value(clients));
    // The plan is indexed by the distinct lists of weighted regions, as the client table yields.
    RuleSet planned = version->rules;
    planned.clients.clear();
    for (const auto &regions : version->clients.choices)
        planned.clients.push_back({.prefix = {}, .regions = regions});
    auto plan = makeRegionPlan(planned);
    if (!isOk(plan))
        return VersionError{std::string(enumName(regionPlanFailureNames, error(plan).failure))
                            + ": " + error(plan).subject};
    version->plan = std::move(value(plan));
    version->classes = ClassMatch(version->rules.classes);
    for (const auto &target : version->rules.targets)
        version->targets.emplace(targetIdOf(target.name), target);
    for (const auto &region : version->rules.regions) {
        for (const auto &zone : region.zones)
            version->regionOfZone.emplace(zone, region.name);
    }
    return std::shared_ptr<const Version>(std::move(version));
}

std::string regionOfZone(const Version &version, const std::string &zone)
{
    const auto entry = version.regionOfZone.find(zone);
    return entry == version.regionOfZone.end() ? std::string() : entry->second;
}

std::vector<TargetRule> targetsOfUnit(const Version &version, std::string_view service,
                                      std::string_view region)
{
    std::vector<TargetRule> targets;
    for (const auto &target : version.rules.targets) {
        if (target.service == service && regionOfZone(version, target.zone) == region)
            targets.push_back(target);
    }
    return targets;
}

bool isDrained(const Version &version, const TargetRule &target)
{
    const auto covers = [&](const DrainRule &drain) {
        switch (drain.kind) {
        case DrainKind::Target:
            return drain.subject == target.name;
        case DrainKind::Zone:
            return drain.subject == target.zone;
        case DrainKind::Region:
            return drain.subject == regionOfZone(version, target.zone);
        }
        return false;
    };
    return std::any_of(version.rules.drains.begin(), version.rules.drains.end(), covers);
}

bool hasTargets(const Version &version, std::string_view service, std::string_view region)
{
    const auto targets = targetsOfUnit(version, service, region);
    return std::any_of(targets.begin(), targets.end(),
                       [&](const TargetRule &target) { return !isDrained(version, target); });
}

} // namespace chestnutvane
