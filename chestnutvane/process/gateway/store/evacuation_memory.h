// Decides which availability zones are evacuated after the store came back from a copy.
//
// The copy may lack the evacuations of the last seconds, and may hold ones that were taken back.
// Both are decided by what this instance knew, until operators have had time to write again.
//
// Example:
//
//   EvacuationMemory memory;
//   const auto zones = applyEvacuations(memory, listed, ListState::Complete, era, now);
//
// Pure functions over plain state. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "chestnutvane/base/boot_clock.h"

namespace chestnutvane {

// A revision of the store, which is comparable within its era only.
struct EraRevision
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const EraRevision &, const EraRevision &) = default;
};

// Whether a list of the store holds all that was written.
enum class ListState {
    Complete,
    MayLackWrites, // those of the last seconds of an earlier era may be missing
};

// The evacuations that an instance knows.
struct EvacuationMemory
{
    struct Ended
    {
        EraRevision last; // of its entry, before it was removed
        BootTime at;
    };
    std::map<std::string, EraRevision> active; // by zone
    std::map<std::string, Ended> ended; // by zone, for evacuationRetention
};

// How long an evacuation that was taken back is remembered: far longer than a copy is old.
inline constexpr std::chrono::minutes evacuationRetention{1};

// Takes in the listed evacuations, by zone, and returns the zones that are evacuated. While the
// list may lack writes, an evacuation of an earlier era that it lacks stays, and one that was taken
// back in an earlier era stays so unless its entry is newer.
std::set<std::string> applyEvacuations(EvacuationMemory &memory,
                                       const std::map<std::string, EraRevision> &listed,
                                       ListState state, std::uint64_t era, BootTime now);

} // namespace chestnutvane
