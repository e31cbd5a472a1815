#include "chestnutvane/process/broker_service.h"

#include "chestnutvane/process/log.h"
#include "chestnutvane/process/target_health.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds roleInterval{250};
constexpr Milliseconds tickInterval{10};
constexpr Milliseconds rebuildRequestInterval{200};
constexpr Milliseconds probeInterval{500};
constexpr Milliseconds probeTimeout{400};
constexpr Milliseconds peerTimeout{1000};

} // namespace
} // namespace internal

BrokerService::BrokerService(Instance &instance)
    : instance_(instance), state_(instance.holderId) { }

void BrokerService::start()
{
    watchRoles(std::nullopt);
    watchLeases(std::nullopt);
    instance_.workers->every(internal::roleInterval, [this] { decideRoles(); });
    instance_.workers->every(internal::tickInterval, [this] { tick(); });
    instance_.workers->every(internal::rebuildRequestInterval, [this] { requestHeldLists(); });
    instance_.workers->every(internal::probeInterval, [this] { probeTargets(); });
}

void BrokerService::deliverAnswers(Answers &answers)
{
    for (auto &[callback, answer] : answers)
        callback(answer);
}

void BrokerService::refreshTargets(State &state, Unit &unit, const Version &version, TimePoint now,
                                   Answers &answers)
{
    if (unit.targetsRevision == version.revision)
        return;
    unit.targetsRevision = version.revision;
    std::vector<BrokerTarget> targets;
    for (const auto &target : targetsOfUnit(version, unit.service, unit.region)) {
        const auto id = targetIdOf(target.name);
        targets.push_back(
                {.id = id,
                 .slots = target.slots,
                 .drained = isDrained(version, target),
                 .leaving = unit.healthReports.contains(id) && unit.healthReports[id].second});
    }
    BrokerEffects effects;
    unit.broker->setTargets(targets, now, randomNumber(), effects);
    applyEffects(state, unit, effects, now, answers);
}

void BrokerService::applyEffects(State &state, Unit &unit, const BrokerEffects &effects,
                                 TimePoint now, Answers &answers)
{
    const auto id = unitIdOf(unit.service, unit.region);
    const auto answer = [&](const HolderId &holder, std::uint64_t sequence, GrantAnswer content) {
        const auto entry = unit.answerCallbacks.find({holder, sequence});
        if (entry == unit.answerCallbacks.end())
            return;
        answers.emplace_back(std::move(entry->second), content);
        unit.answerCallbacks.erase(entry);
    };
    for (const auto &effect : effects) {
        if (const auto *grant = std::get_if<GrantEffect>(&effect)) {
            answer(grant->holder, grant->sequence,
                   {.unit = id,
                    .sequence = grant->sequence,
                    .reason = Reason::None,
                    .id = grant->id,
                    .target = grant->target,
                    .probe = grant->probe,
                    .alone = grant->alone});
        } else if (const auto *refusal = std::get_if<RefusalEffect>(&effect)) {
            answer(refusal->holder, refusal->sequence,
                   {.unit = id,
                    .sequence = refusal->sequence,
                    .reason = refusal->reason,
                    .id = {.epoch = unit.broker->epoch()}});
        } else if (const auto *reclaim = std::get_if<ReclaimEffect>(&effect)) {
            logEvent(Event::GrantReclaimed,
                     {{"service", unit.service},
                      {"region", unit.region},
                      {"grant", reclaim->id.number}});
        } else if (const auto *crash = std::get_if<ChargeCrashEffect>(&effect)) {
            logEvent(Event::CrashCharged,
                     {{"service", unit.service},
                      {"target", crash->target},
                      {"fingerprint", crash->fingerprint}});
            state.suspects.recordCrash(crash->fingerprint, now);
        } else if (const auto *clear = std::get_if<ClearSuspectEffect>(&effect)) {
            state.suspects.clearAfterSuccess(clear->fingerprint, now);
        }
    }
}

void BrokerService::request(const GrantRequestMessage &message, AnswerCallback callback)
{
    const auto now = Clock::now();
    Answers answers;
    state_.use([&](State &state) {
        const auto entry = state.units.find(message.unit);
        if (entry == state.units.end() || !entry->second.broker) {
            answers.emplace_back(std::move(callback),
                                 GrantAnswer{.unit = message.unit,
                                             .sequence = message.request.sequence,
                                             .reason = Reason::BrokerUnreachable});
            return;
        }
        auto &unit = entry->second;
        unit.answerCallbacks[{message.request.holder, message.request.sequence}] =
                std::move(callback);
        BrokerEffects effects;
        unit.broker->request(message.request,
                             state.suspects.verdict(message.request.fingerprint, now), now,
                             randomNumber(), effects);
        applyEffects(state, unit, effects, now, answers);
    });
    deliverAnswers(answers);
}

template <class Call>
void BrokerService::withBroker(UnitId id, Call call)
{
    const auto now = Clock::now();
    Answers answers;
    state_.use([&](State &state) {
        const auto entry = state.units.find(id);
        if (entry == state.units.end() || !entry->second.broker)
            return;
        BrokerEffects effects;
        call(entry->second, now, effects);
        applyEffects(state, entry->second, effects, now, answers);
    });
    deliverAnswers(answers);
}

void BrokerService::cancel(UnitId unitId, const HolderId &holder, std::uint64_t sequence)
{
    withBroker(unitId, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
        unit.answerCallbacks.erase({holder, sequence});
        unit.broker->cancel(holder, sequence, now, randomNumber(), effects);
    });
}

void BrokerService::release(const GrantRelease &message)
{
    withBroker(message.unit, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
        unit.broker->release(message.holder, message.id, message.result, message.serviceTime, now,
                             randomNumber(), effects);
    });
    // A lost connection counts as a crash only if the target is down or has restarted. Probe
    // immediately to find out.
    if (message.result == GrantResult::ConnectionLost)
        instance_.workers->post([this] { probeTargets(); });
}

void BrokerService::applyHeldList(const GrantsHeld &report)
{
    withBroker(report.unit, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
        unit.broker->heldReport(report, now, randomNumber(), effects);
        if (unit.rebuilding && !unit.broker->status().rebuilding) {
            unit.rebuilding = false;
            logEvent(Event::BrokerRebuilt,
                     {{"service", unit.service},
                      {"region", unit.region},
                      {"epoch", unit.broker->epoch()}});
        }
    });
}

void BrokerService::tick()
{
    std::vector<UnitId> units;
    state_.use([&](State &state) {
        for (const auto &[id, unit] : state.units) {
            if (unit.broker)
                units.push_back(id);
        }
    });
    for (const auto id : units)
        withBroker(id, [](Unit &unit, TimePoint now, BrokerEffects &effects) {
            unit.broker->tick(now, randomNumber(), effects);
        });
}

void BrokerService::requestHeldLists()
{
    const auto rebuilds = pendingRebuilds();
    if (rebuilds.empty())
        return;
    const auto addresses = peerAddresses();
    for (const auto &pendingRebuild : rebuilds) {
        for (const auto &holder : pendingRebuild.holders)
            requestHeldList(pendingRebuild.request, holder, addresses);
        markDeadHolders(pendingRebuild);
    }
}

std::vector<BrokerService::PendingRebuild> BrokerService::pendingRebuilds()
{
    return state_.use([](State &state) {
        std::vector<PendingRebuild> rebuilds;
        for (const auto &[id, unit] : state.units) {
            if (unit.broker && unit.rebuilding)
                rebuilds.push_back({{id, unit.broker->epoch()}, unit.broker->unreported()});
        }
        return rebuilds;
    });
}

std::map<HolderId, std::string> BrokerService::peerAddresses()
{
    return instance_.membership.use([](MembershipState &state) {
        std::map<HolderId, std::string> addresses;
        for (const auto &member : state.table.members(Clock::now()))
            addresses[holderIdOf(member.record.incarnation)] = member.record.peerAddress;
        return addresses;
    });
}

void BrokerService::requestHeldList(const RebuildRequest &request, const HolderId &holder,
                                    const std::map<HolderId, std::string> &addresses)
{
    if (holder == instance_.holderId) {
        applyHeldList(instance_.grants.use(
                [&](GrantHolder &grants) { return grants.answerRebuild(request, Clock::now()); }));
        return;
    }
    const auto address = addresses.find(holder);
    if (address == addresses.end())
        return;
    instance_.peers->call(address->second, "grants-rebuild", encode(request), internal::peerTimeout,
                          [this](Result<std::string, PeerError> reply) {
                              if (!isOk(reply))
                                  return;
                              if (auto held = decodeGrantsHeld(value(reply)); isOk(held))
                                  instance_.workers->post(
                                          [this, list = value(held)] { applyHeldList(list); });
                          });
}

void BrokerService::markDeadHolders(const PendingRebuild &pendingRebuild)
{
    const auto leased = state_.use([](State &state) { return state.leasedIncarnations; });
    for (const auto &holder : pendingRebuild.holders) {
        if (leased.contains(formatIncarnation(holder.high, holder.low))
            || holder == instance_.holderId)
            continue;
        withBroker(pendingRebuild.request.unit,
                   [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
                       unit.broker->holderDied(holder, now, randomNumber(), effects);
                   });
    }
}

std::vector<BrokerService::UnitReport> BrokerService::reports()
{
    return state_.use([](State &state) {
        std::vector<UnitReport> list;
        for (const auto &[id, unit] : state.units) {
            if (unit.broker)
                list.push_back({.service = unit.service,
                                .region = unit.region,
                                .epoch = unit.broker->epoch(),
                                .status = unit.broker->status(),
                                .headroom = unit.broker->headroom()});
        }
        return list;
    });
}

std::vector<HeldUnit> BrokerService::heldUnits()
{
    std::vector<HeldUnit> units;
    for (const auto &report : reports())
        units.push_back({report.service, report.region, report.epoch});
    return units;
}

std::vector<UnitHeadroom> BrokerService::headroom()
{
    std::vector<UnitHeadroom> list;
    for (const auto &report : reports()) {
        const int total = report.status.effectiveSlots;
        list.push_back(
                {.service = report.service,
                 .region = report.region,
                 .epoch = report.epoch,
                 .freeSlots = static_cast<std::uint32_t>(std::max(0, total - report.status.inUse)),
                 .totalSlots = static_cast<std::uint32_t>(std::max(0, total)),
                 .queued = static_cast<std::uint32_t>(report.status.queued),
                 .age = Milliseconds(0)});
    }
    return list;
}

std::vector<CrashCount> BrokerService::crashCounts()
{
    return state_.use([](State &state) { return state.suspects.counts(Clock::now()); });
}

void BrokerService::mergeCrashCounts(const std::vector<CrashCount> &counts)
{
    if (!counts.empty())
        state_.use([&](State &state) { state.suspects.merge(counts, Clock::now()); });
}

void BrokerService::probeTargets()
{
    const auto version = instance_.version();
    if (!version)
        return;
    for (const auto &report : reports()) {
        for (const auto &target : targetsOfUnit(*version, report.service, report.region))
            probeTarget(unitIdOf(report.service, report.region), target);
    }
}

void BrokerService::probeTarget(UnitId unit, const TargetRule &target)
{
    HttpRequest probe{.method = "GET",
                      .url = "http://" + target.address + "/health",
                      .timeout = internal::probeTimeout,
                      .connectTimeout = internal::probeTimeout};
    instance_.metrics.increment("vane_target_probes_total");
    instance_.targets->send(
            std::move(probe),
            [this, unit, id = targetIdOf(target.name)](Result<HttpResponse, HttpError> result) {
                instance_.workers->post([this, unit, id, result = std::move(result)] {
                    onProbeResult(unit, id, result);
                });
            });
}

void BrokerService::onProbeResult(UnitId unitId, TargetId target,
                                  const Result<HttpResponse, HttpError> &result)
{
    if (!isOk(result) && error(result).failure == HttpFailure::ConnectFailed) {
        withBroker(unitId, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
            unit.broker->probeRefused(target, now, effects);
        });
        return;
    }
    if (!isOk(result) || value(result).status != 200)
        return; // a failed health check gives no information about the load
    const auto report = readTargetHealth(target, value(result));
    withBroker(unitId, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
        unit.healthReports[target] = {report.startId, report.leaving};
        unit.broker->targetReport(report, now, randomNumber(), effects);
    });
}

} // namespace chestnutvane
