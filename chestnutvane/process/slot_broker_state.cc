#include "chestnutvane/process/slot_broker_state.h"

#include <cmath>

namespace chestnutvane {
namespace {

// Bounds the scan of the queue past requests that cannot use any of the free slots.
constexpr int maxSkippedRequests = 16;

// Steps a linear congruential generator (Knuth's MMIX constants).
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
      activeRequests(&pool)
{
    constexpr std::size_t expectedQueue = 256;
    queue.reserve(std::min(settings.maxQueued, expectedQueue));
    activeRequests.reserve(2 * expectedQueue);
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
    // Reuses the entries of removed targets without grants, so that the list does not grow with
    // each change of the rules.
    const auto reusable = std::find_if(targets.begin(), targets.end(), [](const TargetSlots &it) {
        return it.removed && it.inUse == 0 && !it.reserved;
    });
    index = static_cast<std::size_t>(reusable - targets.begin());
    if (reusable == targets.end())
        targets.emplace_back();
    targets[index] = TargetSlots{};
    targets[index].id = id;
    targets[index].removed = true;
    return index;
}

int SlotBroker::State::confirmedSlotTotal() const
{
    int total = 0;
    for (const TargetSlots &target : targets)
        total += std::max(0, effectiveSlots(target) - target.unreportedSlots);
    return total;
}

int SlotBroker::State::effectiveSlotTotal() const
{
    int total = 0;
    for (const TargetSlots &target : targets)
        total += std::max(0, effectiveSlots(target) - target.unreportedSlots);
    return total;
}

bool SlotBroker::State::isDead(const HolderId &holder) const
{
    return std::find(deadHolders.begin(), deadHolders.end(), holder) != deadHolders.end();
}

Duration SlotBroker::State::estimatedWait(int level, std::size_t position, int slots) const
{
    if (slots == 0)
        return Duration::max();
    double moreImportantRate = 0; // requests a second
    for (int i = 0; i < level; ++i)
        moreImportantRate += arrivalRate[static_cast<std::size_t>(i)];
    // More important requests that arrive during the wait are served first. The bound of 0.95 keeps
    // the estimate finite while their rate exceeds the capacity.
    const double utilisation = std::min(0.95, moreImportantRate * meanServiceNs * 1e-9 / slots);
    const double waitNs = static_cast<double>(position) * meanServiceNs / slots / (1 - utilisation);
    return std::chrono::duration_cast<Duration>(
            std::chrono::nanoseconds(static_cast<std::int64_t>(waitNs)));
}

void SlotBroker::State::recordArrival(int level, TimePoint now)
{
    constexpr Milliseconds updateInterval(10); // avoids an exp() for each request
    if (arrivalRateUpdatedAt == TimePoint::min())
        arrivalRateUpdatedAt = now;
    if (now - arrivalRateUpdatedAt >= updateInterval) {
        const double factor =
                std::exp(-std::chrono::duration<double>(now - arrivalRateUpdatedAt).count());
        for (double &rate : arrivalRate)
            rate *= factor;
        arrivalRateUpdatedAt = now;
    }
    arrivalRate[static_cast<std::size_t>(level)] += 1;
}

void SlotBroker::State::grantFreeSlots(TimePoint now, std::uint64_t random, BrokerEffects &effects)
{
    if (now >= grantUntil || superseded)
        return;
    if (anyTargetFailed)
        grantProbes(now, effects);
    if (reservedTarget)
        grantReservedTarget(now, effects);
    int skipped = 0;
    for (std::uint32_t index = queue.first();
         index != RequestQueue::none && skipped < maxSkippedRequests;) {
        const std::uint32_t next = queue.after(index);
        random = nextRandom(random);
        if (now >= queue.at(index).expiresAt) {
            refuse(index,
                   now >= queue.at(index).endsAt ? Reason::DeadlineExceeded : Reason::Overloaded,
                   effects);
        } else if (!tryGrant(index, now, random >> 16, effects)) {
            const QueuedRequest &queued = queue.at(index);
            if (!queued.alone && queued.request.tried.count == 0)
                return; // it could use any free slot, so none is free
            ++skipped;
        }
        index = next;
    }
}

void SlotBroker::State::grantProbes(TimePoint now, BrokerEffects &effects)
{
    // Probes with the least important request, because the attempt will most likely fail.
    while (true) {
        const std::uint32_t index = queue.firstOfLeastImportant();
        if (index == RequestQueue::none || queue.at(index).alone)
            return;
        const auto target = pickProbeTarget(targets, now);
        if (!target || queue.at(index).request.tried.contains(targets[*target].id))
            return;
        issueGrant(index, *target, true, now, effects);
    }
}

void SlotBroker::State::grantReservedTarget(TimePoint now, BrokerEffects &effects)
{
    const TargetSlots &target = targets[*reservedTarget];
    if (effectiveSlots(target) == 0) {
        endReservation(); // failed or drained; another target is reserved later
        return;
    }
    if (target.inUse == 0 && target.unreportedSlots == 0)
        issueGrant(reservedQueueIndex, *reservedTarget, false, now, effects);
}

bool SlotBroker::State::tryGrant(std::uint32_t index, TimePoint now, std::uint64_t random,
                                 BrokerEffects &effects)
{
    const QueuedRequest &queued = queue.at(index);
    if (!queued.alone) {
        const auto target = pickTarget(targets, queued.request.tried, random);
        if (!target)
            return false;
        issueGrant(index, *target, false, now, effects);
        return true;
    }
    // Requests that run alone use at most a quarter of the targets, so that the others get slots.
    const auto usableTargets =
            std::count_if(targets.begin(), targets.end(),
                          [](const TargetSlots &it) { return effectiveSlots(it) > 0; });
    if (aloneGrantCount >= std::max<std::ptrdiff_t>(1, usableTargets / 4))
        return false;
    if (const auto target = pickIdleTarget(targets, queued.request.tried, random);
        target && !targets[*target].reserved) {
        issueGrant(index, *target, false, now, effects);
        return true;
    }
    if (!reservedTarget)
        reserveTargetFor(index);
    return false;
}

void SlotBroker::State::reserveTargetFor(std::uint32_t index)
{
    if (const auto target = pickTargetToReserve(targets, queue.at(index).request.tried)) {
        targets[*target].reserved = true;
        reservedTarget = target;
        reservedQueueIndex = index;
    }
}

void SlotBroker::State::endReservation()
{
    if (reservedTarget)
        targets[*reservedTarget].reserved = false;
    reservedTarget.reset();
    reservedQueueIndex = RequestQueue::none;
}

void SlotBroker::State::enforceQueueLimits(std::uint32_t index, TimePoint now,
                                           BrokerEffects &effects)
{
    const QueuedRequest &queued = queue.at(index);
    const int level = RequestQueue::levelOf(queued.request);
    int slots = effectiveSlotTotal();
    if (!rebuild.active() && slots == 0) {
        refuse(index, Reason::NoTarget, effects);
        return;
    }
    const Duration limit = std::min(queued.request.queueLimit, queued.endsAt - now);
    if (rebuild.active()) {
        // A rebuild usually ends within a round trip, which is not counted as a wait. Slots that a
        // dead holder may use become free only when its grants have expired.
        const TimePoint rebuildEnd = rebuild.earliestEnd();
        if (rebuildEnd == TimePoint::min() || rebuildEnd - now <= limit)
            return;
        slots = confirmedSlotTotal();
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

void SlotBroker::State::issueGrant(std::uint32_t index, std::size_t targetIndex, bool probe,
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
    grant.holderGone = !deadHolders.empty() && isDead(grant.holder);
    anyHolderDead = anyHolderDead || grant.holderGone;
    ++target.inUse;
    if (probe) {
        target.probing = true;
        target.lastProbe = now;
    }
    if (queued.alone) {
        target.alone = true;
        ++aloneGrantCount;
    }
    effects.emplace_back(
            GrantEffect{grant.holder, grant.sequence, grant.id, target.id, probe, queued.alone});
    activeRequests[{grant.holder, grant.sequence}] = RequestQueue::none;
    removeFromQueue(index);
}

void SlotBroker::State::removeFromQueue(std::uint32_t index)
{
    if (index == reservedQueueIndex)
        endReservation();
    queue.remove(index);
}

void SlotBroker::State::refuse(std::uint32_t index, Reason reason, BrokerEffects &effects)
{
    const GrantRequest &request = queue.at(index).request;
    effects.emplace_back(RefusalEffect{request.holder, request.sequence, reason});
    activeRequests.erase({request.holder, request.sequence});
    removeFromQueue(index);
}

void SlotBroker::State::endGrant(GrantEntry &grant)
{
    TargetSlots &target = targets[grant.targetIndex];
    --target.inUse;
    if (grant.probe)
        target.probing = false;
    if (grant.alone) {
        target.alone = false;
        --aloneGrantCount;
    }
    if (grant.id.epoch == epoch)
        activeRequests.erase({grant.holder, grant.sequence});
    grants.remove(grant);
}

void SlotBroker::State::chargeCrash(CrashEvidence sign, std::size_t targetIndex,
                                    std::uint64_t fingerprint, BrokerEffects &effects)
{
    TargetSlots &target = targets[targetIndex];
    if (sign == CrashEvidence::CurrentRequest)
        effects.emplace_back(ChargeCrashEffect{target.id, fingerprint});
    if (sign != CrashEvidence::AllLostRequests)
        return;
    for (const std::uint64_t lost : target.lostFingerprints)
        effects.emplace_back(ChargeCrashEffect{target.id, lost});
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
        ++aloneGrantCount;
    }
    // The previous broker never issued more grants than slots, so a slot that an awaited holder
    // reports cannot also be in use by another holder.
    if (awaited && target.unreportedSlots > 0)
        --target.unreportedSlots;
}

void SlotBroker::State::reclaimMissingGrants(const GrantsHeld &report, std::uint64_t listMark,
                                             BrokerEffects &effects)
{
    for (GrantEntry &grant : grants.entries()) {
        if (!grant.live || grant.holder != report.holder)
            continue;
        grant.holderGone = false; // the report proves that the holder is alive
        if (grant.listMark == listMark) {
            grant.missingListCount = 0;
            continue;
        }
        // The grant does not count as missing if the holder may still accept it (its request
        // waits), if the request is newer than the list, or if the list is not a new one.
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
