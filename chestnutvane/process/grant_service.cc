#include "chestnutvane/process/grant_service.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds brokerRetryInterval{50};
constexpr Milliseconds releaseTimeout{1000};
// Lists of a unit are still sent for this long after its last use: ten lists at the usual heartbeat
// period, which also covers a change of the unit's broker in the meantime.
constexpr Milliseconds idleListTime{2000};
// A target detects the closed connection of a cancelled or timed-out request after the latency of a
// link between regions (up to 55 ms) and must then stop, so the slot is held for longer than that.
constexpr Milliseconds cancelReleaseDelay{250};
// Added to the queue limit, within which a broker answers, to allow for the network round trip.
constexpr Milliseconds roundTripMargin{500};

} // namespace
} // namespace internal

struct GrantService::PendingRequest
{
    GrantRequestSpec wish;
    std::function<void(GrantReply)> callback;
    TimePoint startedAt;
    UnitId unit = 0;
    std::uint64_t sequence = 0; // of the current attempt
};

GrantService::GrantService(Instance &instance, BrokerService &brokers)
    : instance_(instance), brokers_(brokers)
{ }

void GrantService::requestGrant(GrantRequestSpec wish, std::function<void(GrantReply)> callback)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->unit = unitIdOf(wish.service, wish.region);
    pending->wish = std::move(wish);
    pending->callback = std::move(callback);
    pending->startedAt = Clock::now();
    sendRequest(pending);
}

void GrantService::sendRequest(const std::shared_ptr<PendingRequest> &pending)
{
    const auto now = Clock::now();
    if (now >= pending->wish.deadline) {
        pending->callback(Reason::DeadlineExceeded);
        return;
    }
    const auto location = brokers_.findBroker(pending->wish.service, pending->wish.region);
    if (!location) {
        recordBrokerContact(*pending, false);
        scheduleRetry(pending);
        return;
    }
    const Duration remaining = pending->wish.deadline - now;
    GrantRequestMessage message{.unit = pending->unit,
                                .request = {.holder = instance_.holderId,
                                            .importance = pending->wish.importance,
                                            .queueLimit = pending->wish.queueLimit,
                                            .remaining = remaining,
                                            .fingerprint = pending->wish.fingerprint,
                                            .tried = pending->wish.tried}};
    pending->sequence = instance_.grants.use([&](GrantHolder &grants) {
        return grants.startRequest(pending->unit, pending->wish.fingerprint, now, remaining);
    });
    message.request.sequence = pending->sequence;
    recordUse(pending->wish.service, pending->wish.region);
    if (location->local) {
        brokers_.request(message,
                         [this, pending](GrantAnswer answer) { onAnswer(pending, answer); });
        return;
    }
    const auto timeout =
            std::min(std::chrono::duration_cast<Milliseconds>(remaining) + Milliseconds(1),
                     std::chrono::duration_cast<Milliseconds>(pending->wish.queueLimit)
                             + internal::roundTripMargin);
    instance_.peers->call(location->peerAddress, "grant-request", encode(message), timeout,
                          [this, pending](Result<std::string, PeerError> reply) {
                              if (isOk(reply)) {
                                  if (auto answer = decodeGrantAnswer(value(reply)); isOk(answer)) {
                                      onAnswer(pending, value(answer));
                                      return;
                                  }
                              }
                              instance_.grants.use([&](GrantHolder &grants) {
                                  grants.abandon(pending->sequence);
                              });
                              recordBrokerContact(*pending, false);
                              scheduleRetry(pending);
                          });
}

void GrantService::scheduleRetry(const std::shared_ptr<PendingRequest> &pending)
{
    const auto now = Clock::now();
    const bool waitIsShort =
            pending->wish.brokerWait && *pending->wish.brokerWait < pending->wish.queueLimit;
    const auto since = waitIsShort ? std::min(pending->startedAt, unreachableSince(pending->unit))
                                   : pending->startedAt;
    if (now - since >= pending->wish.brokerWait.value_or(pending->wish.queueLimit)) {
        pending->callback(Reason::BrokerUnreachable);
        return;
    }
    instance_.workers->after(internal::brokerRetryInterval,
                             [this, pending] { sendRequest(pending); });
}

std::optional<HeldSlot> GrantService::heldSlot(const PendingRequest &pending,
                                               const GrantAnswer &answer, TimePoint endsAt)
{
    const auto version = instance_.version();
    const auto target = version->targets.find(answer.target);
    if (target == version->targets.end())
        return std::nullopt;
    return HeldSlot{.unit = pending.unit,
                    .id = answer.id,
                    .target = answer.target,
                    .targetName = target->second.name,
                    .targetAddress = target->second.address,
                    .endsAt = endsAt};
}

void GrantService::onAnswer(const std::shared_ptr<PendingRequest> &pending,
                            const GrantAnswer &answer)
{
    recordBrokerContact(*pending, answer.reason != Reason::BrokerUnreachable);
    if (answer.reason != Reason::None) {
        instance_.grants.use([&](GrantHolder &grants) { grants.abandon(pending->sequence); });
        if (answer.reason == Reason::BrokerUnreachable)
            scheduleRetry(pending);
        else
            pending->callback(answer.reason);
        return;
    }
    const auto acceptance = instance_.grants.use(
            [&](GrantHolder &grants) { return grants.accept(answer, Clock::now()); });
    const GrantRelease unused{.unit = pending->unit, .holder = instance_.holderId, .id = answer.id};
    switch (acceptance.verdict) {
    case GrantVerdict::Accepted:
        break;
    case GrantVerdict::OldEpoch:
        scheduleRetry(pending);
        return;
    case GrantVerdict::NotWaiting:
    case GrantVerdict::Expired:
        sendRelease(pending->wish.service, pending->wish.region, unused);
        pending->callback(Reason::DeadlineExceeded);
        return;
    }
    if (auto slot = heldSlot(*pending, answer, acceptance.endsAt)) {
        pending->callback(std::move(*slot));
        return;
    }
    // The broker has a newer revision with a target that this instance does not know yet.
    instance_.grants.use([&](GrantHolder &grants) { grants.finish(answer.id, pending->unit); });
    sendRelease(pending->wish.service, pending->wish.region, unused);
    scheduleRetry(pending);
}

void GrantService::release(const HeldSlot &slot, GrantResult result, Duration serviceTime)
{
    if (result == GrantResult::Cancelled || result == GrantResult::TimedOut)
        instance_.workers->after(internal::cancelReleaseDelay, [this, slot, result, serviceTime] {
            finishRelease(slot, result, serviceTime);
        });
    else
        finishRelease(slot, result, serviceTime);
}

void GrantService::finishRelease(const HeldSlot &slot, GrantResult result, Duration serviceTime)
{
    const bool held = instance_.grants.use(
            [&](GrantHolder &grants) { return grants.finish(slot.id, slot.unit); });
    if (!held)
        return;
    const auto version = instance_.version();
    const auto target = version->targets.find(slot.target);
    if (target == version->targets.end())
        return; // the broker learns from the list of held grants that the grant has ended
    sendRelease(target->second.service, regionOfZone(*version, target->second.zone),
                {.unit = slot.unit,
                 .holder = instance_.holderId,
                 .id = slot.id,
                 .result = result,
                 .serviceTime = serviceTime});
}

void GrantService::sendRelease(const std::string &service, const std::string &region,
                               const GrantRelease &message)
{
    recordUse(service, region);
    const auto location = brokers_.findBroker(service, region);
    if (!location)
        return;
    if (location->local)
        brokers_.release(message);
    else
        instance_.peers->call(location->peerAddress, "grant-release", encode(message),
                              internal::releaseTimeout, [](Result<std::string, PeerError>) {});
}

void GrantService::recordBrokerContact(const PendingRequest &pending, bool answered)
{
    const std::lock_guard lock(usedUnitsMutex_);
    if (answered)
        unreachableSince_.erase(pending.unit);
    else
        unreachableSince_.emplace(pending.unit, Clock::now());
}

TimePoint GrantService::unreachableSince(UnitId unit)
{
    const std::lock_guard lock(usedUnitsMutex_);
    const auto lost = unreachableSince_.find(unit);
    return lost == unreachableSince_.end() ? TimePoint::max() : lost->second;
}

void GrantService::recordUse(const std::string &service, const std::string &region)
{
    const std::lock_guard lock(usedUnitsMutex_);
    usedUnits_[unitIdOf(service, region)] = {service, region, Clock::now()};
}

void GrantService::sendHeldLists()
{
    const auto now = Clock::now();
    std::map<UnitId, UsedUnit> units;
    {
        const std::lock_guard lock(usedUnitsMutex_);
        units = usedUnits_;
    }
    for (const auto &[id, unit] : units) {
        const auto list = instance_.grants.use(
                [&, unitId = id](GrantHolder &grants) { return grants.heldList(unitId, now); });
        if (list.held.empty() && list.waiting.empty()
            && now - unit.lastUse > internal::idleListTime) {
            const std::lock_guard lock(usedUnitsMutex_);
            if (usedUnits_[id].lastUse == unit.lastUse)
                usedUnits_.erase(id);
            continue;
        }
        const auto location = brokers_.findBroker(unit.service, unit.region);
        if (!location)
            continue;
        if (location->local)
            brokers_.applyHeldList(list);
        else
            instance_.peers->call(location->peerAddress, "grants-held", encode(list),
                                  internal::releaseTimeout, [](Result<std::string, PeerError>) {});
    }
}

} // namespace chestnutvane
