#include "chestnutvane/process/steering_service.h"

#include <algorithm>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view movePrefix = "move/";
constexpr Milliseconds moveCheckInterval{500}; // between checks for a due step
constexpr Milliseconds watchRetryDelay{500}; // after a failed watch

// Returns the rule of the link between two regions, in either direction; nullptr if there is none.
const LinkRule *findLink(const Version &version, const std::string &a, const std::string &b)
{
    for (const auto &link : version.rules.links) {
        if ((link.from == a && link.to == b) || (link.from == b && link.to == a))
            return &link;
    }
    return nullptr;
}

// Returns the share of a link's capacity that steering may use; 1 without a cap rule.
double linkCap(const Version &version, const std::string &a, const std::string &b)
{
    for (const auto &cap : version.rules.caps) {
        if (cap.kind == CapKind::Link && (cap.subject == a + ":" + b || cap.subject == b + ":" + a))
            return cap.percent / 100;
    }
    return 1;
}

// Returns the utilisation of a link as a share of its capacity; 0 without a link rule.
double linkUse(const Version &version, const LinkUseTable &links, const std::string &from,
               const std::string &to, TimePoint now)
{
    const auto *link = findLink(version, from, to);
    return link == nullptr ? 0 : links.mbps(from, to, now) / link->capacityMbps;
}

// Returns the cap on callers moved by all moves, in percent per minute; 100 without a cap rule.
double shiftCap(const Version &version)
{
    for (const auto &cap : version.rules.caps) {
        if (cap.kind == CapKind::Shift)
            return cap.percent;
    }
    return 100;
}

// Returns the share of the slots that steering may use, by region; no entry without a cap rule.
std::map<std::string, double> regionCaps(const Version &version)
{
    std::map<std::string, double> caps;
    for (const auto &cap : version.rules.caps) {
        if (cap.kind == CapKind::Region)
            caps[cap.subject] = cap.percent / 100;
    }
    return caps;
}

double mean(const DecayingSum &sum, const DecayingSum &count, TimePoint now)
{
    constexpr double minCount = 1e-6; // a decayed count below this means that there are no samples
    const double sampleCount = count.sum(now);
    return sampleCount < minCount ? 0 : sum.sum(now) / sampleCount;
}

} // namespace
} // namespace internal

SteeringService::SteeringService(Instance &instance) : instance_(instance) { }

void SteeringService::start()
{
    watchMoves(std::nullopt);
    instance_.workers->every(internal::moveCheckInterval, [this] { advanceMoves(); });
}

void SteeringService::watchMoves(std::optional<std::uint64_t> afterVersion)
{
    instance_.watchStore(
            std::string(internal::movePrefix), afterVersion,
            [this, afterVersion](Result<WatchResult, StoreError> result) {
                if (!isOk(result)) {
                    instance_.workers->after(internal::watchRetryDelay,
                                             [this, afterVersion] { watchMoves(afterVersion); });
                    return;
                }
                const auto now = Clock::now();
                instance_.membership.use([&](MembershipState &state) {
                    state.movesRead = true;
                    for (const auto &entry : value(result).entries) {
                        const auto name = entry.key.substr(internal::movePrefix.size());
                        if (const auto seen = decodeMoveValue(entry.value); isOk(seen))
                            state.moves.observe(name, value(seen), entry.version, now);
                    }
                });
                instance_.workers->post([this, next = value(result).version] { watchMoves(next); });
            });
}

MoveConditions SteeringService::measureConditions(const MembershipState &state,
                                                  const Version &version, const MoveRule &move,
                                                  TimePoint now)
{
    MoveConditions conditions;
    conditions.storeReachable = state.store.reachable;
    conditions.destinationDrained = !hasTargets(version, move.service, move.to);
    conditions.headroom = state.headroom.headroom(move.service, move.to, now);
    if (const auto latency = state.latencies.find({move.service, move.to});
        latency != state.latencies.end()) {
        const auto &unit = latency->second;
        conditions.recentLatencyMs = internal::mean(unit.recentMs, unit.recentCount, now);
        conditions.longTermLatencyMs = internal::mean(unit.longMs, unit.longCount, now);
    }
    conditions.linkUse = internal::linkUse(version, state.links, move.from, move.to, now);
    conditions.linkCap = internal::linkCap(version, move.from, move.to);
    conditions.shiftCapPercent = internal::shiftCap(version);
    conditions.activeMoves = std::max<int>(1, static_cast<int>(version.rules.moves.size()));
    for (const auto &member : state.table.members(now)) {
        const bool isSelf = member.record.id == state.table.self().id;
        if (!isSelf && member.status != MemberStatus::Serving
            && member.status != MemberStatus::Silent)
            continue;
        std::uint64_t step = isSelf ? state.moves.adoptedStep(move.name) : 0;
        for (const auto &report : member.record.moves) {
            if (!isSelf && report.move == move.name)
                step = report.adoptedStep;
        }
        conditions.lowestAdoptedStep = std::min(conditions.lowestAdoptedStep.value_or(step), step);
    }
    return conditions;
}

void SteeringService::advanceMoves()
{
    const auto version = instance_.version();
    if (!version)
        return;
    const auto now = Clock::now();
    const auto region = regionOfZone(*version, instance_.settings.zone);
    std::vector<std::pair<std::string, StepDecision>> decisions;
    instance_.membership.use([&](MembershipState &state) {
        state.headroom.setRegionCaps(internal::regionCaps(*version));
        if (!state.movesRead)
            return;
        state.moves.eraseMovesExcept([&](const std::string &name) {
            return std::any_of(version->rules.moves.begin(), version->rules.moves.end(),
                               [&](const MoveRule &move) { return move.name == name; });
        });
        for (const auto &move : version->rules.moves) {
            if (!state.moves.observed(move.name))
                state.moves.observe(move.name, MoveValue{}, 0, now);
            state.moves.adopted(move.name, now);
            if (move.to == region)
                decisions.emplace_back(
                        move.name,
                        state.moves.nextStep(move.name, move,
                                             measureConditions(state, *version, move, now), now));
        }
    });
    for (const auto &[move, decision] : decisions) {
        if (decision.wait == MoveWait::None) {
            writeStep(move, decision);
        } else if (lastLoggedWait_[move] != decision.wait) {
            lastLoggedWait_[move] = decision.wait;
            logEvent(Event::MoveWaiting,
                     {{"move", move}, {"reason", enumName(moveWaitNames, decision.wait)}});
        }
    }
}

void SteeringService::writeStep(const std::string &move, const StepDecision &decision)
{
    instance_.store.compareAndSwap(
            {.key = moveKey(move),
             .expectedVersion = decision.expectedVersion,
             .value = encodeMoveValue(decision.next)},
            [this, move, next = decision.next](Result<std::uint64_t, StoreError> result) {
                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                if (!isOk(result))
                    return; // another instance may have written the step; the watch reports it
                instance_.membership.use([&](MembershipState &state) {
                    state.moves.observe(move, next, value(result), Clock::now());
                });
                logEvent(Event::MoveStepped,
                         {{"move", move}, {"step", next.step}, {"progress", next.progress}});
            });
}

void SteeringService::onServed(const std::string &service, const std::string &region,
                               Duration serviceTime)
{
    const auto now = Clock::now();
    const double ms = std::chrono::duration<double, std::milli>(serviceTime).count();
    instance_.membership.use([&](MembershipState &state) {
        state.headroom.recordOwnOutcome(service, region, OwnOutcome::Served, now);
        auto &unit = state.latencies[{service, region}];
        unit.recentMs.add(ms, now);
        unit.recentCount.add(1, now);
        unit.longMs.add(ms, now);
        unit.longCount.add(1, now);
    });
}

void SteeringService::onRefused(const std::string &service, const std::string &region)
{
    instance_.membership.use([&](MembershipState &state) {
        state.headroom.recordOwnOutcome(service, region, OwnOutcome::Refused, Clock::now());
    });
}

void SteeringService::onLinkBytes(const std::string &from, const std::string &to, std::size_t bytes)
{
    instance_.membership.use([&](MembershipState &state) {
        state.links.add(from, to, static_cast<double>(bytes), Clock::now());
    });
}

void applyHeadroomReports(HeadroomTable &table, const MemberRecord &record, TimePoint receivedAt)
{
    for (const auto &unit : record.headroom)
        table.report(unit.service, unit.region,
                     {.epoch = unit.epoch,
                      .freeSlots = unit.freeSlots,
                      .totalSlots = unit.totalSlots,
                      .queued = unit.queued},
                     receivedAt - unit.age);
}

double freeLinkShare(const Version &version, const LinkUseTable &links, const std::string &from,
                     const std::string &to, TimePoint now)
{
    if (internal::findLink(version, from, to) == nullptr)
        return 0;
    return std::clamp(internal::linkCap(version, from, to)
                              - internal::linkUse(version, links, from, to, now),
                      0.0, 1.0);
}

} // namespace chestnutvane
