#include "chestnutvane/process/gateway/work/placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// CPU time for scoring one target for one request, measured by gateway_benchmark.
constexpr std::chrono::nanoseconds scoringTime{50};

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

bool hasFreeSlot(const Candidate &candidate)
{
    return candidate.load + candidate.queueLength < candidate.slots;
}

Seconds runTime(const Candidate &candidate, const WorkEstimate &work)
{
    return Seconds(candidate.warm ? work.warm : work.cold) * candidate.runTimeFactor;
}

// Expected wait at the candidate for a slot.
Seconds queueTime(const Candidate &candidate, const WorkEstimate &work)
{
    if (hasFreeSlot(candidate))
        return Seconds{0};
    const double queuePosition = candidate.load + candidate.queueLength - candidate.slots + 1;
    return Seconds(work.mean) * candidate.runTimeFactor * queuePosition / candidate.slots;
}

// Returns the price of slot time for each region of the candidates, in seconds of response time per
// second of run time.
std::vector<double> slotTimePrices(std::span<const Candidate> candidates,
                                   const PlacementSettings &settings)
{
    struct Use
    {
        double used = 0;
        double slots = 0;
    };
    std::vector<Use> uses;
    std::optional<std::size_t> ownRegion;
    for (const Candidate &candidate : candidates) {
        if (candidate.region >= uses.size())
            uses.resize(candidate.region + 1);
        Use &use = uses[candidate.region];
        use.used += std::min<double>(candidate.load + candidate.queueLength, candidate.slots);
        use.slots += candidate.slots;
        if (candidate.sameRegion)
            ownRegion = candidate.region;
    }
    const auto priceAt = [&settings, &uses](std::size_t region) {
        const auto &[used, slots] = uses[region];
        const double utilization = slots > 0 ? used / slots : 0;
        const double scarcity =
                (utilization - settings.scarcityThreshold) / (1 - settings.scarcityThreshold);
        return settings.maxSlotTimePrice * std::clamp(scarcity, 0.0, 1.0);
    };
    const double ownPrice = ownRegion ? priceAt(*ownRegion) : 0;
    std::vector<double> prices;
    prices.reserve(uses.size());
    for (std::size_t region = 0; region < uses.size(); ++region) {
        const auto &[used, slots] = uses[region];
        const double utilization = slots > 0 ? used / slots : 0;
        const double share = (utilization - settings.idleThreshold)
                / (settings.scarcityThreshold - settings.idleThreshold);
        prices.push_back(std::max(priceAt(region), ownPrice * std::clamp(share, 0.0, 1.0)));
    }
    return prices;
}

// Returns the score of a candidate, in seconds; the lowest is the best.
double score(const Candidate &candidate, const WorkEstimate &work, const PlacementLimits &limits,
             const PlacementSettings &settings, double slotPrice, Duration expectedResponseTime,
             bool canServe)
{
    // A failed attempt is retried at another target, so the expected time grows with the failure
    // rate. The cap keeps the scores of targets that always fail finite and comparable.
    constexpr double maxFailureRate = 0.9;
    double score = Seconds(expectedResponseTime).count()
            / (1 - std::min(candidate.failureRate, maxFailureRate));
    score += Seconds(work.cold).count() * settings.affinityRankShare * candidate.affinityRank;
    score += runTime(candidate, work).count() * slotPrice;
    if (!candidate.sameRegion)
        score += Seconds(settings.crossRegionCost).count()
                + Seconds(settings.crossRegionCostPerKilobyte).count() * work.bodyKilobytes;
    if (work.costs)
        score += Seconds(settings.latenessPenalty).count()
                * chanceOfLateness(candidate, work, limits);
    else if (expectedResponseTime > limits.timeToAim)
        score += Seconds(settings.latenessPenalty).count();
    if (candidate.needsFirstRequest && candidate.sameRegion && canServe)
        score -= Seconds(work.cold).count() * candidate.runTimeFactor
                + Seconds(settings.latenessPenalty).count();
    if (!candidate.sendAllowed)
        score += Seconds(work.mean).count();
    return score;
}

} // namespace

bool isShortPass(std::size_t waiting, std::size_t targets)
{
    // A few passes of this length per request take about 1/100 of the usual run time of a request.
    constexpr std::chrono::microseconds shortPassTime{100};
    return scoringTime * static_cast<std::int64_t>(waiting * targets) <= shortPassTime;
}

Duration pauseAfterPass(std::size_t waiting, std::size_t targets)
{
    // Passes triggered by reports use at most 1/50 of a core; the smallest instance has 1/10 of a
    // core.
    constexpr int share = 50;
    return scoringTime * share * static_cast<std::int64_t>(waiting * targets);
}

Duration estimateResponseTime(const Candidate &candidate, const WorkEstimate &work)
{
    return toDuration(queueTime(candidate, work) + runTime(candidate, work)) + candidate.roundTrip;
}

double chanceOfLateness(const Candidate &candidate, const WorkEstimate &work,
                        const PlacementLimits &limits)
{
    const Seconds timeLeft =
            Seconds(limits.timeToAim - candidate.roundTrip) - queueTime(candidate, work);
    const Seconds run = runTime(candidate, work);
    if (timeLeft <= Seconds{0} || run <= Seconds{0})
        return timeLeft <= Seconds{0} ? 1 : 0;
    if (!work.costs)
        return run > timeLeft ? 1 : 0;
    return work.costs->shareAbove(timeLeft / run);
}

Placement place(std::span<const Candidate> candidates, const WorkEstimate &work,
                const PlacementLimits &limits, const PlacementSettings &settings)
{
    const Duration latestResponseTime =
            toDuration(Seconds(limits.timeToDeadline) * settings.usableTimeShare);
    const std::vector<double> slotPrices = slotTimePrices(candidates, settings);
    Placement best;
    double bestScore = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const Duration expectedResponseTime = estimateResponseTime(candidate, work);
        const bool isRoomThere =
                candidate.load + candidate.queueLength < candidate.slots + candidate.sendAhead;
        const bool canSend = isRoomThere && candidate.sendAllowed;
        const bool inTime = !work.measured || expectedResponseTime <= latestResponseTime;
        const double candidateScore =
                score(candidate, work, limits, settings, slotPrices[candidate.region],
                      expectedResponseTime, canSend && inTime);
        if (candidateScore >= bestScore)
            continue;
        bestScore = candidateScore;
        best = {canSend ? PlacementAction::Send : PlacementAction::Wait, i, expectedResponseTime};
    }
    const Duration lateWindow = std::max(limits.timeToDeadline - limits.timeToAim, Duration{0});
    const Duration waitLimit = std::max(limits.timeToAim, Duration{0})
            + toDuration(Seconds(lateWindow) * settings.lateWaitShare);
    if (best.action == PlacementAction::Wait && best.expectedResponseTime > waitLimit)
        best.action = PlacementAction::Refuse;
    const bool tooLate = best.expectedResponseTime > latestResponseTime;
    const bool isReliable = work.measured || best.action == PlacementAction::Wait;
    if (tooLate && (isReliable || limits.timeToDeadline <= Duration{0}))
        best.action = PlacementAction::Refuse;
    return best;
}

} // namespace chestnutvane
