// Placing of the waiting requests of a service on its targets.

#include <algorithm>

#include <boost/asio/post.hpp>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Time at which an answer of a target still reaches the caller before the aim has passed: twice
// the usual way between an instance and its callers.
constexpr Milliseconds callerPath{8};
// Run times on a cold target against those on others, for the moments before they are measured.
constexpr double coldTargetFactor = 2;
// Assumed round trips before the first connection has been measured.
constexpr Milliseconds assumedRoundTripInRegion{1};
constexpr Milliseconds assumedRoundTripAcross{100};
// Weight of the rank among targets that hold the object, against those that do not.
constexpr double warmRankWeight = 0.1;

bool isHome(const Route &route, const std::string &region)
{
    return route.homeRegions.empty()
            || std::find(route.homeRegions.begin(), route.homeRegions.end(), region)
            != route.homeRegions.end();
}

// Logs a request that waits, once.
void logWait(PendingRequest &pending, const Target &target, const Candidate &candidate)
{
    if (std::exchange(pending.waitLogged, true))
        return;
    logEvent(Event::RequestWaits,
             {{"request", pending.id},
              {"target", target.entry.id},
              {"warm", candidate.warm ? 1 : 0},
              {"load", candidate.load},
              {"ahead", candidate.ahead},
              {"slots", candidate.slots},
              {"queued", pending.queued},
              {"expected-ms", std::chrono::duration_cast<Milliseconds>(pending.expected).count()}});
}

} // namespace

void Gateway::schedulePump(const std::string &service)
{
    if (std::exchange(pumpScheduled_[service], true))
        return;
    net::post(io_, [this, service] {
        pumpScheduled_[service] = false;
        pump(service);
    });
}

void Gateway::pump(const std::string &service)
{
    Queue &queue = queues_[service];
    if (queue.empty())
        return;
    const TimePoint now = Clock::now();
    const auto &targets = registry_.targetsOf(service);
    std::vector<double> loads;
    loads.reserve(targets.size());
    std::size_t inRegion = 0;
    for (const auto &target : targets) {
        loads.push_back(target->inFlight + fleet_.inFlightAt(target->hash, now));
        target->planned = 0;
        inRegion += target->region == region_ ? 1 : 0;
    }
    const double queuedElsewhere =
            fleet_.queuedFor(hash64(service), region_, settings_.zoneRegions, now)
            / static_cast<double>(std::max<std::size_t>(inRegion, 1));
    // Requests that cannot meet their aim any more go last: they take no slot from one that can.
    std::stable_partition(queue.begin(), queue.end(), [this, now](const Pending &pending) {
        const auto work =
                times_.estimate(pending->route->name, pending->service, pending->route->aim);
        return pending->aimAt - now > work.warm + callerPath;
    });
    const Queue waiting = queue;
    for (const Pending &pending : waiting) {
        std::vector<std::size_t> indices;
        auto candidates = makeCandidates(pending, targets, loads, indices, now);
        for (Candidate &candidate : candidates) {
            if (candidate.ownRegion && candidate.load >= candidate.slots)
                candidate.ahead += queuedElsewhere;
        }
        TimePoint limit = pending->limitAt;
        if (end_)
            limit = std::min(limit, *end_);
        auto work = times_.estimate(pending->route->name, service, pending->route->aim);
        constexpr double bytesPerKilobyte = 1000;
        work.bodyKilobytes =
                static_cast<double>(pending->call.request->body().size()) / bytesPerKilobyte;
        const PlacementLimits limits{pending->aimAt - now - callerPath, limit - now};
        const Placement placement = place(candidates, work, limits, placement_);
        pending->expected = placement.expected;
        pending->candidates = candidates.size();
        pending->queued = waiting.size();
        if (placement.action == PlacementAction::Wait) {
            const std::size_t planned = indices[placement.index];
            ++targets[planned]->planned;
            logWait(*pending, *targets[planned], candidates[placement.index]);
            continue;
        }
        leaveQueue(pending);
        if (placement.action == PlacementAction::Refuse) {
            retryOrAnswer(pending, candidates.empty() ? "no-target" : "no-room");
            continue;
        }
        const std::size_t index = indices[placement.index];
        loads[index] += 1;
        send(pending, targets[index], candidates[placement.index], work);
    }
}

std::vector<Candidate> Gateway::makeCandidates(const Pending &pending,
                                               const std::vector<std::shared_ptr<Target>> &targets,
                                               const std::vector<double> &loads,
                                               std::vector<std::size_t> &indices, TimePoint now)
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> avoided; // used only if there is no other
    std::vector<std::size_t> avoidedIndices;
    const std::size_t kept = keptObjects(pending->service).kept();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        Target &target = *targets[i];
        if (!registry_.isOpen(target) || !isHome(*pending->route, target.region)
            || std::find(pending->tried.begin(), pending->tried.end(), target.hash)
                    != pending->tried.end())
            continue;
        const bool cold = target.coldUntil > now;
        Candidate candidate;
        candidate.ownRegion = target.region == region_;
        if (cold && !candidate.ownRegion)
            continue; // the pace of a cold target is shared by the instances of its region
        const auto depth = target.warm.depth(pending->object);
        candidate.warm = depth && *depth < kept;
        candidate.unused = takesIntoUse(target, now);
        candidate.slots = target.entry.slots;
        candidate.load = loads[i];
        candidate.ahead = target.planned;
        candidate.slowness = target.slowness * (cold ? coldTargetFactor : 1);
        candidate.failureRate = target.failureRate;
        candidate.roundTrip = roundTrip(target);
        candidate.rank = unitInterval(hash64("rank", target.hash ^ pending->object))
                * (candidate.warm ? warmRankWeight : 1);
        candidate.mayTake = mayTake(*pending, target, now);
        const bool isAvoided = target.avoidedUntil > now;
        (isAvoided ? avoided : candidates).push_back(candidate);
        (isAvoided ? avoidedIndices : indices).push_back(i);
    }
    if (!candidates.empty())
        return candidates;
    indices = avoidedIndices;
    return avoided;
}

bool Gateway::mayTake(const PendingRequest &pending, const Target &target, TimePoint now)
{
    if (target.fullUntil > now || (target.failuresInRow > 0 && target.inFlight > 0))
        return false;
    if (target.coldUntil <= now)
        return true;
    const ServiceSpec *spec = pending.table->service(pending.service);
    const ColdBound bound{spec == nullptr ? 0 : spec->coldPerSecond, settings_.coldOvershoot,
                          settings_.coldSlack};
    constexpr std::chrono::seconds paceWindow{1};
    auto &sends = coldSends_.try_emplace(target.hash, paceWindow).first->second;
    return sends.count(now) < coldShare(bound, instancesIn(target.region, now));
}

// Whether this instance is to send a new target its first request. One instance of the region does:
// a first request is slow, and if all sent one, a large scale-out would delay many. After a time
// all may.
bool Gateway::takesIntoUse(const Target &target, TimePoint now) const
{
    constexpr std::chrono::seconds othersWait{2};
    if (target.used || target.region != region_)
        return false;
    if (now - target.joined >= othersWait)
        return true;
    const std::uint64_t own = hash64(settings_.instanceId, target.hash);
    return std::none_of(fleet_.peers().begin(), fleet_.peers().end(), [&](const auto &entry) {
        const LoadReport &report = entry.second.report;
        return report.state == PeerState::Serving && fleet_.isAlive(entry.first, now)
                && settings_.regionOf(report.sender.zone) == region_
                && hash64(entry.first, target.hash) < own;
    });
}

std::size_t Gateway::instancesIn(const std::string &region, TimePoint now) const
{
    std::size_t count = region == region_ ? 1 : 0;
    for (const auto &[id, peer] : fleet_.peers()) {
        // An instance that is silent may still send, so it counts for longer than it is alive.
        constexpr std::chrono::seconds silentButSending{10};
        if (settings_.regionOf(peer.report.sender.zone) == region
            && now - peer.heard < silentButSending)
            ++count;
    }
    return count;
}

Duration Gateway::roundTrip(const Target &target) const
{
    if (const auto found = roundTrips_.find(target.entry.zone); found != roundTrips_.end())
        return found->second;
    return target.region == region_ ? assumedRoundTripInRegion : assumedRoundTripAcross;
}

} // namespace chestnutvane
