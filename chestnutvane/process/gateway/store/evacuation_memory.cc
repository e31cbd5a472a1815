#include "chestnutvane/process/gateway/store/evacuation_memory.h"

#include <utility>

namespace chestnutvane {

std::set<std::string> applyEvacuations(EvacuationMemory &memory,
                                       const std::map<std::string, EraRevision> &listed,
                                       ListState state, std::uint64_t era, BootTime now)
{
    const bool mayLackWrites = state == ListState::MayLackWrites;
    std::map<std::string, EraRevision> active;
    for (const auto &[zone, revision] : listed) {
        const auto ended = memory.ended.find(zone);
        const bool isOfCopy = mayLackWrites && ended != memory.ended.end()
                && ended->second.last.era < era && revision.revision <= ended->second.last.revision;
        if (!isOfCopy)
            active[zone] = revision;
    }
    for (const auto &[zone, revision] : memory.active) {
        if (active.contains(zone))
            continue;
        if (mayLackWrites && revision.era < era)
            active[zone] = revision;
        else
            memory.ended[zone] = {revision, now};
    }
    std::set<std::string> zones;
    for (const auto &[zone, revision] : active) {
        memory.ended.erase(zone);
        zones.insert(zone);
    }
    std::erase_if(memory.ended,
                  [now](const auto &ended) { return now - ended.second.at > evacuationRetention; });
    memory.active = std::move(active);
    return zones;
}

} // namespace chestnutvane
