// The part of BrokerService that acquires and relinquishes roles and locates the brokers on other
// instances.

#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view rolePrefix = "broker/";
constexpr std::string_view leasePrefix = "instance/";
// Delay after a failed watch, so that retries don't overload the store during an outage.
constexpr Milliseconds watchRetryDelay{500};
constexpr Milliseconds relinquishPollInterval{200};
// The snapshot of remote brokers is reused for this long, because copying all members for each
// request is too slow.
constexpr Milliseconds remoteBrokersMaxAge{20};

std::string roleKey(const std::string &service, const std::string &region)
{
    return std::string(rolePrefix) + service + "/" + region;
}

bool isResponsive(MemberStatus status)
{
    return status == MemberStatus::Joining || status == MemberStatus::Serving
            || status == MemberStatus::Leaving;
}

// Returns the longest deadline of the service's classes, which bounds the validity of its grants.
Duration longestDeadline(const Version &version, const std::string &service)
{
    Duration longest{};
    for (const auto &requestClass : version.rules.classes) {
        if (requestClass.service == service)
            longest = std::max<Duration>(longest, requestClass.deadline);
    }
    return longest == Duration::zero() ? Duration(maxGrantTime)
                                       : std::min<Duration>(longest, maxGrantTime);
}

} // namespace
} // namespace internal

void BrokerService::watchRoles(std::optional<std::uint64_t> afterVersion)
{
    instance_.watchStore(
            std::string(internal::rolePrefix), afterVersion,
            [this, afterVersion](Result<WatchResult, StoreError> result) {
                if (!isOk(result)) {
                    instance_.workers->after(internal::watchRetryDelay,
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
                             if (!isOk(result)) {
                                 instance_.workers->after(
                                         internal::watchRetryDelay,
                                         [this, afterVersion] { watchLeases(afterVersion); });
                                 return;
                             }
                             applyLeases(value(result).entries);
                             instance_.workers->post(
                                     [this, next = value(result).version] { watchLeases(next); });
                         });
}

void BrokerService::applyLeases(const std::vector<StoreEntry> &entries)
{
    std::set<std::string> leased;
    for (const auto &entry : entries)
        leased.insert(entry.value);
    const auto now = Clock::now();
    Answers answers;
    state_.use([&](State &state) {
        for (const auto &incarnation : state.leasedIncarnations) {
            if (leased.contains(incarnation))
                continue;
            // The grants of a dead holder expire. A holder that is still alive sends its list
            // again.
            for (auto &[id, unit] : state.units) {
                if (!unit.broker)
                    continue;
                BrokerEffects effects;
                unit.broker->holderDied(holderIdOf(incarnation), now, randomNumber(), effects);
                applyEffects(state, unit, effects, now, answers);
            }
        }
        state.leasesKnown = true;
        state.leasedIncarnations = std::move(leased);
    });
    deliverAnswers(answers);
}

std::vector<HolderId> BrokerService::possibleHolders(const State &state,
                                                     const KnownMembers &knownMembers)
{
    auto holders = knownMembers.holders;
    for (const auto &incarnation : state.leasedIncarnations) {
        if (const auto holder = holderIdOf(incarnation); !knownMembers.all.contains(holder))
            holders.insert(holder);
    }
    return {holders.begin(), holders.end()};
}

BrokerService::MembershipSnapshot BrokerService::snapshotMembership(const Version &version,
                                                                    TimePoint now)
{
    MembershipSnapshot snapshot;
    snapshot.region = regionOfZone(version, instance_.settings.zone);
    instance_.membership.use([&](MembershipState &state) {
        snapshot.input = {.selfId = instance_.settings.instanceId,
                          .selfIncarnation = instance_.holderId,
                          .selfLeaving = state.leaving,
                          .storeReachable = state.store.reachable,
                          .storeReachableSince = state.store.reachableSince,
                          .leaseRenewalStart = state.store.renewalStart,
                          .leaseEverHeld = state.store.leaseEverHeld,
                          .leaseLost = state.store.leaseLost,
                          .contacts = contactView(state, now),
                          .isolated = state.isolated};
        for (const auto &member : state.table.members(now)) {
            const bool self = member.record.id == instance_.settings.instanceId;
            const auto incarnation = holderIdOf(member.record.incarnation);
            const bool ownRegion = regionOfZone(version, member.record.zone) == snapshot.region;
            snapshot.knownMembers.all.insert(incarnation);
            if (ownRegion || internal::isResponsive(member.status))
                snapshot.knownMembers.holders.insert(incarnation);
            if (!ownRegion)
                continue;
            snapshot.members.push_back(
                    {.instanceId = member.record.id,
                     .incarnation = incarnation,
                     .live = self || member.status == MemberStatus::Serving,
                     .leaving = self ? state.leaving : member.status == MemberStatus::Leaving});
        }
    });
    return snapshot;
}

void BrokerService::decideRoles()
{
    const auto version = instance_.version();
    if (!version)
        return;
    const auto now = Clock::now();
    const auto snapshot = snapshotMembership(*version, now);
    RoleEffects effects;
    state_.use([&](State &state) {
        if (state.suspectsRegion != snapshot.region) {
            state.suspectsRegion = snapshot.region;
            state.suspects = CrashSuspects(instance_.holderId, snapshot.region);
        }
        for (const auto &service : version->rules.services)
            decideUnit(state, *version, service.name, snapshot, now, effects);
        state.suspects.expire(now);
    });
    if (!effects.hasBroker)
        instance_.membership.use([](MembershipState &state) { state.store.leaseLost = false; });
    deliverAnswers(effects.answers);
    if (effects.opened)
        requestHeldLists(); // a new broker issues no grants until all holders have reported
    for (auto &write : effects.writes)
        writeRole(std::move(write));
}

void BrokerService::decideUnit(State &state, const Version &version, const std::string &service,
                               const MembershipSnapshot &snapshot, TimePoint now,
                               RoleEffects &effects)
{
    const auto id = unitIdOf(service, snapshot.region);
    if (!state.units.contains(id) && targetsOfUnit(version, service, snapshot.region).empty())
        return;
    auto &unit = state.units[id];
    unit.service = service;
    unit.region = snapshot.region;
    if (state.rolesKnown) {
        const auto entry = state.entries.find(internal::roleKey(service, snapshot.region));
        unit.entry = entry == state.entries.end() ? RoleEntry{} : entry->second;
    }
    const bool held = unit.broker.has_value();
    decideRole(state, unit, version, snapshot, now, effects);
    if (!unit.broker)
        return;
    effects.opened |= !held;
    effects.hasBroker = true;
    refreshTargets(state, unit, version, now, effects.answers);
}

bool BrokerService::isHolderLeaseEnded(const State &state, const Unit &unit)
{
    if (!unit.entry || !state.leasesKnown)
        return false;
    const auto &holder = unit.entry->record.incarnation;
    return !state.leasedIncarnations.contains(formatIncarnation(holder.high, holder.low));
}

void BrokerService::decideRole(State &state, Unit &unit, const Version &version,
                               const MembershipSnapshot &snapshot, TimePoint now,
                               RoleEffects &effects)
{
    RoleInput input = snapshot.input;
    input.members = snapshot.members;
    input.unit = unitIdOf(unit.service, unit.region);
    input.entry = unit.entry;
    input.holderLeaseEnded = isHolderLeaseEnded(state, unit);
    const bool isFree = unit.entry && isRoleFree(*unit.entry, input.holderLeaseEnded);
    if (!isFree)
        unit.freeSince.reset();
    else if (!unit.freeSince)
        unit.freeSince = now;
    input.freeSince = unit.freeSince.value_or(now);
    const auto decision = decideBrokerRole(input, now);
    if (decision.action == RoleAction::Keep) {
        if (!unit.broker)
            openBroker(state, unit, version, decision,
                       possibleHolders(state, snapshot.knownMembers), now, effects.answers);
        unit.broker->allowGrantsUntil(decision.grantUntil);
        return;
    }
    if (decision.action != RoleAction::Acquire)
        closeBroker(unit, effects.answers);
    if (decision.action == RoleAction::None || unit.writePending)
        return;
    unit.writePending = true;
    effects.writes.push_back({.key = internal::roleKey(unit.service, unit.region),
                              .expectedVersion = decision.expectedVersion,
                              .value = encode(decision.record)});
}

void BrokerService::writeRole(CompareAndSwap write)
{
    const auto key = write.key;
    const auto text = write.value;
    instance_.store.compareAndSwap(
            std::move(write), [this, key, text](Result<std::uint64_t, StoreError> result) {
                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                state_.use([&](State &state) {
                    for (auto &[id, unit] : state.units) {
                        if (internal::roleKey(unit.service, unit.region) != key)
                            continue;
                        unit.writePending = false;
                        // Don't overwrite a newer version that the watch has delivered already.
                        if (isOk(result) && state.entries[key].version < value(result))
                            state.entries[key] = {value(result), value(decodeBrokerRecord(text))};
                    }
                });
                // A failed write is retried by the periodic task, not at once, so that retries
                // don't overload the store during an outage.
                if (isOk(result))
                    instance_.workers->post([this] { decideRoles(); });
                else
                    logEvent(Event::RoleWriteFailed,
                             {{"key", key},
                              {"failure", enumName(storeFailureNames, error(result).failure)}});
            });
}

void BrokerService::openBroker(State &state, Unit &unit, const Version &version,
                               const RoleDecision &decision, std::span<const HolderId> holders,
                               TimePoint now, Answers &answers)
{
    unit.broker = SlotBroker(decision.record.epoch,
                             {.longestGrantTime = internal::longestDeadline(version, unit.service),
                              .warmStart = decision.record.epoch > 1});
    unit.rebuilding = true;
    unit.targetsRevision = 0;
    refreshTargets(state, unit, version, now, answers);
    BrokerEffects effects;
    unit.broker->startRebuild(holders, now, randomNumber(), effects);
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
    for (auto &[key, callback] : unit.answerCallbacks)
        answers.emplace_back(std::move(callback),
                             GrantAnswer{.unit = unitIdOf(unit.service, unit.region),
                                         .sequence = key.second,
                                         .reason = Reason::BrokerUnreachable});
    unit.answerCallbacks.clear();
    unit.broker.reset();
}

void BrokerService::relinquishRoles(std::function<void()> done)
{
    // While the instance is marked as leaving, decideRoles() relinquishes every role it holds, so
    // it suffices to poll until none is left.
    decideRoles();
    const bool any = state_.use([](State &state) {
        for (const auto &[id, unit] : state.units) {
            if (unit.broker || unit.writePending)
                return true;
        }
        return false;
    });
    if (any)
        instance_.workers->after(internal::relinquishPollInterval,
                                 [this, done = std::move(done)] { relinquishRoles(done); });
    else
        done();
}

std::shared_ptr<const BrokerService::RemoteBrokers> BrokerService::remoteBrokers(TimePoint now)
{
    auto current = remote_.load();
    if (current && now - current->builtAt < internal::remoteBrokersMaxAge)
        return current;
    auto next = std::make_shared<RemoteBrokers>();
    next->builtAt = now;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(now)) {
            if (member.record.id == instance_.settings.instanceId
                || member.status == MemberStatus::Expired || member.status == MemberStatus::Silent)
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

std::optional<BrokerService::Location> BrokerService::findBroker(const std::string &service,
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

} // namespace chestnutvane
