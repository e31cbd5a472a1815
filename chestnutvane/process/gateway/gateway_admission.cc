// Turns of waiting requests, and returns of callers that were refused for lack of room.

#include <algorithm>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/admission/fair_order.h"
#include "chestnutvane/process/gateway/admission/return_time.h"
#include "chestnutvane/process/gateway/admission/scarce_slots.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

void Gateway::countArrival(const PendingRequest &pending, TimePoint now)
{
    arrivalRates_[pending.service].onArrival(pending.importance, now);
    // Requests of no team are counted as well; they share like one team.
    const auto work = runTimes_.estimate(pending.route->name, pending.service, pending.route->aim);
    teamShares_.onAsked(pending.teamKey, work.mean, now);
}

void Gateway::updateTeamShares(TimePoint now)
{
    teamShares_.update(now);
    // Labelled by rank, so that their number does not grow with the teams.
    const auto uses = teamShares_.report(now);
    constexpr double millisecondsPerSecond = 1000;
    for (std::size_t rank = 0; rank < TeamShares::maxReported; ++rank) {
        const TeamUse use = rank < uses.size() ? uses[rank] : TeamUse{};
        const MetricLabels labels{{"rank", std::to_string(rank)}};
        metrics_.set("vane_gateway_team_used_seconds", labels, use.usedMs / millisecondsPerSecond);
        metrics_.set("vane_gateway_team_entitled_seconds", labels,
                     use.entitledMs / millisecondsPerSecond);
    }
}

bool Gateway::isQueuedAtTarget(const PendingRequest &pending, const Candidate &candidate,
                               const WorkEstimate &work, TimePoint now) const
{
    const auto rates = arrivalRates_.find(pending.service);
    if (settings_.targetQueue == 0 || shutdown_ || !candidate.sendAllowed
        || rates == arrivalRates_.end())
        return false;
    const Duration run = estimateResponseTime({.warm = candidate.warm,
                                               .runTimeFactor = candidate.runTimeFactor,
                                               .failureRate = candidate.failureRate,
                                               .roundTrip = candidate.roundTrip},
                                              work);
    const bool isQueued = mayQueueAtTarget(
            {.run = run,
             .timeToAim = pending.aimAt - now - callerTransitTime,
             .slots = candidate.slots,
             .load = candidate.load,
             .meanRun = work.mean,
             .targetQueue = settings_.targetQueue,
             .instances = instancesInRegion(now),
             .lessImportantShare = rates->second.lessImportantShare(pending.importance, now)});
    if (isQueued)
        metrics_.increment("vane_gateway_queued_at_target_total", {{"service", pending.service}});
    return isQueued;
}

Gateway::Queue Gateway::orderQueue(const std::string &service,
                                   const std::vector<TargetSnapshot> &snapshots, TimePoint now)
{
    Queue &queue = queues_[service];
    const auto workOf = [this](const PendingRequest &pending) {
        return runTimes_.estimate(pending.route->name, pending.service, pending.route->aim);
    };
    const bool hasTeams = std::ranges::any_of(
            queue, [](const Pending &pending) { return pending->teamKey != 0; });
    const bool leavesSlots = settings_.admission == AdmissionPolicy::FairShares && !shutdown_;
    if (!hasTeams && !leavesSlots) {
        // Requests that can no longer meet their aim go last, so that they occupy no slot in which
        // another request could still meet its aim.
        std::stable_partition(queue.begin(), queue.end(), [&](const Pending &pending) {
            return pending->aimAt - now > workOf(*pending).warm + callerTransitTime;
        });
        return queue;
    }
    std::vector<QueuedRequest> requests;
    std::vector<WorkEstimate> works;
    for (const Pending &pending : queue) {
        const auto &work = works.emplace_back(workOf(*pending));
        const Duration timeToAim = pending->aimAt - now - callerTransitTime;
        requests.push_back({!canMeetAim(work.warm, timeToAim, pending->route->aim),
                            pending->importance, pending->call.arrival, pending->teamKey,
                            work.mean});
    }
    if (hasTeams && queue.size() > 1)
        teamShares_.onShortage(now);
    Queue ordered;
    Queue toPlace;
    for (const std::size_t index : fairOrder(requests, teamShares_, now)) {
        const Pending &pending = ordered.emplace_back(queue[index]);
        if (!leavesSlots || !requests[index].isLate
            || !isHeld(*pending, works[index], snapshots, now))
            toPlace.push_back(pending);
    }
    queue = std::move(ordered);
    return toPlace;
}

bool Gateway::isHeld(const PendingRequest &pending, const WorkEstimate &work,
                     const std::vector<TargetSnapshot> &snapshots, TimePoint now) const
{
    SlotOutlook outlook{.meanRun = work.mean, .reportInterval = fleet_.oldestReportAge(now)};
    double freeElsewhere = 0;
    const auto &homes = pending.homeRegions;
    for (const auto &[target, shared, peerQueueLength, tier] : snapshots) {
        if (tier != TargetTier::Usable)
            continue;
        const double busy = std::min<double>(shared.load, shared.slots);
        if (shared.sameRegion) {
            outlook.slots += shared.slots;
            outlook.busy += busy;
        } else if (!homes || std::ranges::find(*homes, target->region) != homes->end()) {
            freeElsewhere += shared.slots - busy;
        }
    }
    if (const auto rates = arrivalRates_.find(pending.service); rates != arrivalRates_.end())
        outlook.arrivalsPerSecond =
                rates->second.perSecond(now) * static_cast<double>(instancesInRegion(now));
    const SlotTurn turn = turnWhenLate({work.mean, pending.deadlineAt - now}, outlook);
    // With as much room in another region, the request takes nothing from others there.
    if (freeElsewhere - 1 >= turn.reserved)
        return false;
    // A hold ends with a pass, and without other events tick() causes the next one.
    constexpr Milliseconds longestPassInterval{500};
    const bool isHeld = turn.decision == SlotDecision::Hold && turn.holdFor > longestPassInterval;
    if (isHeld)
        metrics_.increment("vane_gateway_holds_total", {{"service", pending.service}});
    return isHeld;
}

std::size_t Gateway::instancesInRegion(TimePoint now) const
{
    const auto others = std::ranges::count_if(fleet_.peers(), [&](const auto &entry) {
        const LoadReport &report = entry.second.report;
        return report.state == PeerState::Serving && fleet_.isAlive(entry.first, now)
                && settings_.regionOf(report.sender.zone) == region_;
    });
    return static_cast<std::size_t>(others) + 1;
}

Duration Gateway::retryAfterForRoom(const PendingRequest &pending, const WorkEstimate &work,
                                    TimePoint now)
{
    if (settings_.admission != AdmissionPolicy::FairShares)
        return std::min<Duration>(work.mean, maxRetryAfter);
    SlidingWindowCounter &refusals =
            refusals_.try_emplace(pending.service, maxReturnTime).first->second;
    ExpectedRoom room{.meanRun = work.mean,
                      .instances = static_cast<double>(instancesInRegion(now)),
                      .waiting = static_cast<double>(queues_[pending.service].size()),
                      .refused = static_cast<double>(refusals.count(now))};
    for (const auto &target : registry_.targetsOf(pending.service)) {
        if (target->region == region_ && registry_.isEligible(*target))
            room.slots += target->entry.slots;
    }
    refusals.add(now);
    return returnTime(room,
                      {.idHash = hash64(pending.id),
                       .run = work.mean,
                       .timeToAim = pending.aimAt - now,
                       .timeToDeadline = pending.deadlineAt - now});
}

} // namespace chestnutvane
