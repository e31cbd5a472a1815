#include "chestnutvane/process/grant_service.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds brokerRetryInterval{50};
constexpr Milliseconds releaseTimeout{1000};
// Ten lists at the usual period; also covers a broker that was taken over in the meantime.
constexpr Milliseconds listedFor{2000};
// A target sees the close of a cancelled or timed out request up to one region link (55 ms) later
// and must then stop, so the slot is kept for longer than that.
constexpr Milliseconds cancelSettleTime{250};
// A broker answers within the queue limit; the rest is for the way there and back.
constexpr Milliseconds answerSlack{500};

} // namespace
} // namespace internal

struct GrantService::Ask
{
    GrantRequestSpec wish;
    std::function<void(GrantReply)> callback;
    TimePoint startedAt;
    UnitId unit = 0;
    std::uint64_t sequence = 0; // of the current try
};

GrantService::GrantService(Instance &instance, BrokerService &brokers)
    : instance_(instance), brokers_(brokers)
{ }

void GrantService::ask(GrantRequestSpec wish, std::function<void(GrantReply)> callback)
{
    auto ask = std::make_shared<Ask>();
    ask->unit = unitIdOf(wish.service, wish.region);
    ask->wish = std::move(wish);
    ask->callback = std::move(callback);
    ask->startedAt = Clock::now();
    tryBroker(ask);
}

void GrantService::tryBroker(const std::shared_ptr<Ask> &ask)
{
    const auto now = Clock::now();
    if (now >= ask->wish.deadline) {
        ask->callback(Reason::DeadlineExceeded);
        return;
    }
    const auto location = brokers_.locate(ask->wish.service, ask->wish.region);
    if (!location) {
        noteBroker(*ask, false);
        retryLater(ask);
        return;
    }
    const Duration remaining = ask->wish.deadline - now;
    GrantRequestMessage message{.unit = ask->unit,
                                .request = {.holder = instance_.holderId,
                                            .importance = ask->wish.importance,
                                            .queueLimit = ask->wish.queueLimit,
                                            .remaining = remaining,
                                            .fingerprint = ask->wish.fingerprint,
                                            .tried = ask->wish.tried}};
    ask->sequence = instance_.grants.use([&](GrantHolder &grants) {
        return grants.startRequest(ask->unit, ask->wish.fingerprint, now, remaining);
    });
    message.request.sequence = ask->sequence;
    noteUse(ask->wish.service, ask->wish.region);
    if (location->local) {
        brokers_.request(message, [this, ask](GrantAnswer answer) { onAnswer(ask, answer); });
        return;
    }
    const auto timeout = std::min(
            std::chrono::duration_cast<Milliseconds>(remaining) + Milliseconds(1),
            std::chrono::duration_cast<Milliseconds>(ask->wish.queueLimit) + internal::answerSlack);
    instance_.peers->call(location->peerAddress, "grant-request", encode(message), timeout,
                          [this, ask](Result<std::string, PeerError> reply) {
                              if (isOk(reply)) {
                                  if (auto answer = decodeGrantAnswer(value(reply)); isOk(answer)) {
                                      onAnswer(ask, value(answer));
                                      return;
                                  }
                              }
                              instance_.grants.use(
                                      [&](GrantHolder &grants) { grants.abandon(ask->sequence); });
                              noteBroker(*ask, false);
                              retryLater(ask);
                          });
}

void GrantService::retryLater(const std::shared_ptr<Ask> &ask)
{
    const auto now = Clock::now();
    const bool waitIsShort = ask->wish.brokerWait && *ask->wish.brokerWait < ask->wish.queueLimit;
    const auto since =
            waitIsShort ? std::min(ask->startedAt, brokerLostAt(ask->unit)) : ask->startedAt;
    if (now - since >= ask->wish.brokerWait.value_or(ask->wish.queueLimit)) {
        ask->callback(Reason::BrokerUnreachable);
        return;
    }
    instance_.workers->after(internal::brokerRetryInterval, [this, ask] { tryBroker(ask); });
}

std::optional<HeldSlot> GrantService::heldSlot(const Ask &ask, const GrantAnswer &answer,
                                               TimePoint endsAt)
{
    const auto version = instance_.version();
    const auto target = version->targets.find(answer.target);
    if (target == version->targets.end())
        return std::nullopt;
    return HeldSlot{.unit = ask.unit,
                    .id = answer.id,
                    .target = answer.target,
                    .targetName = target->second.name,
                    .targetAddress = target->second.address,
                    .endsAt = endsAt};
}

void GrantService::onAnswer(const std::shared_ptr<Ask> &ask, const GrantAnswer &answer)
{
    noteBroker(*ask, answer.reason != Reason::BrokerUnreachable);
    if (answer.reason != Reason::None) {
        instance_.grants.use([&](GrantHolder &grants) { grants.abandon(ask->sequence); });
        if (answer.reason == Reason::BrokerUnreachable)
            retryLater(ask);
        else
            ask->callback(answer.reason);
        return;
    }
    const auto acceptance = instance_.grants.use(
            [&](GrantHolder &grants) { return grants.accept(answer, Clock::now()); });
    const GrantRelease unused{.unit = ask->unit, .holder = instance_.holderId, .id = answer.id};
    switch (acceptance.verdict) {
    case GrantVerdict::Accepted:
        break;
    case GrantVerdict::OldEpoch:
        retryLater(ask);
        return;
    case GrantVerdict::NotWaiting:
    case GrantVerdict::Expired:
        sendRelease(ask->wish.service, ask->wish.region, unused);
        ask->callback(Reason::DeadlineExceeded);
        return;
    }
    if (auto slot = heldSlot(*ask, answer, acceptance.endsAt)) {
        ask->callback(std::move(*slot));
        return;
    }
    // The broker has a newer revision with a target that is not known here yet.
    instance_.grants.use([&](GrantHolder &grants) { grants.finish(answer.id, ask->unit); });
    sendRelease(ask->wish.service, ask->wish.region, unused);
    retryLater(ask);
}

void GrantService::release(const HeldSlot &slot, GrantResult result, Duration serviceTime)
{
    if (result == GrantResult::Cancelled || result == GrantResult::TimedOut)
        instance_.workers->after(internal::cancelSettleTime, [this, slot, result, serviceTime] {
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
        return; // the list of held grants tells the broker
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
    noteUse(service, region);
    const auto location = brokers_.locate(service, region);
    if (!location)
        return;
    if (location->local)
        brokers_.release(message);
    else
        instance_.peers->call(location->peerAddress, "grant-release", encode(message),
                              internal::releaseTimeout, [](Result<std::string, PeerError>) {});
}

void GrantService::noteBroker(const Ask &ask, bool answered)
{
    const std::lock_guard lock(usedMutex_);
    if (answered)
        brokerLostAt_.erase(ask.unit);
    else
        brokerLostAt_.emplace(ask.unit, Clock::now());
}

TimePoint GrantService::brokerLostAt(UnitId unit)
{
    const std::lock_guard lock(usedMutex_);
    const auto lost = brokerLostAt_.find(unit);
    return lost == brokerLostAt_.end() ? TimePoint::max() : lost->second;
}

void GrantService::noteUse(const std::string &service, const std::string &region)
{
    const std::lock_guard lock(usedMutex_);
    used_[unitIdOf(service, region)] = {service, region, Clock::now()};
}

void GrantService::sendHeldLists()
{
    const auto now = Clock::now();
    std::map<UnitId, UsedUnit> units;
    {
        const std::lock_guard lock(usedMutex_);
        units = used_;
    }
    for (const auto &[id, unit] : units) {
        const auto list = instance_.grants.use(
                [&, unitId = id](GrantHolder &grants) { return grants.heldList(unitId, now); });
        if (list.held.empty() && list.waiting.empty() && now - unit.lastUse > internal::listedFor) {
            const std::lock_guard lock(usedMutex_);
            if (used_[id].lastUse == unit.lastUse)
                used_.erase(id);
            continue;
        }
        const auto location = brokers_.locate(unit.service, unit.region);
        if (!location)
            continue;
        if (location->local)
            brokers_.heldReport(list);
        else
            instance_.peers->call(location->peerAddress, "grants-held", encode(list),
                                  internal::releaseTimeout, [](Result<std::string, PeerError>) {});
    }
}

} // namespace chestnutvane
