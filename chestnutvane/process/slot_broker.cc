#include "chestnutvane/process/slot_broker.h"

#include "chestnutvane/process/slot_broker_state.h"

namespace chestnutvane {
namespace {

// Bounds the weight of the mean service time, in measurements. With 64 the mean varied by 9% for
// exponential service times, which caused late refusals.
constexpr double maxServiceTimeSamples = 512;
// Bounds the list of dead holders. The list marks grants for requests that arrive after their
// holder died, so that tick() reclaims them.
constexpr std::size_t maxDeadHolders = 64;

// Changes the configured slots of a target. The limit follows unless load shedding or a cold start
// keeps it below the slots.
void resize(TargetSlots &target, int slots)
{
    const bool unrestricted = target.limit >= target.slots;
    target.unreportedSlots = std::max(
            0, target.unreportedSlots + (target.unreportedSlots > 0 ? slots - target.slots : 0));
    target.slots = slots;
    if (unrestricted && !target.cold)
        target.limit = slots;
}

} // namespace

SlotBroker::SlotBroker(std::uint64_t epoch, const BrokerSettings &settings)
    : state_(std::make_unique<State>(epoch, settings))
{ }

SlotBroker::~SlotBroker() = default;
SlotBroker::SlotBroker(SlotBroker &&) noexcept = default;
SlotBroker &SlotBroker::operator=(SlotBroker &&) noexcept = default;

std::uint64_t SlotBroker::epoch() const
{
    return state_->epoch;
}

void SlotBroker::startRebuild(std::span<const HolderId> holders, TimePoint now,
                              std::uint64_t random, BrokerEffects &effects)
{
    state_->rebuild.start(holders);
    if (!holders.empty()) {
        for (TargetSlots &target : state_->targets)
            target.unreportedSlots = target.slots;
    }
    state_->grantFreeSlots(now, random, effects);
}

std::vector<HolderId> SlotBroker::unreported() const
{
    return state_->rebuild.unreported();
}

void SlotBroker::allowGrantsUntil(TimePoint grantUntil)
{
    state_->grantUntil = grantUntil;
}

void SlotBroker::setTargets(std::span<const BrokerTarget> configured, TimePoint now,
                            std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    const bool startWarm = state.settings.warmStart && !state.targetsSet;
    state.targetsSet = true;
    for (TargetSlots &target : state.targets) {
        if (std::none_of(configured.begin(), configured.end(),
                         [&](const BrokerTarget &it) { return it.id == target.id; }))
            target.removed = true;
    }
    std::size_t slots = 0;
    for (const BrokerTarget &config : configured) {
        TargetSlots &target = state.targets[state.findOrAddTarget(config.id)];
        const int configuredSlots = std::max(1, config.slots);
        if (target.removed) {
            const int inUse = target.inUse;
            target.removed = false;
            target.leavingByReport = false;
            target.connectFailures = 0;
            target.slots = configuredSlots;
            target.lostFingerprints.reserve(2 * static_cast<std::size_t>(configuredSlots));
            startCold(target, now);
            if (startWarm) {
                target.cold = false;
                target.limit = configuredSlots;
            }
            target.unreportedSlots =
                    state.rebuild.active() ? std::max(0, configuredSlots - inUse) : 0;
        } else if (target.slots != configuredSlots) {
            resize(target, configuredSlots);
        }
        target.drained = config.drained;
        target.leavingByRules = config.leaving;
        slots += static_cast<std::size_t>(configuredSlots);
    }
    state.grants.reserve(slots);
    state.grantFreeSlots(now, random, effects);
}

void SlotBroker::targetReport(const TargetReport &report, TimePoint now, std::uint64_t random,
                              BrokerEffects &effects)
{
    State &state = *state_;
    const std::size_t index = state.findTarget(report.target);
    if (index == state.targets.size())
        return;
    TargetSlots &target = state.targets[index];
    state.chargeCrash(recordStartId(target, report.startId, now), index, 0, effects);
    target.leavingByReport = report.leaving;
    if (report.load >= 1 && report.age <= reportMaxAge)
        target.reportedFullAt = std::max(target.reportedFullAt, now - report.age);
    state.grantFreeSlots(now, random, effects);
}

void SlotBroker::probeRefused(TargetId target, TimePoint now, BrokerEffects &effects)
{
    State &state = *state_;
    if (const std::size_t index = state.findTarget(target); index < state.targets.size())
        state.chargeCrash(recordProbeRefusal(state.targets[index], now), index, 0, effects);
}

void SlotBroker::request(const GrantRequest &request, SuspectVerdict verdict, TimePoint now,
                         std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    const RequestKey key{request.holder, request.sequence};
    if (state.activeRequests.contains(key))
        return;
    const auto refuse = [&](Reason reason) {
        effects.emplace_back(RefusalEffect{request.holder, request.sequence, reason});
    };
    if (verdict == SuspectVerdict::Refused)
        return refuse(Reason::CrashSuspect);
    if (request.remaining <= Duration::zero())
        return refuse(Reason::DeadlineExceeded);
    if (!state.rebuild.active()
        && std::none_of(state.targets.begin(), state.targets.end(), isUsable))
        return refuse(Reason::NoTarget);
    const int level = RequestQueue::levelOf(request);
    if (state.queue.size() >= state.settings.maxQueued) {
        const std::uint32_t last = state.queue.last();
        if (last == RequestQueue::none
            || RequestQueue::levelOf(state.queue.at(last).request) <= level)
            return refuse(Reason::Overloaded);
        state.refuse(last, Reason::Overloaded, effects);
    }

    QueuedRequest queued;
    queued.request = request;
    queued.arrivedAt = now;
    queued.endsAt = now + std::min<Duration>(request.remaining, maxGrantTime);
    queued.expiresAt = std::min(queued.endsAt, now + request.queueLimit + request.queueLimit / 4);
    queued.alone = verdict == SuspectVerdict::Exclusive;
    const std::uint32_t index = state.queue.push(queued);
    state.activeRequests.emplace(key, index);
    state.grantFreeSlots(now, random, effects);
    // grantFreeSlots() may have removed the request from the queue by a grant or a refusal.
    if (const auto found = state.activeRequests.find(key);
        found != state.activeRequests.end() && found->second != RequestQueue::none)
        state.enforceQueueLimits(index, now, effects);
    if (state.activeRequests.contains(key))
        state.recordArrival(level, now);
}

void SlotBroker::cancel(const HolderId &holder, std::uint64_t sequence, TimePoint now,
                        std::uint64_t random, BrokerEffects &effects)
{
    const auto found = state_->activeRequests.find({holder, sequence});
    if (found == state_->activeRequests.end() || found->second == RequestQueue::none)
        return;
    const std::uint32_t index = found->second;
    state_->activeRequests.erase(found);
    state_->removeFromQueue(index);
    state_->grantFreeSlots(now, random, effects); // the request may have had a target reserved
}

void SlotBroker::release(const HolderId &holder, const GrantId &id, GrantResult result,
                         Duration serviceTime, TimePoint now, std::uint64_t random,
                         BrokerEffects &effects)
{
    State &state = *state_;
    GrantEntry *grant = state.grants.find(id, state.epoch);
    if (grant == nullptr || grant->holder != holder)
        return;
    const std::size_t index = grant->targetIndex;
    const std::uint64_t fingerprint = grant->fingerprint;
    const CrashEvidence sign =
            recordOutcome(state.targets[index], result, fingerprint, grant->issuedAt, now);
    state.chargeCrash(sign, index, fingerprint, effects);
    if (result == GrantResult::Succeeded) {
        if (grant->alone)
            effects.emplace_back(ClearSuspectEffect{fingerprint});
        // The slot is in use from the grant to the release, including the messages' delays.
        const Duration slotTime = std::max(serviceTime, now - grant->issuedAt);
        const double ns = std::chrono::duration<double, std::nano>(slotTime).count();
        state.serviceTimeSamples = std::min(state.serviceTimeSamples + 1, maxServiceTimeSamples);
        state.meanServiceNs += (ns - state.meanServiceNs) / state.serviceTimeSamples;
    }
    state.anyTargetFailed = state.anyTargetFailed || hasFailed(state.targets[index]);
    state.endGrant(*grant);
    state.grantFreeSlots(now, random, effects);
}

void SlotBroker::heldReport(const GrantsHeld &report, TimePoint now, std::uint64_t random,
                            BrokerEffects &effects)
{
    State &state = *state_;
    if (report.epoch > state.epoch) {
        state.superseded = true; // holders reject grants of this epoch from now on
        return;
    }
    std::erase(state.deadHolders, report.holder);
    const bool awaited = report.epoch == state.epoch && state.rebuild.recordReport(report.holder);
    const std::uint64_t listMark = state.grants.nextListMark();
    for (const HeldGrant &held : report.held) {
        GrantEntry *grant = state.grants.find(held.id, state.epoch);
        if (grant == nullptr && held.id.epoch < state.epoch) {
            state.adopt(held, report.holder, awaited, now);
            grant = state.grants.find(held.id, state.epoch);
        }
        if (grant != nullptr && grant->holder == report.holder)
            grant->listMark = listMark;
    }
    state.reclaimMissingGrants(report, listMark, effects);
    state.endRebuildIfDone();
    state.grantFreeSlots(now, random, effects);
}

void SlotBroker::holderDied(const HolderId &holder, TimePoint now, std::uint64_t random,
                            BrokerEffects &effects)
{
    State &state = *state_;
    state.rebuild.markDead(holder, now + state.settings.longestGrantTime + grantEndMargin);
    if (!state.isDead(holder)) {
        if (state.deadHolders.size() >= maxDeadHolders)
            state.deadHolders.erase(state.deadHolders.begin());
        state.deadHolders.push_back(holder);
    }
    for (std::uint32_t index = state.queue.first(); index != RequestQueue::none;) {
        const std::uint32_t next = state.queue.after(index);
        const GrantRequest &request = state.queue.at(index).request;
        if (request.holder == holder) {
            state.activeRequests.erase({request.holder, request.sequence});
            state.removeFromQueue(index);
        }
        index = next;
    }
    for (GrantEntry &grant : state.grants.entries()) {
        if (grant.live && grant.holder == holder) {
            grant.holderGone = true;
            state.anyHolderDead = true;
        }
    }
    state.grantFreeSlots(now, random, effects);
}

void SlotBroker::tick(TimePoint now, std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    state.rebuild.expire(now);
    state.endRebuildIfDone();
    if (state.anyHolderDead) {
        state.anyHolderDead = false;
        for (GrantEntry &grant : state.grants.entries()) {
            if (!grant.live || !grant.holderGone)
                continue;
            if (now < grant.endsAt + grantEndMargin) {
                state.anyHolderDead = true;
                continue;
            }
            effects.emplace_back(
                    ReclaimEffect{grant.holder, grant.id, state.targets[grant.targetIndex].id});
            state.endGrant(grant);
        }
    }
    for (std::uint32_t index = state.queue.first(); index != RequestQueue::none;) {
        const std::uint32_t next = state.queue.after(index);
        const QueuedRequest &queued = state.queue.at(index);
        if (now >= queued.expiresAt)
            state.refuse(index,
                         now >= queued.endsAt ? Reason::DeadlineExceeded : Reason::Overloaded,
                         effects);
        index = next;
    }
    state.anyTargetFailed = std::any_of(state.targets.begin(), state.targets.end(), hasFailed);
    state.grantFreeSlots(now, random, effects);
}

double SlotBroker::headroom() const
{
    const BrokerStatus current = status();
    if (current.slots == 0)
        return 0;
    int freeTotal = -static_cast<int>(current.queued);
    for (const TargetSlots &target : state_->targets)
        freeTotal += freeSlots(target);
    return static_cast<double>(std::max(0, freeTotal)) / current.slots;
}

BrokerStatus SlotBroker::status() const
{
    BrokerStatus result;
    result.queued = state_->queue.size();
    for (const TargetSlots &target : state_->targets) {
        result.inUse += target.inUse + target.unreportedSlots;
        result.effectiveSlots += effectiveSlots(target);
        result.slots += target.removed ? 0 : target.slots;
    }
    result.rebuilding = state_->rebuild.active();
    result.meanServiceTime = std::chrono::duration_cast<Duration>(
            std::chrono::nanoseconds(static_cast<std::int64_t>(state_->meanServiceNs)));
    return result;
}

} // namespace chestnutvane
