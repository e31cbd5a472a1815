#include "chestnutvane/process/target_slots.h"

namespace chestnutvane {
namespace {

// The number of slots that are certainly not in use, regardless of the limit.
int unusedSlots(const TargetSlots &target)
{
    return target.slots - target.inUse - target.unreportedSlots;
}

void raiseLimit(TargetSlots &target, TimePoint now)
{
    const Milliseconds interval = target.cold ? coldRaiseInterval : shedRaiseInterval;
    if (target.limit >= target.slots || now - target.lastLimitChange < interval)
        return;
    ++target.limit;
    target.lastLimitChange = now;
    if (target.limit >= target.slots)
        target.cold = false;
}

// Records that the target answered, so its process accepts connections.
void recordReachable(TargetSlots &target, TimePoint now)
{
    if (hasFailed(target))
        startCold(target, now);
    target.connectFailures = 0;
}

void recordShed(TargetSlots &target, TimePoint issuedAt, TimePoint now)
{
    target.lastFailure = now;
    // Requests sent before the last reduction of the limit give no information about the load
    // after it.
    if (issuedAt < target.lastShed)
        return;
    target.limit = std::max(1, std::min(target.limit, target.slots) / 2);
    target.lastLimitChange = now;
    target.lastShed = now;
    target.cold = false;
}

CrashEvidence recordRestartSign(TargetSlots &target, TimePoint now)
{
    target.lastRestartSign = now;
    if (target.lostFingerprints.empty())
        return CrashEvidence::None;
    if (now - target.lastLossAt <= crashWindow)
        return CrashEvidence::AllLostRequests;
    target.lostFingerprints.clear();
    return CrashEvidence::None;
}

CrashEvidence recordLoss(TargetSlots &target, std::uint64_t fingerprint, TimePoint issuedAt,
                         TimePoint now)
{
    target.lastFailure = now;
    if (issuedAt < target.lastRestartSign && now - target.lastRestartSign <= crashWindow)
        return CrashEvidence::CurrentRequest;
    // Bounds the list. Losses far beyond the number of slots add no useful suspects.
    if (target.lostFingerprints.size() >= 2 * static_cast<std::size_t>(target.slots))
        target.lostFingerprints.erase(target.lostFingerprints.begin());
    target.lostFingerprints.push_back(fingerprint);
    target.lastLossAt = now;
    return CrashEvidence::None;
}

// Returns the best of the targets for which allowed(target) is true, where better(candidate, best)
// compares two of them. The scan starts at a random index, so that ties are resolved randomly.
template <class Allowed, class Better>
std::optional<std::size_t> pickBest(std::span<const TargetSlots> targets, std::uint64_t random,
                                    Allowed allowed, Better better)
{
    std::optional<std::size_t> best;
    const std::size_t start = targets.empty() ? 0 : random % targets.size();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        std::size_t index = start + i;
        if (index >= targets.size())
            index -= targets.size();
        if (allowed(targets[index]) && (!best || better(targets[index], targets[*best])))
            best = index;
    }
    return best;
}

bool hasUntriedTarget(std::span<const TargetSlots> targets, const TriedTargets &tried)
{
    return std::any_of(targets.begin(), targets.end(), [&](const TargetSlots &target) {
        return effectiveSlots(target) > 0 && !tried.contains(target.id);
    });
}

bool isReportedFull(const TargetSlots &target)
{
    return target.reportedFullAt > target.lastSuccess;
}

} // namespace

void startCold(TargetSlots &target, TimePoint now)
{
    target.limit = 1;
    target.cold = target.slots > 1;
    target.lastLimitChange = now;
}

CrashEvidence recordOutcome(TargetSlots &target, GrantResult result, std::uint64_t fingerprint,
                            TimePoint issuedAt, TimePoint now)
{
    switch (result) {
    case GrantResult::Succeeded:
        recordReachable(target, now);
        target.lastSuccess = now;
        raiseLimit(target, now);
        // A request sent after the lost connections was served, so the process has probably not
        // crashed.
        if (issuedAt > target.lastLossAt && issuedAt > target.lastRestartSign)
            target.lostFingerprints.clear();
        return CrashEvidence::None;
    case GrantResult::Shed:
        recordReachable(target, now);
        recordShed(target, issuedAt, now);
        return CrashEvidence::None;
    case GrantResult::ConnectFailed:
        target.lastFailure = now;
        ++target.connectFailures;
        return recordRestartSign(target, now);
    case GrantResult::ConnectionLost:
        return recordLoss(target, fingerprint, issuedAt, now);
    case GrantResult::TimedOut:
        target.lastFailure = now;
        return CrashEvidence::None;
    case GrantResult::Cancelled:
    case GrantResult::NotSent:
        return CrashEvidence::None;
    }
    return CrashEvidence::None;
}

CrashEvidence recordProbeRefusal(TargetSlots &target, TimePoint now)
{
    target.lastFailure = now;
    return recordRestartSign(target, now);
}

CrashEvidence recordStartId(TargetSlots &target, std::uint64_t startId, TimePoint now)
{
    if (startId == 0 || startId == target.startId)
        return CrashEvidence::None;
    const bool restarted = target.startId != 0;
    target.startId = startId;
    if (!restarted)
        return CrashEvidence::None;
    startCold(target, now);
    return recordRestartSign(target, now);
}

std::optional<std::size_t> pickTarget(std::span<const TargetSlots> targets,
                                      const TriedTargets &tried, std::uint64_t random)
{
    if (targets.empty())
        return std::nullopt;
    const bool avoidTried = tried.count > 0 && hasUntriedTarget(targets, tried);
    const TargetSlots *best = nullptr;
    int bestFree = 1;
    const auto pickAmong = [&](std::span<const TargetSlots> part) {
        for (const TargetSlots &target : part) {
            const int free = freeSlots(target);
            if (free < bestFree || (avoidTried && tried.contains(target.id)))
                continue;
            if (best != nullptr && free == bestFree) {
                if (target.lastFailure != best->lastFailure
                            ? target.lastFailure > best->lastFailure
                            : isReportedFull(target) || !isReportedFull(*best))
                    continue;
            }
            best = &target;
            bestFree = free;
        }
    };
    const std::size_t start = random % targets.size();
    pickAmong(targets.subspan(start));
    pickAmong(targets.first(start));
    if (best == nullptr)
        return std::nullopt;
    return static_cast<std::size_t>(best - targets.data());
}

std::optional<std::size_t> pickIdleTarget(std::span<const TargetSlots> targets,
                                          const TriedTargets &tried, std::uint64_t random)
{
    const bool avoidTried = tried.count > 0 && hasUntriedTarget(targets, tried);
    return pickBest(
            targets, random,
            [&](const TargetSlots &target) {
                return effectiveSlots(target) > 0 && !target.alone && target.inUse == 0
                        && target.unreportedSlots == 0
                        && !(avoidTried && tried.contains(target.id));
            },
            // The reserved target was kept idle for such a request.
            [](const TargetSlots &a, const TargetSlots &b) { return a.reserved && !b.reserved; });
}

std::optional<std::size_t> pickTargetToReserve(std::span<const TargetSlots> targets,
                                               const TriedTargets &tried)
{
    const bool avoidTried = tried.count > 0 && hasUntriedTarget(targets, tried);
    return pickBest(
            targets, 0,
            [&](const TargetSlots &target) {
                return effectiveSlots(target) > 0 && !target.alone
                        && !(avoidTried && tried.contains(target.id));
            },
            [](const TargetSlots &a, const TargetSlots &b) {
                return a.inUse + a.unreportedSlots < b.inUse + b.unreportedSlots;
            });
}

std::optional<std::size_t> pickProbeTarget(std::span<const TargetSlots> targets, TimePoint now)
{
    return pickBest(
            targets, 0,
            [&](const TargetSlots &target) {
                return hasFailed(target) && isUsable(target) && !target.probing && !target.alone
                        && unusedSlots(target) > 0
                        && (target.lastProbe == TimePoint::min()
                            || now - target.lastProbe >= probeInterval);
            },
            [](const TargetSlots &a, const TargetSlots &b) { return a.lastProbe < b.lastProbe; });
}

} // namespace chestnutvane
