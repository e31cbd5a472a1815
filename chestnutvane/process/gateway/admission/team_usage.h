// What an instance reports to its peers about the quota of a team.
#pragma once

#include <cstdint>

namespace chestnutvane {

// Absolute figures, so that a lost or duplicate report does no harm.
struct TeamUsage
{
    std::uint32_t team = 0; // key of the team
    std::uint32_t episode = 0; // increases each time the team asks again after a pause
    std::uint64_t admitted = 0; // in this episode, less those given back
    double demandPerSecond = 0; // requests that asked, admitted or not

    friend bool operator==(const TeamUsage &, const TeamUsage &) = default;
};

} // namespace chestnutvane
