#include "testing/run_scenario.h"

#include <algorithm>

namespace chestnutvane {
namespace {

using nlohmann::json;

// Shares follow section 1 of the design page: seat maps most, then schedules, checkouts,
// reservations. Work times keep the request rate within what one machine can send and answer.
json boxOffice()
{
    return {{{"name", "seat-maps"},
             {"service", "box-office"},
             {"path", "/seat-maps"},
             {"share", 60},
             {"work-ms", 50},
             {"answer-bytes", 20'000}},
            {{"name", "schedules"},
             {"service", "box-office"},
             {"path", "/schedules"},
             {"share", 20},
             {"work-ms", 40},
             {"answer-bytes", 4000}},
            {{"name", "checkout"},
             {"service", "box-office"},
             {"path", "/checkout"},
             {"share", 12},
             {"work-ms", 80},
             {"body-min", 200},
             {"body-max", 2000},
             {"answer-bytes", 500},
             {"at-most-once", true}},
            {{"name", "wax-lots"},
             {"service", "box-office"},
             {"path", "/wax-lots"},
             {"share", 8},
             {"work-ms", 80},
             {"body-min", 200},
             {"body-max", 1000},
             {"answer-bytes", 300},
             {"at-most-once", true}}};
}

json gallery()
{
    return {{{"name", "uploads"},
             {"service", "gallery"},
             {"path", "/uploads"},
             {"share", 30},
             {"work-ms", 200},
             {"body-min", 200'000},
             {"body-max", 1'000'000},
             {"answer-bytes", 200}},
            {{"name", "archive"},
             {"service", "gallery"},
             {"path", "/archive"},
             {"share", 70},
             {"work-ms", 120},
             {"answer-bytes", 30'000}}};
}

json matchday()
{
    return {{{"name", "schedules"},
             {"service", "matchday"},
             {"path", "/schedules"},
             {"share", 80},
             {"work-ms", 60},
             {"answer-bytes", 6000}},
            {{"name", "confirmations"},
             {"service", "matchday"},
             {"path", "/confirmations"},
             {"share", 20},
             {"work-ms", 100},
             {"body-min", 200},
             {"body-max", 1000},
             {"answer-bytes", 300},
             {"at-most-once", true}}};
}

json registro()
{
    return {{{"name", "clearances"},
             {"service", "registro"},
             {"path", "/clearances"},
             {"share", 1},
             {"work-ms", 300},
             {"body-min", 200'000},
             {"body-max", 1'000'000},
             {"answer-bytes", 200}}};
}

std::string regionOf(const RuleSet &rules, const std::string &zone)
{
    for (const auto &region : rules.regions) {
        if (std::find(region.zones.begin(), region.zones.end(), zone) != region.zones.end())
            return region.name;
    }
    return {};
}

} // namespace

// The drained zones hold less than half of their region's slots of the first service, so that the
// rest of the region can carry its callers. The second service is drained to half; it runs at 45%.
std::optional<RunScenario> findScenario(const std::string &name)
{
    if (name == "lumenwick")
        return RunScenario{
                .rulesFile = "lumenwick.rules",
                .drainedZone = "txg-b",
                .callers = {{"taipei", "10.1", 1.25},
                            {"taichung", "10.2", 0.7},
                            {"kaohsiung", "10.3", 1.0}},
                .services = {{"box-office", 0.5, boxOffice()}, {"gallery", 0.45, gallery()}}};
    if (name == "liga")
        return RunScenario{
                .rulesFile = "liga.rules",
                .drainedZone = "car-b",
                .callers = {{"andina", "10.11"}, {"caribe", "10.12"}, {"pacifico", "10.13"}},
                .services = {{"matchday", 0.5, matchday()}, {"registro", 0.45, registro()}}};
    return std::nullopt;
}

std::vector<InstanceSpec> placeInstances(const RuleSet &rules, int count)
{
    std::vector<InstanceSpec> instances;
    for (int i = 0; i < count; ++i) {
        const auto number = static_cast<std::size_t>(i);
        const auto &zones = rules.regions[number % rules.regions.size()].zones;
        instances.push_back(
                {"i" + std::to_string(i + 1), zones[number / rules.regions.size() % zones.size()]});
    }
    return instances;
}

double requestRate(const RuleSet &rules, const ServiceLoad &load, const CallerGroup &group)
{
    int slots = 0;
    for (const auto &target : rules.targets) {
        if (target.service == load.service && regionOf(rules, target.zone) == group.region)
            slots += target.slots;
    }
    double shares = 0;
    double work = 0;
    for (const auto &row : load.mix) {
        shares += row.at("share").get<double>();
        work += row.at("share").get<double>() * row.at("work-ms").get<double>();
    }
    return group.factor * load.use * slots * 1000 * shares / work;
}

std::set<std::string> targetsInZone(const RuleSet &rules, const std::string &zone)
{
    std::set<std::string> names;
    for (const auto &target : rules.targets) {
        if (target.zone == zone)
            names.insert(target.name);
    }
    return names;
}

} // namespace chestnutvane
