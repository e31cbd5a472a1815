// Placement of the waiting requests of a service on its targets.

#include <algorithm>

#include <boost/asio/post.hpp>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/admission/pause_wait.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Run time on a target in its cold start, relative to other targets, until it has been measured.
constexpr double coldStartFactor = 2;
// Assumed round trip times before the first connection to a zone.
constexpr Milliseconds assumedRoundTripInRegion{1};
constexpr Milliseconds assumedRoundTripCrossRegion{100};
// Weight of the affinity rank among targets that hold the object, relative to other targets.
constexpr double warmRankWeight = 0.1;

// Requests that may wait at a target for each of its slots, for services that are placed by work. A
// slot is free again sooner than a report can tell, so that waiting here would leave slots unused.
constexpr double sendAheadPerSlot = 1;

// Requests at the head of a long queue that every pass covers.
constexpr std::size_t queueHeadSize = 8;

bool isHomeRegion(const PendingRequest &pending, const std::string &region)
{
    const auto &homes = pending.homeRegions;
    return !homes || std::find(homes->begin(), homes->end(), region) != homes->end();
}

// Logs once per request that it waits.
void logWait(PendingRequest &pending, const Target &target, const Candidate &candidate)
{
    if (std::exchange(pending.waitLogged, true))
        return;
    logEvent(Event::RequestWaits,
             {{"request", pending.id},
              {"target", target.entry.id},
              {"warm", candidate.warm ? 1 : 0},
              {"load", candidate.load},
              {"ahead", candidate.queueLength},
              {"slots", candidate.slots},
              {"queued", pending.queueSize},
              {"expected-ms",
               std::chrono::duration_cast<Milliseconds>(pending.expectedResponseTime).count()}});
}

} // namespace

void Gateway::schedulePass(const std::string &service, PassScope scope)
{
    auto &scheduled = scheduledPasses_[service];
    const bool isNew = !scheduled;
    if (isNew || scope == PassScope::All)
        scheduled = scope;
    if (!isNew)
        return;
    net::post(io_, [this, service] {
        const auto dueScope = std::exchange(scheduledPasses_[service], std::nullopt);
        runPass(service, dueScope.value_or(PassScope::All));
    });
}

void Gateway::runPass(const std::string &service, PassScope scope)
{
    const auto freedTargets = std::exchange(freedTargets_[service], {});
    Queue &queue = queues_[service];
    if (queue.empty())
        return;
    const TimePoint now = Clock::now();
    auto snapshots = snapshotTargets(service, now);
    const Queue waiting = orderQueue(service, snapshots, now);
    const bool placedByWork = isPlacedByWork(service);
    const bool isFullPass =
            scope == PassScope::All || isShortPass(waiting.size(), snapshots.size());
    if (isFullPass) {
        metrics_.increment("vane_gateway_looks_total", {{"service", service}});
        // A short pass for one service must not end the pause after a long pass for another.
        earliestFullPass_ =
                std::max(earliestFullPass_, now + pauseAfterPass(waiting.size(), snapshots.size()));
    }
    std::unordered_map<std::uint64_t, std::size_t> snapshotIndices; // in snapshots, by target hash
    for (std::size_t i = 0; i < snapshots.size() && !isFullPass; ++i)
        snapshotIndices[snapshots[i].target->hash] = i;
    std::vector<Candidate> candidates;
    std::vector<std::size_t> indices; // in snapshots, for each candidate
    for (std::size_t position = 0; position < waiting.size(); ++position) {
        const Pending &pending = waiting[position];
        const auto planned = snapshotIndices.find(pending->plannedTarget);
        if (!isFullPass && position >= queueHeadSize && planned != snapshotIndices.end()
            && !freedTargets.contains(pending->plannedTarget)) {
            // The request keeps its planned target.
            snapshots[planned->second].shared.queueLength += 1;
            continue;
        }
        if (!updatePolicy(*pending)) {
            dequeue(pending);
            answerRevoked(pending);
            continue;
        }
        fillCandidates(*pending, snapshots, candidates, indices);
        if (candidates.empty()) {
            awaitReturnOrAnswer(pending, now);
            continue;
        }
        auto work = runTimes_.estimate(pending->route->name, service, pending->route->aim);
        constexpr double bytesPerKilobyte = 1000;
        const auto responseSize = responseSizes_.find(pending->route->name);
        const double bytes = static_cast<double>(pending->call.request->body().size())
                + (responseSize == responseSizes_.end() ? 0 : responseSize->second);
        work.bodyKilobytes = bytes / bytesPerKilobyte;
        if (!placedByWork)
            work.costs = nullptr; // learned at another service of the route's split
        const PlacementLimits limits{pending->aimAt - now - callerTransitTime,
                                     pending->deadlineAt - now};
        const Placement placement =
                place(candidates, work, limits,
                      placedByWork ? workPlacementSettings() : placementSettings_);
        pending->expectedResponseTime = placement.expectedResponseTime;
        pending->candidateCount = candidates.size();
        pending->queueSize = waiting.size();
        if (shutdown_ && placement.action != PlacementAction::Refuse
            && !maySendBeforeShutdown(*shutdown_,
                                      {now, pending->deadlineAt, placement.expectedResponseTime,
                                       pending->route->repeat == Repeat::Idempotent})) {
            dequeue(pending);
            answerUnserved(pending, "shutdown", immediateRetryAfter);
            continue;
        }
        const bool isSent = placement.action == PlacementAction::Send
                || isQueuedAtTarget(*pending, candidates[placement.index], work, now);
        if (!isSent && placement.action == PlacementAction::Wait) {
            TargetSnapshot &chosen = snapshots[indices[placement.index]];
            chosen.shared.queueLength += 1;
            pending->plannedTarget = chosen.target->hash;
            logWait(*pending, *chosen.target, candidates[placement.index]);
            continue;
        }
        dequeue(pending);
        if (!isSent) {
            answerUnserved(pending, "no-room",
                           pending->refusedWithFreeSlot ? immediateRetryAfter
                                                        : retryAfterForRoom(*pending, work, now));
            continue;
        }
        TargetSnapshot &chosen = snapshots[indices[placement.index]];
        send(pending, chosen.target, candidates[placement.index], work);
        chosen.shared.load += 1;
        chosen.shared.needsFirstRequest = shouldSendFirstRequest(*chosen.target, now);
        chosen.shared.sendAllowed = isSendAllowed(service, *chosen.target, now);
    }
    if (!isFullPass)
        scheduleThrottledPasses(); // covers the skipped requests
}

std::vector<TargetSnapshot> Gateway::snapshotTargets(const std::string &service, TimePoint now)
{
    const auto &targets = registry_.targetsOf(service);
    const auto inRegion = std::count_if(targets.begin(), targets.end(), [this](const auto &target) {
        return target->region == region_;
    });
    const double peerQueueLength =
            fleet_.queuedFor(hash64(service), region_, settings_.zoneRegions, now)
            / static_cast<double>(std::max<std::ptrdiff_t>(inRegion, 1));
    const bool placedByWork = isPlacedByWork(service);
    std::vector<TargetSnapshot> snapshots;
    snapshots.reserve(targets.size());
    for (const auto &target : targets) {
        if (!registry_.isEligible(*target) || target->pausedUntil > now)
            continue;
        // The other half of the drain time is left for the run.
        if (target->leavingSince && now >= *target->leavingSince + settings_.drainTime / 2)
            continue;
        const bool inColdStart = target->coldStartUntil > now;
        TargetSnapshot snapshot{target};
        Candidate &shared = snapshot.shared;
        shared.sameRegion = target->region == region_;
        shared.region =
                regionNumbers_.try_emplace(target->region, regionNumbers_.size()).first->second;
        // Only instances of the target's region share its cold-start rate limit, and those without
        // a share must not wait for it.
        if (inColdStart && (!shared.sameRegion || coldPhaseShare(service, *target, now) == 0))
            continue;
        shared.needsFirstRequest = shouldSendFirstRequest(*target, now);
        shared.slots = target->entry.slots;
        shared.load = target->inFlight + fleet_.inFlightAt(target->hash, now);
        const double factor = placedByWork ? target->speed.factorAt(now) : target->runTimeFactor;
        shared.runTimeFactor = factor * (inColdStart ? coldStartFactor : 1);
        if (placedByWork)
            shared.sendAhead = sendAheadPerSlot * shared.slots;
        shared.failureRate = target->failureRate;
        shared.roundTrip = roundTrip(*target);
        shared.sendAllowed = isSendAllowed(service, *target, now);
        snapshot.peerQueueLength = peerQueueLength;
        if (target->leavingSince)
            snapshot.tier = TargetTier::Leaving;
        else if (target->backOffUntil > now)
            snapshot.tier = TargetTier::InBackOff;
        snapshots.push_back(std::move(snapshot));
    }
    return snapshots;
}

void Gateway::fillCandidates(const PendingRequest &pending,
                             const std::vector<TargetSnapshot> &snapshots,
                             std::vector<Candidate> &candidates, std::vector<std::size_t> &indices)
{
    const std::size_t warmCapacity = warmCapacityOf(pending.service).warmCapacity();
    // Requests without an object are spread, or all instances would choose the same few targets.
    const std::uint64_t rankKey = pending.object != 0 ? pending.object : hash64(pending.id);
    const auto fill = [&](TargetTier tier) {
        candidates.clear();
        indices.clear();
        for (std::size_t i = 0; i < snapshots.size(); ++i) {
            const TargetSnapshot &snapshot = snapshots[i];
            const Target &target = *snapshot.target;
            if (snapshot.tier != tier || !isHomeRegion(pending, target.region)
                || std::find(pending.triedTargets.begin(), pending.triedTargets.end(), target.hash)
                        != pending.triedTargets.end())
                continue;
            Candidate candidate = snapshot.shared;
            if (candidate.sameRegion && candidate.load >= candidate.slots)
                candidate.queueLength += snapshot.peerQueueLength;
            const auto depth = target.warmObjects.depth(pending.object);
            candidate.warm = depth && *depth < warmCapacity;
            candidate.affinityRank = unitInterval(hash64("rank", target.hash ^ rankKey))
                    * (candidate.warm ? warmRankWeight : 1);
            candidates.push_back(candidate);
            indices.push_back(i);
        }
    };
    for (const auto tier : {TargetTier::Usable, TargetTier::InBackOff, TargetTier::Leaving}) {
        fill(tier);
        if (!candidates.empty())
            return;
    }
}

std::optional<TimePoint> Gateway::earliestReturn(const PendingRequest &pending, TimePoint now,
                                                 bool isUntried) const
{
    std::optional<TimePoint> earliest;
    for (const auto &target : registry_.targetsOf(pending.service)) {
        const auto &tried = pending.triedTargets;
        if (target->pausedUntil <= now || target->leavingSince || !registry_.isEligible(*target)
            || !isHomeRegion(pending, target->region)
            || (isUntried && std::find(tried.begin(), tried.end(), target->hash) != tried.end()))
            continue;
        earliest = std::min(earliest.value_or(target->pausedUntil), target->pausedUntil);
    }
    return earliest;
}

void Gateway::awaitReturnOrAnswer(const Pending &pending, TimePoint now)
{
    const auto work =
            runTimes_.estimate(pending->route->name, pending->service, pending->route->aim);
    if (const auto at = earliestReturn(*pending, now, true)) {
        const ShutdownRequest request{*at, pending->deadlineAt, work.mean,
                                      pending->route->repeat == Repeat::Idempotent};
        if (shouldAwaitReturn(*at, {now, pending->deadlineAt, work.mean})
            && (!shutdown_ || maySendBeforeShutdown(*shutdown_, request))) {
            pending->plannedTarget = 0;
            if (pauseTimer_.expiry() <= now || *at < pauseTimer_.expiry()) {
                pauseTimer_.expires_at(*at);
                pauseTimer_.async_wait([this](const boost::system::error_code &ended) {
                    if (!ended)
                        scheduleFullPasses();
                });
            }
            return;
        }
    }
    dequeue(pending);
    if (const auto at = earliestReturn(*pending, now, false))
        return answerUnserved(pending, "targets-pause", *at - now);
    answerUnserved(pending, "no-target",
                   pending->refusedWithFreeSlot ? immediateRetryAfter
                                                : retryAfterForRoom(*pending, work, now));
}

// Only the team and the home regions follow the newest revision. Everything else of the route is
// bound at the arrival of the request, as an attempt may have been made on it already.
bool Gateway::updatePolicy(PendingRequest &pending) const
{
    if (pending.policyTable == table_)
        return true;
    const HttpRequestMessage &request = *pending.call.request;
    const auto text = [](const auto &view) { return std::string_view(view.data(), view.size()); };
    const Route *route = table_->find(text(request[http::field::host]), text(request.target()));
    const Route &policyRoute = route != nullptr ? *route : *pending.route;
    const Access access = accessFor(request, *table_, policyRoute);
    if (!access.isAllowed())
        return false;
    setPolicy(pending, table_, policyRoute, access.team);
    return true;
}

bool Gateway::isSendAllowed(const std::string &service, const Target &target, TimePoint now)
{
    if (target.fullUntil > now || (target.consecutiveFailures > 0 && target.inFlight > 0))
        return false;
    if (target.coldStartUntil <= now)
        return true;
    constexpr std::chrono::seconds rateWindow{1};
    auto &sends = coldStartAttempts_.try_emplace(target.hash, rateWindow).first->second;
    return sends.count(now) < coldPhaseShare(service, target, now);
}

Duration Gateway::roundTrip(const Target &target) const
{
    if (const auto found = roundTrips_.find(target.entry.zone); found != roundTrips_.end())
        return found->second;
    return target.region == region_ ? assumedRoundTripInRegion : assumedRoundTripCrossRegion;
}

} // namespace chestnutvane
