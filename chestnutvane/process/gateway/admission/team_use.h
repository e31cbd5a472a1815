// The use of slots by a team, as load reports carry it.
#pragma once

#include <cstdint>

namespace chestnutvane {

// What a team uses and may use at one instance, as sent in load reports.
struct TeamUse
{
    std::uint32_t team = 0; // lower 32 bits of the team key
    std::uint32_t usedMs = 0; // slot time used in the last seconds (decaying)
    std::uint32_t entitledMs = 0; // slot time that its weight stands for in the same time

    friend bool operator==(const TeamUse &, const TeamUse &) = default;
};

} // namespace chestnutvane
