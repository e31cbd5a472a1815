#include "chestnutvane/process/look_up_service.h"

#include <algorithm>

#include "chestnutvane/process/log.h"
#include "chestnutvane/process/steering_service.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds refreshInterval{50};

RegionId regionIdOf(const Version &version, const std::string &zone)
{
    return findRegion(version.plan, regionOfZone(version, zone)).value_or(noRegion);
}

void addInstances(RoutingSnapshot &snapshot, MembershipState &state, OnceTable &once,
                  const std::string &selfId, bool selfServes, TimePoint now)
{
    for (const auto &member : state.table.members(now)) {
        const bool self = member.record.id == selfId;
        const auto window = self ? once.window() : member.record.keyWindow;
        snapshot.instances.push_back(
                {.id = member.record.id,
                 .region = regionIdOf(*snapshot.version, member.record.zone),
                 .weight = 1,
                 .liveAndServing = self ? selfServes : member.status == MemberStatus::Serving});
        snapshot.entries.push_back(
                {.id = member.record.id,
                 .zone = member.record.zone,
                 .address = member.record.callerAddress,
                 .weight = 0,
                 .keyPrefix = formatKeyPrefix(member.record.incarnation, window)});
    }
}

void addCapacities(RoutingSnapshot &snapshot, const MembershipState &state, TimePoint now)
{
    const auto &version = *snapshot.version;
    for (const auto &service : version.plan.services) {
        for (const auto &region : version.plan.regions) {
            double slots = 0;
            for (const auto &target : targetsOfUnit(version, service, region.name))
                slots += isDrained(version, target) ? 0 : target.slots;
            snapshot.units.push_back(
                    {.headroom = state.headroom.headroom(service, region.name, now),
                     .overflowShare = state.headroom.overflowShare(service, region.name, now),
                     .slots = slots});
        }
    }
    for (const auto &from : version.plan.regions) {
        for (const auto &to : version.plan.regions)
            snapshot.linkShare.push_back(
                    freeLinkShare(version, state.links, from.name, to.name, now));
    }
}

} // namespace
} // namespace internal

LookUpService::LookUpService(Instance &instance) : instance_(instance) { }

void LookUpService::start()
{
    refresh();
    instance_.workers->every(internal::refreshInterval, [this] { refresh(); });
}

std::shared_ptr<const RoutingSnapshot> LookUpService::snapshot()
{
    return snapshot_.load();
}

void LookUpService::refresh()
{
    auto next = std::make_shared<RoutingSnapshot>();
    const auto now = Clock::now();
    const bool ready = instance_.configuration.use([&](ConfigurationState &state) {
        next->version = state.version;
        return state.ready;
    });
    if (!next->version)
        return;
    instance_.membership.use([&](MembershipState &state) {
        const bool serves = ready && !state.leaving && !state.isolated;
        instance_.once.use([&](OnceTable &once) {
            internal::addInstances(*next, state, once, instance_.settings.instanceId, serves, now);
        });
        for (const auto &move : next->version->rules.moves)
            next->moveProgress.push_back(state.moves.adopted(move.name, now));
        internal::addCapacities(*next, state, now);
    });
    next->table = makeEntryTable(next->instances, next->version->plan.regions.size());
    snapshot_.store(std::move(next));
}

Result<LookUpAnswer, Reason> LookUpService::lookUp(const std::string &service,
                                                   const std::string &client)
{
    const auto current = snapshot();
    if (!current)
        return Reason::NoConfiguration;
    const auto &version = *current->version;
    const auto serviceIndex = findService(version.plan, service);
    if (!serviceIndex)
        return Reason::UnknownService;
    const auto address = parseIpAddress(client);
    if (!address)
        return Reason::BadRequest;
    const auto caller = callerHash(client);
    const auto clients = version.clients.table.lookUp(*address);
    thread_local RegionChoice region;
    region = {};
    if (clients)
        chooseRegion(version.plan, {current->moveProgress, current->units, current->linkShare},
                     {*serviceIndex, *clients, caller}, region);
    const RegionId chosen =
            clients ? region.region : internal::regionIdOf(version, instance_.settings.zone);
    thread_local EntryChoice choice;
    if (chooseEntries(current->table, chosen, caller, choice) == EntryOutcome::NoLiveInstance)
        return Reason::NoTarget;
    LookUpAnswer answer{.region = chosen < version.plan.regions.size()
                                ? version.plan.regions[chosen].name
                                : std::string(),
                        .revision = version.revision,
                        .ttl = instance_.settings.lookUpTtl};
    for (const auto &pick : choice.list()) {
        answer.entries.push_back(current->entries[pick.instance]);
        answer.entries.back().weight = pick.weight;
    }
    for (const auto &step : region.taken())
        answer.steps.push_back(describeStep(version.plan, step));
    return answer;
}

std::vector<FallbackRegion> LookUpService::fallbackCandidates(const Version &version,
                                                              const std::string &service,
                                                              std::span<const std::string> tried)
{
    std::vector<FallbackRegion> candidates;
    const auto serviceIndex = findService(version.plan, service);
    if (!serviceIndex)
        return candidates;
    const auto regions = version.plan.regions.size();
    const auto from = tried.empty() ? std::nullopt : findRegion(version.plan, tried.front());
    // A snapshot of another revision may order its units differently; it is replaced within 50 ms.
    const auto current = snapshot();
    const bool known = current && current->version->revision == version.revision;
    for (RegionId id = 0; id < regions; ++id) {
        const auto &name = version.plan.regions[id].name;
        if (std::find(tried.begin(), tried.end(), name) != tried.end()
            || !hasTargets(version, service, name))
            continue;
        FallbackRegion candidate{.region = id};
        if (known) {
            const auto &unit = current->units[*serviceIndex * regions + id];
            candidate.headroom = unit.headroom;
            candidate.slots = unit.slots;
        }
        if (known && from)
            candidate.linkShare = current->linkShare[*from * regions + id];
        candidates.push_back(candidate);
    }
    return candidates;
}

std::optional<std::string> LookUpService::firstRegion(const Version &version,
                                                      const std::string &service)
{
    auto own = regionOfZone(version, instance_.settings.zone);
    if (hasTargets(version, service, own))
        return own;
    return fallbackRegion(version, service, {}, Reason::NoTarget, 0);
}

std::optional<std::string> LookUpService::fallbackRegion(const Version &version,
                                                         const std::string &service,
                                                         std::span<const std::string> tried,
                                                         Reason reason, double point)
{
    const auto candidates = fallbackCandidates(version, service, tried);
    const auto index = chooseFallback(candidates, reason, point);
    if (!index)
        return std::nullopt;
    return version.plan.regions[candidates[*index].region].name;
}

bool LookUpService::hasRoomElsewhere(const Version &version, const std::string &service,
                                     const std::string &from)
{
    const auto candidates = fallbackCandidates(version, service, {&from, 1});
    return std::any_of(candidates.begin(), candidates.end(), hasSpareCapacity);
}

} // namespace chestnutvane
