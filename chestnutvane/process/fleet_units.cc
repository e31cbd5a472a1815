#include "chestnutvane/process/fleet_units.h"

#include <algorithm>
#include <map>

namespace chestnutvane {
namespace internal {
namespace {

using UnitName = std::pair<std::string, std::string>; // service, region

std::map<UnitName, FleetUnit::Broker> knownBrokers(std::span<const Member> members)
{
    std::map<UnitName, FleetUnit::Broker> brokers;
    for (const auto &member : members) {
        if (member.status == MemberStatus::Expired || member.status == MemberStatus::Unconfirmed)
            continue;
        for (const auto &unit : member.record.brokers) {
            auto &broker = brokers[{unit.service, unit.region}];
            if (broker.instance.empty() || unit.epoch > broker.epoch)
                broker = {member.record.id, unit.epoch, member.status};
        }
    }
    return brokers;
}

std::optional<FleetUnit::Report> currentReport(const HeadroomTable &headroom, const UnitName &name,
                                               std::uint64_t epoch, TimePoint now)
{
    const auto newest = headroom.newestReport(name.first, name.second);
    if (!newest || newest->first.epoch != epoch)
        return std::nullopt;
    const auto &[report, madeAt] = *newest;
    const auto unused = report.freeSlots - std::min(report.freeSlots, report.queued);
    return FleetUnit::Report{
            .freeSlots = report.freeSlots,
            .usableSlots = report.totalSlots,
            .queued = report.queued,
            .headroom = report.totalSlots == 0
                    ? 0
                    : std::min(1.0, static_cast<double>(unused) / report.totalSlots),
            .age = std::chrono::duration_cast<Milliseconds>(std::max(now - madeAt, Duration{}))};
}

} // namespace
} // namespace internal

std::vector<FleetUnit> fleetUnits(const Version *version, std::span<const Member> members,
                                  const HeadroomTable &headroom, TimePoint now)
{
    auto brokers = internal::knownBrokers(members);
    std::vector<FleetUnit> units;
    const auto add = [&](const internal::UnitName &name, bool configured) {
        auto &unit = units.emplace_back();
        unit.service = name.first;
        unit.region = name.second;
        unit.configured = configured;
        if (const auto found = brokers.find(name); found != brokers.end()) {
            unit.broker = found->second;
            unit.report = internal::currentReport(headroom, name, found->second.epoch, now);
            brokers.erase(found);
        }
    };
    if (version != nullptr) {
        for (const auto &service : version->rules.services) {
            for (const auto &region : version->rules.regions) {
                if (!targetsOfUnit(*version, service.name, region.name).empty())
                    add({service.name, region.name}, true);
            }
        }
    }
    while (!brokers.empty())
        add(brokers.begin()->first, false);
    return units;
}

} // namespace chestnutvane
