// The units of the fleet as one instance knows them, for operators.
//
// Example:
//
//   for (const FleetUnit &unit : fleetUnits(version->rules, members, headroom, now))
//       print(unit.service, unit.region, unit.broker ? unit.broker->instance : "no known broker");
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "chestnutvane/process/headroom.h"
#include "chestnutvane/process/membership.h"
#include "chestnutvane/version/version.h"

namespace chestnutvane {

struct FleetUnit
{
    struct Broker
    {
        std::string instance;
        std::uint64_t epoch = 0;
        MemberStatus status = MemberStatus::Unheard; // of the instance, as heard here

        friend bool operator==(const Broker &, const Broker &) = default;
    };
    struct Report
    {
        std::uint32_t freeSlots = 0;
        std::uint32_t usableSlots = 0;
        std::uint32_t queued = 0;
        double headroom = 0; // free slots without those that queued requests take, over usable ones
        Milliseconds age{0};

        friend bool operator==(const Report &, const Report &) = default;
    };

    std::string service;
    std::string region;
    bool configured = true; // false: held by a broker, but not in the revision of this instance
    std::optional<Broker> broker; // nothing: no live instance is known to hold the role
    std::optional<Report> report; // of this broker's epoch

    friend bool operator==(const FleetUnit &, const FleetUnit &) = default;
};

// The units of the configuration in its order, then units that are held only. Of several members
// that claim a role, the one with the highest epoch has it. A member that is gone holds nothing.
// "version" may be null.
std::vector<FleetUnit> fleetUnits(const Version *version, std::span<const Member> members,
                                  const HeadroomTable &headroom, TimePoint now);

} // namespace chestnutvane
