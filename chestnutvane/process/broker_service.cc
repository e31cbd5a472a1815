#include "chestnutvane/process/broker_service.h"

#include <nlohmann/json.hpp>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view rolePrefix = "broker/";
constexpr std::string_view leasePrefix = "instance/";
constexpr Milliseconds roleInterval{250};
constexpr Milliseconds brokerTick{10};
constexpr Milliseconds rebuildInterval{200};
constexpr Milliseconds probeInterval{500};
constexpr Milliseconds probeTimeout{400};
constexpr Milliseconds watchPause{500}; // after a failed watch, so that an outage is not hammered
constexpr Milliseconds peerTimeout{1000};
constexpr Milliseconds remoteBrokersAge{20}; // copying all members for each request is too slow

std::string roleKey(const std::string &service, const std::string &region)
{
    return std::string(rolePrefix) + service + "/" + region;
}

} // namespace
} // namespace internal

BrokerService::BrokerService(Instance &instance)
    : instance_(instance), state_(instance.holderId) { }

void BrokerService::start()
{
    watchRoles(std::nullopt);
    watchLeases(std::nullopt);
    instance_.workers->every(internal::roleInterval, [this] { decideRoles(); });
    instance_.workers->every(internal::brokerTick, [this] { tick(); });
    instance_.workers->every(internal::rebuildInterval, [this] { askForReports(); });
    instance_.workers->every(internal::probeInterval, [this] { probeTargets(); });
}

void BrokerService::give(Answers &answers)
{
    for (auto &[callback, answer] : answers)
        callback(answer);
}

void BrokerService::watchRoles(std::optional<std::uint64_t> afterVersion)
{
    instance_.watchStore(
            std::string(internal::rolePrefix), afterVersion,
            [this, afterVersion](Result<WatchResult, StoreError> result) {
                if (!isOk(result)) {
                    instance_.workers->after(internal::watchPause,
                                             [this, afterVersion] { watchRoles(afterVersion); });
                    return;
                }
                state_.use([&](State &state) {
                    state.rolesKnown = true;
                    state.entries.clear();
                    for (const auto &entry : value(result).entries) {
                        if (auto record = decodeBrokerRecord(entry.value); isOk(record))
                            state.entries[entry.key] = {entry.version, value(record)};
                    }
                });
                instance_.workers->post([this, next = value(result).version] {
                    decideRoles();
                    watchRoles(next);
                });
            });
}

void BrokerService::watchLeases(std::optional<std::uint64_t> afterVersion)
{
    instance_.watchStore(std::string(internal::leasePrefix), afterVersion,
                         [this, afterVersion](Result<WatchResult, StoreError> result) {
                             instance_.noteStoreCall(isStoreAnswer(result), Clock::now());
                             if (!isOk(result)) {
                                 instance_.workers->after(
                                         internal::watchPause,
                                         [this, afterVersion] { watchLeases(afterVersion); });
                                 return;
                             }
                             state_.use([&](State &state) {
                                 state.leasesKnown = true;
                                 state.leasedIncarnations.clear();
                                 for (const auto &entry : value(result).entries)
                                     state.leasedIncarnations.insert(entry.value);
                             });
                             instance_.workers->post(
                                     [this, next = value(result).version] { watchLeases(next); });
                         });
}

void BrokerService::decideRoles()
{
    const auto version = instance_.version();
    if (!version)
        return;
    const auto now = Clock::now();
    const auto region = regionOfZone(*version, instance_.settings.zone);
    RoleInput input;
    std::vector<RoleMember> members;
    instance_.membership.use([&](MembershipState &state) {
        input.selfId = instance_.settings.instanceId;
        input.selfIncarnation = instance_.holderId;
        input.selfLeaving = state.leaving;
        input.storeReachable = state.store.reachable;
        input.storeReachableSince = state.store.reachableSince;
        input.leaseRenewalStart = state.store.renewalStart;
        input.leaseEverHeld = state.store.leaseEverHeld;
        input.leaseLost = state.store.leaseLost;
        input.isolated = state.isolated;
        const auto view = contactView(state, now);
        const IsolationLimits limits;
        for (const auto &peer : view.peers)
            input.peerReportsStoreContact |= peer.heardAge <= limits.peerSilence
                    && peer.storeContactAge && *peer.storeContactAge <= limits.presentContact;
        for (const auto &member : state.table.members(now)) {
            const bool self = member.record.id == instance_.settings.instanceId;
            if (regionOfZone(*version, member.record.zone) != region)
                continue;
            members.push_back(
                    {.instanceId = member.record.id,
                     .incarnation = holderIdOf(member.record.incarnation),
                     .live = self || member.status == MemberStatus::Serving,
                     .leaving = self ? state.leaving : member.status == MemberStatus::Leaving});
        }
    });
    input.members = members;
    Answers answers;
    std::vector<CompareAndSwap> writes;
    bool holdsAny = false;
    bool opened = false;
    state_.use([&](State &state) {
        if (state.suspectsRegion != region) {
            state.suspectsRegion = region;
            state.suspects = CrashSuspects(instance_.holderId, region);
        }
        for (const auto &service : version->rules.services) {
            const auto id = unitIdOf(service.name, region);
            if (!state.units.contains(id) && targetsOfUnit(*version, service.name, region).empty())
                continue;
            auto &unit = state.units[id];
            unit.service = service.name;
            unit.region = region;
            if (state.rolesKnown) {
                const auto entry = state.entries.find(internal::roleKey(service.name, region));
                unit.entry = entry == state.entries.end() ? RoleEntry{} : entry->second;
            }
            input.holderLeaseGone = false;
            if (unit.entry && state.leasesKnown) {
                const auto &record = unit.entry->record;
                const auto incarnation =
                        formatIncarnation(record.incarnation.high, record.incarnation.low);
                input.holderLeaseGone = !state.leasedIncarnations.contains(incarnation);
            }
            const bool held = unit.broker.has_value();
            decideRole(state, unit, *version, input, now, answers, writes);
            opened |= !held && unit.broker.has_value();
            if (unit.broker)
                refreshTargets(state, unit, *version, now, answers);
            holdsAny |= unit.broker.has_value();
        }
        state.suspects.expire(now);
    });
    if (!holdsAny)
        instance_.membership.use([](MembershipState &state) { state.store.leaseLost = false; });
    give(answers);
    if (opened)
        askForReports(); // the unit grants nothing until all holders have reported
    for (auto &write : writes)
        writeRole(std::move(write));
}

void BrokerService::decideRole(State &state, Unit &unit, const Version &version, RoleInput input,
                               TimePoint now, Answers &answers, std::vector<CompareAndSwap> &writes)
{
    input.unit = unitIdOf(unit.service, unit.region);
    input.entry = unit.entry;
    const bool isFree = unit.entry && isRoleFree(*unit.entry, input.holderLeaseGone);
    if (!isFree)
        unit.freeSince.reset();
    else if (!unit.freeSince)
        unit.freeSince = now;
    input.freeSince = unit.freeSince.value_or(now);
    const auto decision = decideBrokerRole(input, now);
    if (decision.action == RoleAction::Keep) {
        if (!unit.broker)
            openBroker(state, unit, version, decision, input.members, now, answers);
        unit.broker->setAuthority(decision.grantUntil);
        return;
    }
    if (decision.action != RoleAction::Take)
        closeBroker(unit, answers);
    if (decision.action == RoleAction::None || unit.writing)
        return;
    unit.writing = true;
    writes.push_back({.key = internal::roleKey(unit.service, unit.region),
                      .expectedVersion = decision.expectedVersion,
                      .value = encode(decision.record)});
}

void BrokerService::writeRole(CompareAndSwap write)
{
    const auto key = write.key;
    const auto text = write.value;
    instance_.store.compareAndSwap(
            std::move(write), [this, key, text](Result<std::uint64_t, StoreError> result) {
                instance_.noteStoreCall(isStoreAnswer(result), Clock::now());
                state_.use([&](State &state) {
                    for (auto &[id, unit] : state.units) {
                        if (internal::roleKey(unit.service, unit.region) != key)
                            continue;
                        unit.writing = false;
                        // A watch that was answered before this write must not undo it.
                        if (isOk(result) && state.entries[key].version < value(result))
                            state.entries[key] = {value(result), value(decodeBrokerRecord(text))};
                    }
                });
                // A failed write is tried again by the timer, so that an outage is not hammered.
                if (isOk(result))
                    instance_.workers->post([this] { decideRoles(); });
                else
                    logEvent(Event::RoleWriteFailed,
                             {{"key", key},
                              {"failure", enumName(storeFailureNames, error(result).failure)}});
            });
}

void BrokerService::openBroker(State &state, Unit &unit, const Version &version,
                               const RoleDecision &decision, std::span<const RoleMember> members,
                               TimePoint now, Answers &answers)
{
    unit.broker = SlotBroker(decision.record.epoch, {.warmStart = decision.record.epoch > 1});
    unit.rebuilding = true;
    unit.targetsRevision = 0;
    refreshTargets(state, unit, version, now, answers);
    std::set<HolderId> holders;
    for (const auto &member : members)
        holders.insert(member.incarnation);
    BrokerEffects effects;
    unit.broker->startRebuild(std::vector(holders.begin(), holders.end()), now, randomNumber(),
                              effects);
    applyEffects(state, unit, effects, now, answers);
    logEvent(
            Event::BrokerTaken,
            {{"service", unit.service}, {"region", unit.region}, {"epoch", decision.record.epoch}});
}

void BrokerService::closeBroker(Unit &unit, Answers &answers)
{
    if (!unit.broker)
        return;
    logEvent(Event::BrokerGivenUp,
             {{"service", unit.service}, {"region", unit.region}, {"epoch", unit.broker->epoch()}});
    for (auto &[key, callback] : unit.waiting)
        answers.emplace_back(std::move(callback),
                             GrantAnswer{.unit = unitIdOf(unit.service, unit.region),
                                         .sequence = key.second,
                                         .reason = Reason::BrokerUnreachable});
    unit.waiting.clear();
    unit.broker.reset();
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
        targets.push_back({.id = id,
                           .slots = target.slots,
                           .drained = isDrained(version, target),
                           .leaving = unit.reported.contains(id) && unit.reported[id].second});
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
        const auto entry = unit.waiting.find({holder, sequence});
        if (entry == unit.waiting.end())
            return;
        answers.emplace_back(std::move(entry->second), content);
        unit.waiting.erase(entry);
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
        } else if (const auto *crash = std::get_if<CrashEffect>(&effect)) {
            logEvent(Event::CrashCharged,
                     {{"service", unit.service},
                      {"target", crash->target},
                      {"fingerprint", crash->fingerprint}});
            state.suspects.charge(crash->fingerprint, now);
        } else if (const auto *clear = std::get_if<ClearSuspectEffect>(&effect)) {
            state.suspects.clear(clear->fingerprint, now);
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
        unit.waiting[{message.request.holder, message.request.sequence}] = std::move(callback);
        BrokerEffects effects;
        unit.broker->request(message.request,
                             state.suspects.verdict(message.request.fingerprint, now), now,
                             randomNumber(), effects);
        applyEffects(state, unit, effects, now, answers);
    });
    give(answers);
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
    give(answers);
}

void BrokerService::cancel(UnitId unit, const HolderId &holder, std::uint64_t sequence)
{
    withBroker(unit, [&](Unit &entry, TimePoint now, BrokerEffects &effects) {
        entry.waiting.erase({holder, sequence});
        entry.broker->cancel(holder, sequence, now, randomNumber(), effects);
    });
}

void BrokerService::release(const GrantRelease &message)
{
    withBroker(message.unit, [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
        unit.broker->release(message.holder, message.id, message.result, message.serviceTime, now,
                             randomNumber(), effects);
    });
    // A lost connection is a crash only if the target is gone or has restarted; find out at once.
    if (message.result == GrantResult::ConnectionLost)
        instance_.workers->post([this] { probeTargets(); });
}

void BrokerService::heldReport(const GrantsHeld &report)
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

void BrokerService::askForReports()
{
    struct Question
    {
        RebuildRequest request;
        std::vector<HolderId> holders;
    };
    std::vector<Question> questions;
    state_.use([&](State &state) {
        for (const auto &[id, unit] : state.units) {
            if (unit.broker && unit.rebuilding)
                questions.push_back({{id, unit.broker->epoch()}, unit.broker->unreported()});
        }
    });
    if (questions.empty())
        return;
    std::map<HolderId, std::string> addresses;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now()))
            addresses[holderIdOf(member.record.incarnation)] = member.record.peerAddress;
    });
    for (const auto &question : questions) {
        for (const auto &holder : question.holders) {
            if (holder == instance_.holderId) {
                heldReport(instance_.grants.use([&](GrantHolder &grants) {
                    return grants.answerRebuild(question.request, Clock::now());
                }));
            } else if (const auto address = addresses.find(holder); address != addresses.end()) {
                instance_.peers->call(
                        address->second, "grants-rebuild", encode(question.request),
                        internal::peerTimeout, [this](Result<std::string, PeerError> reply) {
                            if (!isOk(reply))
                                return;
                            if (auto held = decodeGrantsHeld(value(reply)); isOk(held))
                                instance_.workers->post(
                                        [this, list = value(held)] { heldReport(list); });
                        });
            }
        }
        const auto leased = state_.use([](State &state) { return state.leasedIncarnations; });
        for (const auto &holder : question.holders) {
            if (!leased.contains(formatIncarnation(holder.high, holder.low))
                && holder != instance_.holderId)
                withBroker(question.request.unit,
                           [&](Unit &unit, TimePoint now, BrokerEffects &effects) {
                               unit.broker->holderGone(holder, now, randomNumber(), effects);
                           });
        }
    }
}

std::shared_ptr<const BrokerService::RemoteBrokers> BrokerService::remoteBrokers(TimePoint now)
{
    auto current = remote_.load();
    if (current && now - current->madeAt < internal::remoteBrokersAge)
        return current;
    auto next = std::make_shared<RemoteBrokers>();
    next->madeAt = now;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(now)) {
            if (member.record.id == instance_.settings.instanceId
                || member.status == MemberStatus::Gone || member.status == MemberStatus::Silent)
                continue;
            for (const auto &held : member.record.brokers) {
                auto &entry = next->units[unitIdOf(held.service, held.region)];
                if (held.epoch > entry.first)
                    entry = {held.epoch, member.record.peerAddress};
            }
        }
    });
    remote_.store(next);
    return next;
}

std::optional<BrokerService::Location> BrokerService::locate(const std::string &service,
                                                             const std::string &region)
{
    const auto id = unitIdOf(service, region);
    const auto remote = remoteBrokers(Clock::now());
    const auto other = remote->units.find(id);
    const std::uint64_t otherEpoch = other == remote->units.end() ? 0 : other->second.first;
    const bool local = state_.use([&](State &state) {
        const auto entry = state.units.find(id);
        return entry != state.units.end() && entry->second.broker
                && entry->second.broker->epoch() >= otherEpoch;
    });
    if (local)
        return Location{.local = true, .peerAddress = {}};
    if (otherEpoch == 0)
        return std::nullopt;
    return Location{.local = false, .peerAddress = other->second.second};
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

void BrokerService::giveUpAll(std::function<void()> done)
{
    // Deciding with "leaving" set writes every held role; it is enough to see that none is left.
    decideRoles();
    const bool any = state_.use([](State &state) {
        for (const auto &[id, unit] : state.units) {
            if (unit.broker || unit.writing)
                return true;
        }
        return false;
    });
    if (any)
        instance_.workers->after(internal::rebuildInterval,
                                 [this, done = std::move(done)] { giveUpAll(done); });
    else
        done();
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
                    onProbe(unit, id, result);
                });
            });
}

void BrokerService::onProbe(UnitId unit, TargetId target,
                            const Result<HttpResponse, HttpError> &result)
{
    if (!isOk(result) && error(result).failure == HttpFailure::ConnectFailed) {
        withBroker(unit, [&](Unit &entry, TimePoint now, BrokerEffects &effects) {
            entry.broker->probeRefused(target, now, effects);
        });
        return;
    }
    if (!isOk(result) || value(result).status != 200)
        return; // silence says nothing about the load
    TargetReport report{.target = target, .age = Milliseconds(0)};
    const auto body = nlohmann::json::parse(value(result).body, nullptr, false);
    if (body.is_object()) {
        if (const auto load = body.find("load"); load != body.end() && load->is_number())
            report.load = load->get<double>();
        if (const auto leaving = body.find("leaving");
            leaving != body.end() && leaving->is_boolean())
            report.leaving = leaving->get<bool>();
        if (const auto age = body.find("age-ms"); age != body.end() && age->is_number_unsigned())
            report.age = Milliseconds(age->get<std::uint32_t>());
    }
    if (const auto *id = findHeader(value(result).headers, "Vane-Start-Id"))
        report.startId = hash64(*id);
    withBroker(unit, [&](Unit &entry, TimePoint now, BrokerEffects &effects) {
        entry.reported[target] = {report.startId, report.leaving};
        entry.broker->targetReport(report, now, randomNumber(), effects);
    });
}

} // namespace chestnutvane
