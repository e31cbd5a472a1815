// Lists the units of the fleet with their brokers, as known to one instance, for operators.
//
// Example:
//
//   for (const FleetUnit &unit : fleetUnits(version->rules, members, headroom, now))
//       print(unit.service, unit.region, unit.broker ? unit.broker->instance : "no known broker");
//
// Has no state; safe to call from any thread.
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
        MemberStatus status = MemberStatus::Unconfirmed; // of that instance, as known here

        friend bool operator==(const Broker &, const Broker &) = default;
    };
    struct Report
    {
        std::uint32_t freeSlots = 0;
        std::uint32_t usableSlots = 0;
        std::uint32_t queued = 0;
        double headroom = 0; // (freeSlots - queued) / usableSlots, clamped to 0..1
        Milliseconds age{0};

        friend bool operator==(const Report &, const Report &) = default;
    };

    std::string service;
    std::string region;
    bool configured = true; // false if a broker holds it but the revision here doesn't have it
    std::optional<Broker> broker; // empty if no live instance is known to hold the role
    std::optional<Report> report; // empty if there is none of this broker's epoch

    friend bool operator==(const FleetUnit &, const FleetUnit &) = default;
};

// Returns the units of the configuration in its order, then units that have a broker but are not in
// the configuration. If several members claim the role of a unit, the one with the highest epoch
// counts. Claims of members that are gone or unheard are ignored. "version" may be null: then there
// are no configured units.
std::vector<FleetUnit> fleetUnits(const Version *version, std::span<const Member> members,
                                  const HeadroomTable &headroom, TimePoint now);

} // namespace chestnutvane
