#include "testing/run_fault.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace chestnutvane {
namespace {

constexpr int slowMs = 1000;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::map<std::string, int> runsInLog(const std::string &text)
{
    std::map<std::string, int> runs;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string what;
        std::string at;
        std::string tag;
        if (words >> what >> at >> tag && what == "run")
            ++runs[tag];
    }
    return runs;
}

void InjectedFault::begin()
{
    switch (fault_) {
    case RunFault::None:
        break;
    case RunFault::KillBroker:
        killAll({firstBroker()});
        break;
    case RunFault::PauseInstance:
        description_ = "paused " + deployment_.instances().front().id;
        deployment_.sendSignal(deployment_.instances().front().id, SIGSTOP);
        break;
    case RunFault::StoreDown:
        description_ = "store down";
        deployment_.control("store", {{"down", true}});
        break;
    case RunFault::StoreSlow:
        description_ = "store slower by " + std::to_string(slowMs) + " ms";
        deployment_.control("store", {{"delay-ms", slowMs}});
        break;
    case RunFault::TargetCrash:
        killAll({deployment_.rules().targets.front().name});
        break;
    case RunFault::RegionLost:
        killAll(lastRegion());
        break;
    }
}

void InjectedFault::end()
{
    if (fault_ == RunFault::PauseInstance)
        deployment_.sendSignal(deployment_.instances().front().id, SIGCONT);
    if (fault_ == RunFault::StoreDown)
        deployment_.control("store", {{"down", false}});
    if (fault_ == RunFault::StoreSlow)
        deployment_.control("store", {{"delay-ms", 0}});
    for (const auto &name : killed_) {
        deployment_.waitForExit(name, Milliseconds{1000});
        deployment_.start(name);
    }
}

void InjectedFault::killAll(const std::vector<std::string> &names)
{
    before_ = deployment_.records();
    killed_ = names;
    description_ = "killed";
    for (const auto &name : names) {
        description_ += " " + name;
        deployment_.sendSignal(name, SIGKILL);
    }
}

std::string InjectedFault::firstBroker()
{
    const auto &service = deployment_.rules().services.front().name;
    const auto &region = deployment_.rules().regions.front().name;
    for (const auto &instance : deployment_.instances()) {
        for (const auto &unit :
             deployment_.status(instance.id).value("units", nlohmann::json::array())) {
            if (unit.value("service", "") == service && unit.value("region", "") == region)
                return instance.id;
        }
    }
    return deployment_.instances().front().id;
}

std::vector<std::string> InjectedFault::lastRegion() const
{
    const auto &zones = deployment_.rules().regions.back().zones;
    std::vector<std::string> names;
    for (const auto &target : deployment_.rules().targets) {
        if (contains(zones, target.zone))
            names.push_back(target.name);
    }
    for (const auto &instance : deployment_.instances()) {
        if (contains(zones, instance.zone))
            names.push_back(instance.id);
    }
    return names;
}

void InjectedFault::restoreRecords(std::vector<TargetRecord> &records) const
{
    for (auto &record : records) {
        const auto found = std::find_if(before_.begin(), before_.end(), [&](const auto &earlier) {
            return earlier.name == record.name;
        });
        if (found == before_.end() || !contains(killed_, record.name))
            continue;
        std::ostringstream text;
        text << std::ifstream(logFolder_ + "/" + record.name + ".log").rdbuf();
        record.runsByTag = runsInLog(text.str());
        record.runs += found->runs;
        record.aboveSlots += found->aboveSlots;
        record.mostRunning = std::max(record.mostRunning, found->mostRunning);
        record.lastEndMs = std::max(record.lastEndMs, found->lastEndMs);
    }
}

} // namespace chestnutvane
