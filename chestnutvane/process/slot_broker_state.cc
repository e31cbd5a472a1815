#include "chestnutvane/process/slot_broker_state.h"

#include <cmath>

namespace chestnutvane {
namespace {

// Queued requests that are looked at for one free slot when the first ones cannot use it.
constexpr int scanLimit = 16;

std::uint64_t nextRandom(std::uint64_t random)
{
    return random * 6364136223846793005U + 1442695040888963407U;
}

} // namespace

SlotBroker::State::State(std::uint64_t brokerEpoch, const BrokerSettings &brokerSettings)
    : epoch(brokerEpoch), settings(brokerSettings),
      meanServiceNs(static_cast<double>(
              std::chrono::duration_cast<std::chrono::nanoseconds>(settings.initialServiceTime)
                      .count())),
      known(&pool)
{
    constexpr std::size_t expectedQueue = 256;
    queue.reserve(std::min(settings.maxQueued, expectedQueue));
    known.reserve(2 * expectedQueue);
}

std::size_t SlotBroker::State::findTarget(TargetId id) const
{
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [id](const TargetSlots &target) { return target.id == id; });
    return static_cast<std::size_t>(found - targets.begin());
}

std::size_t SlotBroker::State::findOrAddTarget(TargetId id)
{
    std::size_t index = findTarget(id);
    if (index < targets.size())
        return index;
    // Entries of removed targets without a grant are used again, so the list does not grow with
    // each change of the rules.
    const auto unused = std::find_if(targets.begin(), targets.end(), [](const TargetSlots &it) {
        return it.removed && it.inUse == 0 && !it.reserved;
    });
    index = static_cast<std::size_t>(unused - targets.begin());
    if (unused == targets.end())
        targets.emplace_back();
    targets[index] = TargetSlots{};
    targets[index].id = id;
    targets[index].removed = true;
    return index;
}

int SlotBroker::State::knownTotal() const
{
    int total = 0;
    for (const TargetSlots &target : targets)
        total += std::max(0, effectiveSlots(target) - target.unreportedSlots);
    return total;
}

int SlotBroker::State::effectiveTotal() const
{
    int total = 0;
    for (const TargetSlots &target : targets)
        total += std::max(0, effectiveSlots(target) - target.unreportedSlots);
    return total;
}

bool SlotBroker::State::isGone(const HolderId &holder) const
{
    return std::find(gone.begin(), gone.end(), holder) != gone.end();
}

Duration SlotBroker::State::estimatedWait(int level, std::size_t ahead, int slots) const
{
    if (slots == 0)
        return Duration::max();
    double moreImportantRate = 0; // requests a second
    for (int i = 0; i < level; ++i)
        moreImportantRate += arrivalRate[static_cast<std::size_t>(i)];
    // Requests that arrive during the wait and are more important go first. 0.95 keeps the
    // estimate finite while their rate is above the capacity.
    const double use = std::min(0.95, moreImportantRate * meanServiceNs * 1e-9 / slots);
    const double waitNs = static_cast<double>(ahead) * meanServiceNs / slots / (1 - use);
    return std::chrono::duration_cast<Duration>(
            std::chrono::nanoseconds(static_cast<std::int64_t>(waitNs)));
}

void SlotBroker::State::noteArrival(int level, TimePoint now)
{
    constexpr Milliseconds step(10); // exp() is not worth calling for each request
    if (arrivalRateAt == TimePoint::min())
        arrivalRateAt = now;
    if (now - arrivalRateAt >= step) {
        const double factor = std::exp(-std::chrono::duration<double>(now - arrivalRateAt).count());
        for (double &rate : arrivalRate)
            rate *= factor;
        arrivalRateAt = now;
    }
    arrivalRate[static_cast<std::size_t>(level)] += 1;
}

void SlotBroker::State::serve(TimePoint now, std::uint64_t random, BrokerEffects &effects)
{
    if (now >= grantUntil || deposed)
        return;
    if (anyFailed)
        serveProbes(now, effects);
    if (reservedTarget)
        serveReserved(now, effects);
    int skipped = 0;
    for (std::uint32_t index = queue.first(); index != RequestQueue::none && skipped < scanLimit;) {
        const std::uint32_t following = queue.after(index);
        random = nextRandom(random);
        if (now >= queue.at(index).expiresAt) {
            refuse(index,
                   now >= queue.at(index).endsAt ? Reason::DeadlineExceeded : Reason::Overloaded,
                   effects);
        } else if (!serveOne(index, now, random >> 16, effects)) {
            const QueuedRequest &queued = queue.at(index);
            if (!queued.alone && queued.request.tried.count == 0)
                return; // no slot is free at all
            ++skipped;
        }
        index = following;
    }
}

void SlotBroker::State::serveProbes(TimePoint now, BrokerEffects &effects)
{
    // The least important request is used, because the probe most likely costs it an attempt.
    while (true) {
        const std::uint32_t index = queue.firstOfLeastImportant();
        if (index == RequestQueue::none || queue.at(index).alone)
            return;
        const auto target = pickProbeTarget(targets, now);
        if (!target || queue.at(index).request.tried.contains(targets[*target].id))
            return;
        issue(index, *target, true, now, effects);
    }
}

void SlotBroker::State::serveReserved(TimePoint now, BrokerEffects &effects)
{
    const TargetSlots &target = targets[*reservedTarget];
    if (effectiveSlots(target) == 0) {
        endReservation(); // the target failed or is drained; another one is chosen
        return;
    }
    if (target.inUse == 0 && target.unreportedSlots == 0)
        issue(reservedEntry, *reservedTarget, false, now, effects);
}

bool SlotBroker::State::serveOne(std::uint32_t index, TimePoint now, std::uint64_t random,
                                 BrokerEffects &effects)
{
    const QueuedRequest &queued = queue.at(index);
    if (!queued.alone) {
        const auto target = pickTarget(targets, queued.request.tried, random);
        if (!target)
            return false;
        issue(index, *target, false, now, effects);
        return true;
    }
    // Suspects may take at most a quarter of the targets from the other requests.
    const auto usable = std::count_if(targets.begin(), targets.end(),
                                      [](const TargetSlots &it) { return effectiveSlots(it) > 0; });
    if (aloneRunning >= std::max<std::ptrdiff_t>(1, usable / 4))
        return false;
    if (const auto target = pickIdleTarget(targets, queued.request.tried, random);
        target && !targets[*target].reserved) {
        issue(index, *target, false, now, effects);
        return true;
    }
    if (!reservedTarget)
        reserveFor(index);
    return false;
}

void SlotBroker::State::reserveFor(std::uint32_t index)
{
    if (const auto target = pickTargetToReserve(targets, queue.at(index).request.tried)) {
        targets[*target].reserved = true;
        reservedTarget = target;
        reservedEntry = index;
    }
}

void SlotBroker::State::endReservation()
{
    if (reservedTarget)
        targets[*reservedTarget].reserved = false;
    reservedTarget.reset();
    reservedEntry = RequestQueue::none;
}

void SlotBroker::State::limitQueue(std::uint32_t index, TimePoint now, BrokerEffects &effects)
{
    const QueuedRequest &queued = queue.at(index);
    const int level = RequestQueue::levelOf(queued.request);
    int slots = effectiveTotal();
    if (!rebuild.active() && slots == 0) {
        refuse(index, Reason::NoTarget, effects);
        return;
    }
    const Duration limit = std::min(queued.request.queueLimit, queued.endsAt - now);
    if (rebuild.active()) {
        // It usually ends within a round trip, so its time is not estimated. But the slots that a
        // dead holder may use stay taken until its grants have ended.
        const TimePoint end = rebuild.earliestEnd();
        if (end == TimePoint::min() || end - now <= limit)
            return;
        slots = knownTotal();
        if (slots == 0) {
            refuse(index, Reason::Overloaded, effects);
            return;
        }
    }
    if (estimatedWait(level, queue.sizeUpTo(level), slots) > limit) {
        refuse(index, Reason::Overloaded, effects);
        return;
    }
    while (true) {
        const std::uint32_t last = queue.last();
        const QueuedRequest &lastQueued = queue.at(last);
        const int lastLevel = RequestQueue::levelOf(lastQueued.request);
        if (lastLevel <= level
            || estimatedWait(lastLevel, queue.size(), slots) <= lastQueued.expiresAt - now)
            return;
        refuse(last, Reason::Overloaded, effects);
    }
}

void SlotBroker::State::issue(std::uint32_t index, std::size_t targetIndex, bool probe,
                              TimePoint now, BrokerEffects &effects)
{
    const QueuedRequest &queued = queue.at(index);
    TargetSlots &target = targets[targetIndex];
    GrantEntry &grant = grants.issue(epoch);
    grant.holder = queued.request.holder;
    grant.sequence = queued.request.sequence;
    grant.fingerprint = queued.request.fingerprint;
    grant.targetIndex = targetIndex;
    grant.issuedAt = now;
    grant.endsAt = queued.endsAt;
    grant.probe = probe;
    grant.alone = queued.alone;
    grant.holderGone = !gone.empty() && isGone(grant.holder);
    anyGone = anyGone || grant.holderGone;
    ++target.inUse;
    if (probe) {
        target.probing = true;
        target.lastProbe = now;
    }
    if (queued.alone) {
        target.alone = true;
        ++aloneRunning;
    }
    effects.emplace_back(
            GrantEffect{grant.holder, grant.sequence, grant.id, target.id, probe, queued.alone});
    known[{grant.holder, grant.sequence}] = RequestQueue::none;
    dropQueued(index);
}

void SlotBroker::State::dropQueued(std::uint32_t index)
{
    if (index == reservedEntry)
        endReservation();
    queue.remove(index);
}

void SlotBroker::State::refuse(std::uint32_t index, Reason reason, BrokerEffects &effects)
{
    const GrantRequest &request = queue.at(index).request;
    effects.emplace_back(RefusalEffect{request.holder, request.sequence, reason});
    known.erase({request.holder, request.sequence});
    dropQueued(index);
}

void SlotBroker::State::endGrant(GrantEntry &grant)
{
    TargetSlots &target = targets[grant.targetIndex];
    --target.inUse;
    if (grant.probe)
        target.probing = false;
    if (grant.alone) {
        target.alone = false;
        --aloneRunning;
    }
    if (grant.id.epoch == epoch)
        known.erase({grant.holder, grant.sequence});
    grants.remove(grant);
}

void SlotBroker::State::reportCrash(CrashEvidence sign, std::size_t targetIndex,
                                    std::uint64_t fingerprint, BrokerEffects &effects)
{
    TargetSlots &target = targets[targetIndex];
    if (sign == CrashEvidence::CurrentRequest)
        effects.emplace_back(CrashEffect{target.id, fingerprint});
    if (sign != CrashEvidence::AllLostRequests)
        return;
    for (const std::uint64_t lost : target.lostFingerprints)
        effects.emplace_back(CrashEffect{target.id, lost});
    target.lostFingerprints.clear();
}

void SlotBroker::State::adopt(const HeldGrant &held, const HolderId &holder, bool awaited,
                              TimePoint now)
{
    const std::size_t index = findOrAddTarget(held.target);
    TargetSlots &target = targets[index];
    GrantEntry &grant = grants.adopt(held.id);
    grant.holder = holder;
    grant.sequence = held.sequence;
    grant.fingerprint = held.fingerprint;
    grant.targetIndex = index;
    grant.issuedAt = now;
    grant.endsAt = now + std::clamp<Duration>(held.remaining, Duration::zero(), maxGrantTime);
    grant.alone = held.alone;
    ++target.inUse;
    if (held.alone) {
        target.alone = true;
        ++aloneRunning;
    }
    // The earlier broker kept the sum of all grants within the slots, so what an awaited holder
    // has cannot be used by the others.
    if (awaited && target.unreportedSlots > 0)
        --target.unreportedSlots;
}

void SlotBroker::State::judgeMissing(const GrantsHeld &report, std::uint64_t listMark,
                                     BrokerEffects &effects)
{
    for (GrantEntry &grant : grants.entries()) {
        if (!grant.live || grant.holder != report.holder)
            continue;
        grant.holderGone = false; // the holder is alive
        if (grant.listMark == listMark) {
            grant.missingListCount = 0;
            continue;
        }
        // A request that still waits may yet accept the grant; one that is newer than the list
        // is not in it.
        if (grant.sequence > report.lastSequence || report.number <= grant.lastMissingList
            || std::find(report.waiting.begin(), report.waiting.end(), grant.sequence)
                    != report.waiting.end())
            continue;
        grant.lastMissingList = report.number;
        if (++grant.missingListCount < 2)
            continue;
        effects.emplace_back(ReclaimEffect{grant.holder, grant.id, targets[grant.targetIndex].id});
        endGrant(grant);
    }
}

void SlotBroker::State::endRebuildIfDone()
{
    if (rebuild.active())
        return;
    for (TargetSlots &target : targets)
        target.unreportedSlots = 0;
}

} // namespace chestnutvane
