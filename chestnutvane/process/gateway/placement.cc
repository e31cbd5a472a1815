#include "chestnutvane/process/gateway/placement.h"

#include <algorithm>
#include <limits>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Processor time of rating one target for one request (gateway_benchmark).
constexpr std::chrono::nanoseconds ratingTime{50};

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

bool hasFreeSlot(const Candidate &candidate)
{
    return candidate.load + candidate.ahead < candidate.slots;
}

// Rates a candidate; the lowest is the best. The unit is seconds until the answer.
double score(const Candidate &candidate, const WorkEstimate &work, const PlacementLimits &limits,
             const PlacementSettings &settings, Duration expected, bool mayTryNew)
{
    // A failed attempt is repeated elsewhere, so the expected time grows with the rate; the bound
    // keeps a target that always fails comparable.
    constexpr double maxFailureRate = 0.9;
    double score =
            Seconds(expected).count() / (1 - std::min(candidate.failureRate, maxFailureRate));
    score += Seconds(work.cold).count() * settings.rankShare * candidate.rank;
    if (!candidate.ownRegion)
        score += Seconds(settings.otherRegion).count()
                + Seconds(settings.otherRegionPerKilobyte).count() * work.bodyKilobytes;
    if (expected > limits.aimLeft)
        score += Seconds(settings.lateness).count();
    if (candidate.unused && candidate.ownRegion && mayTryNew)
        score -= Seconds(work.cold).count() * candidate.slowness
                + Seconds(settings.lateness).count();
    if (!candidate.mayTake)
        score += Seconds(work.mean).count();
    return score;
}

} // namespace

bool isShortLook(std::size_t waiting, std::size_t targets)
{
    // A few such looks for each request are a hundredth of the usual run time of a target.
    constexpr std::chrono::microseconds shortLook{100};
    return ratingTime * static_cast<std::int64_t>(waiting * targets) <= shortLook;
}

Duration pauseAfterLook(std::size_t waiting, std::size_t targets)
{
    // Looks after reports use at most a fiftieth of a core; the smallest instance has a tenth.
    constexpr int share = 50;
    return ratingTime * share * static_cast<std::int64_t>(waiting * targets);
}

Duration expectedAnswer(const Candidate &candidate, const WorkEstimate &work)
{
    const Seconds run = Seconds(candidate.warm ? work.warm : work.cold) * candidate.slowness;
    Seconds wait{0};
    if (!hasFreeSlot(candidate)) {
        const double before = candidate.load + candidate.ahead - candidate.slots + 1;
        wait = Seconds(work.mean) * candidate.slowness * before / candidate.slots;
    }
    return toDuration(wait + run) + candidate.roundTrip;
}

Placement place(std::span<const Candidate> candidates, const WorkEstimate &work,
                const PlacementLimits &limits, const PlacementSettings &settings)
{
    const Duration answerLimit = toDuration(Seconds(limits.limitLeft) * settings.limitShare);
    Placement best;
    double bestScore = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const Duration expected = expectedAnswer(candidate, work);
        const bool canSend = hasFreeSlot(candidate) && candidate.mayTake;
        const bool inTime = !work.measured || expected <= answerLimit;
        const double rating = score(candidate, work, limits, settings, expected, canSend && inTime);
        if (rating >= bestScore)
            continue;
        bestScore = rating;
        best = {canSend ? PlacementAction::Send : PlacementAction::Wait, i, expected};
    }
    const Duration late = std::max(limits.limitLeft - limits.aimLeft, Duration{0});
    const Duration waitLimit = std::max(limits.aimLeft, Duration{0})
            + toDuration(Seconds(late) * settings.lateWaitShare);
    if (best.action == PlacementAction::Wait && best.expected > waitLimit)
        best.action = PlacementAction::Refuse;
    const bool tooLate = best.expected > answerLimit;
    const bool known = work.measured || best.action == PlacementAction::Wait;
    if (tooLate && (known || limits.limitLeft <= Duration{0}))
        best.action = PlacementAction::Refuse;
    return best;
}

} // namespace chestnutvane
