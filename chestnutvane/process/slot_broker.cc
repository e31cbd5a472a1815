#include "chestnutvane/process/slot_broker.h"

#include "chestnutvane/process/slot_broker_state.h"

namespace chestnutvane {
namespace {

// Measurements over which the mean service time is taken. With 64 it varied by 9% for exponential
// service times, which showed as late refusals.
constexpr double serviceTimeCount = 512;
// Dead holders that are remembered, so that a grant for a late request of theirs is reclaimed.
constexpr std::size_t maxGone = 64;

void resize(TargetSlots &target, int slots)
{
    const bool full = target.limit >= target.slots;
    target.unreportedSlots = std::max(
            0, target.unreportedSlots + (target.unreportedSlots > 0 ? slots - target.slots : 0));
    target.slots = slots;
    if (full && !target.cold)
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
    state_->serve(now, random, effects);
}

std::vector<HolderId> SlotBroker::unreported() const
{
    return state_->rebuild.unreported();
}

void SlotBroker::setAuthority(TimePoint grantUntil)
{
    state_->grantUntil = grantUntil;
}

void SlotBroker::setTargets(std::span<const BrokerTarget> wanted, TimePoint now,
                            std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    const bool warm = state.settings.warmStart && !state.targetsSet;
    state.targetsSet = true;
    for (TargetSlots &target : state.targets) {
        if (std::none_of(wanted.begin(), wanted.end(),
                         [&](const BrokerTarget &it) { return it.id == target.id; }))
            target.removed = true;
    }
    std::size_t slots = 0;
    for (const BrokerTarget &want : wanted) {
        TargetSlots &target = state.targets[state.findOrAddTarget(want.id)];
        const int wantedSlots = std::max(1, want.slots);
        if (target.removed) {
            const int inUse = target.inUse;
            target.removed = false;
            target.leavingByReport = false;
            target.connectFailures = 0;
            target.slots = wantedSlots;
            target.lostFingerprints.reserve(2 * static_cast<std::size_t>(wantedSlots));
            startCold(target, now);
            if (warm) {
                target.cold = false;
                target.limit = wantedSlots;
            }
            target.unreportedSlots = state.rebuild.active() ? std::max(0, wantedSlots - inUse) : 0;
        } else if (target.slots != wantedSlots) {
            resize(target, wantedSlots);
        }
        target.drained = want.drained;
        target.leavingByRules = want.leaving;
        slots += static_cast<std::size_t>(wantedSlots);
    }
    state.grants.reserve(slots);
    state.serve(now, random, effects);
}

void SlotBroker::targetReport(const TargetReport &report, TimePoint now, std::uint64_t random,
                              BrokerEffects &effects)
{
    State &state = *state_;
    const std::size_t index = state.findTarget(report.target);
    if (index == state.targets.size())
        return;
    TargetSlots &target = state.targets[index];
    state.reportCrash(recordStartId(target, report.startId, now), index, 0, effects);
    target.leavingByReport = report.leaving;
    if (report.load >= 1 && report.age <= reportMaxAge)
        target.reportedFullAt = std::max(target.reportedFullAt, now - report.age);
    state.serve(now, random, effects);
}

void SlotBroker::probeRefused(TargetId target, TimePoint now, BrokerEffects &effects)
{
    State &state = *state_;
    if (const std::size_t index = state.findTarget(target); index < state.targets.size())
        state.reportCrash(recordProbeRefusal(state.targets[index], now), index, 0, effects);
}

void SlotBroker::request(const GrantRequest &request, SuspectVerdict verdict, TimePoint now,
                         std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    const RequestKey key{request.holder, request.sequence};
    if (state.known.contains(key))
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
    queued.alone = verdict == SuspectVerdict::Alone;
    const std::uint32_t index = state.queue.push(queued);
    state.known.emplace(key, index);
    state.serve(now, random, effects);
    // A grant or an expiry above may have taken the request out of the queue.
    if (const auto found = state.known.find(key);
        found != state.known.end() && found->second != RequestQueue::none)
        state.limitQueue(index, now, effects);
    if (state.known.contains(key))
        state.noteArrival(level, now);
}

void SlotBroker::cancel(const HolderId &holder, std::uint64_t sequence, TimePoint now,
                        std::uint64_t random, BrokerEffects &effects)
{
    const auto found = state_->known.find({holder, sequence});
    if (found == state_->known.end() || found->second == RequestQueue::none)
        return;
    const std::uint32_t index = found->second;
    state_->known.erase(found);
    state_->dropQueued(index);
    state_->serve(now, random, effects); // a reserved target may have become free
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
    state.reportCrash(sign, index, fingerprint, effects);
    if (result == GrantResult::Succeeded) {
        if (grant->alone)
            effects.emplace_back(ClearSuspectEffect{fingerprint});
        // The slot is taken from the grant to the release, messages included.
        const Duration taken = std::max(serviceTime, now - grant->issuedAt);
        const double ns = std::chrono::duration<double, std::nano>(taken).count();
        state.measured = std::min(state.measured + 1, serviceTimeCount);
        state.meanServiceNs += (ns - state.meanServiceNs) / state.measured;
    }
    state.anyFailed = state.anyFailed || hasFailed(state.targets[index]);
    state.endGrant(*grant);
    state.serve(now, random, effects);
}

void SlotBroker::heldReport(const GrantsHeld &report, TimePoint now, std::uint64_t random,
                            BrokerEffects &effects)
{
    State &state = *state_;
    if (report.epoch > state.epoch) {
        state.deposed = true; // holders refuse the grants of this broker
        return;
    }
    std::erase(state.gone, report.holder);
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
    state.judgeMissing(report, listMark, effects);
    state.endRebuildIfDone();
    state.serve(now, random, effects);
}

void SlotBroker::holderGone(const HolderId &holder, TimePoint now, std::uint64_t random,
                            BrokerEffects &effects)
{
    State &state = *state_;
    state.rebuild.markDead(holder, now + state.settings.longestGrant + grantEndMargin);
    if (!state.isGone(holder)) {
        if (state.gone.size() >= maxGone)
            state.gone.erase(state.gone.begin());
        state.gone.push_back(holder);
    }
    for (std::uint32_t index = state.queue.first(); index != RequestQueue::none;) {
        const std::uint32_t following = state.queue.after(index);
        const GrantRequest &request = state.queue.at(index).request;
        if (request.holder == holder) {
            state.known.erase({request.holder, request.sequence});
            state.dropQueued(index);
        }
        index = following;
    }
    for (GrantEntry &grant : state.grants.entries()) {
        if (grant.live && grant.holder == holder) {
            grant.holderGone = true;
            state.anyGone = true;
        }
    }
    state.serve(now, random, effects);
}

void SlotBroker::tick(TimePoint now, std::uint64_t random, BrokerEffects &effects)
{
    State &state = *state_;
    state.rebuild.expire(now);
    state.endRebuildIfDone();
    if (state.anyGone) {
        state.anyGone = false;
        for (GrantEntry &grant : state.grants.entries()) {
            if (!grant.live || !grant.holderGone)
                continue;
            if (now < grant.endsAt + grantEndMargin) {
                state.anyGone = true;
                continue;
            }
            effects.emplace_back(
                    ReclaimEffect{grant.holder, grant.id, state.targets[grant.targetIndex].id});
            state.endGrant(grant);
        }
    }
    for (std::uint32_t index = state.queue.first(); index != RequestQueue::none;) {
        const std::uint32_t following = state.queue.after(index);
        const QueuedRequest &queued = state.queue.at(index);
        if (now >= queued.expiresAt)
            state.refuse(index,
                         now >= queued.endsAt ? Reason::DeadlineExceeded : Reason::Overloaded,
                         effects);
        index = following;
    }
    state.anyFailed = std::any_of(state.targets.begin(), state.targets.end(), hasFailed);
    state.serve(now, random, effects);
}

double SlotBroker::headroom() const
{
    const BrokerStatus now = status();
    if (now.slots == 0)
        return 0;
    int unused = -static_cast<int>(now.queued);
    for (const TargetSlots &target : state_->targets)
        unused += freeSlots(target);
    return static_cast<double>(std::max(0, unused)) / now.slots;
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
