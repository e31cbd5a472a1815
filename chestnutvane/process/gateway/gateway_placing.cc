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

// Requests at the front of a long queue that each look concerns.
constexpr std::size_t firstLookedAt = 8;

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

void Gateway::schedulePump(const std::string &service, LookScope scope)
{
    auto &scheduled = scheduled_[service];
    const bool isNew = !scheduled;
    if (isNew || scope == LookScope::All)
        scheduled = scope;
    if (!isNew)
        return;
    net::post(io_, [this, service] {
        const auto due = std::exchange(scheduled_[service], std::nullopt);
        pump(service, due.value_or(LookScope::All));
    });
}

void Gateway::pump(const std::string &service, LookScope scope)
{
    const auto freed = std::exchange(freedTargets_[service], {});
    Queue &queue = queues_[service];
    if (queue.empty())
        return;
    const TimePoint now = Clock::now();
    auto views = viewTargets(service, now);
    // Requests that cannot meet their aim any more go last: they take no slot from one that can.
    std::stable_partition(queue.begin(), queue.end(), [this, now](const Pending &pending) {
        const auto work =
                times_.estimate(pending->route->name, pending->service, pending->route->aim);
        return pending->aimAt - now > work.warm + callerPath;
    });
    const Queue waiting = queue;
    const bool all = scope == LookScope::All || isShortLook(waiting.size(), views.size());
    if (all) {
        metrics_.increment("vane_gateway_looks_total", {{"service", service}});
        // A short look for one service does not end the pause after a long one for another.
        nextLook_ = std::max(nextLook_, now + pauseAfterLook(waiting.size(), views.size()));
    }
    std::unordered_map<std::uint64_t, std::size_t> places; // in views, by target hash
    for (std::size_t i = 0; i < views.size() && !all; ++i)
        places[views[i].target->hash] = i;
    std::vector<Candidate> candidates;
    std::vector<std::size_t> indices; // in views, for each candidate
    for (std::size_t position = 0; position < waiting.size(); ++position) {
        const Pending &pending = waiting[position];
        const auto planned = places.find(pending->plannedTarget);
        if (!all && position >= firstLookedAt && planned != places.end()
            && !freed.contains(pending->plannedTarget)) {
            views[planned->second].shared.ahead += 1; // its plan stands
            continue;
        }
        fillCandidates(*pending, views, candidates, indices);
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
            TargetView &chosen = views[indices[placement.index]];
            chosen.shared.ahead += 1;
            pending->plannedTarget = chosen.target->hash;
            logWait(*pending, *chosen.target, candidates[placement.index]);
            continue;
        }
        leaveQueue(pending);
        if (placement.action == PlacementAction::Refuse) {
            retryOrAnswer(pending, candidates.empty() ? "no-target" : "no-room");
            continue;
        }
        TargetView &chosen = views[indices[placement.index]];
        send(pending, chosen.target, candidates[placement.index], work);
        chosen.shared.load += 1;
        chosen.shared.unused = takesIntoUse(*chosen.target, now);
        chosen.shared.mayTake = mayTake(service, *chosen.target, now);
    }
    if (!all)
        reconsiderLater(); // what was passed over is looked at before long
}

std::vector<TargetView> Gateway::viewTargets(const std::string &service, TimePoint now)
{
    const auto &targets = registry_.targetsOf(service);
    const auto inRegion = std::count_if(targets.begin(), targets.end(), [this](const auto &target) {
        return target->region == region_;
    });
    const double queuedElsewhere =
            fleet_.queuedFor(hash64(service), region_, settings_.zoneRegions, now)
            / static_cast<double>(std::max<std::ptrdiff_t>(inRegion, 1));
    std::vector<TargetView> views;
    views.reserve(targets.size());
    for (const auto &target : targets) {
        if (!registry_.isOpen(*target))
            continue;
        const bool cold = target->coldUntil > now;
        TargetView view{target};
        Candidate &shared = view.shared;
        shared.ownRegion = target->region == region_;
        if (cold && !shared.ownRegion)
            continue; // the pace of a cold target is shared by the instances of its region
        shared.unused = takesIntoUse(*target, now);
        shared.slots = target->entry.slots;
        shared.load = target->inFlight + fleet_.inFlightAt(target->hash, now);
        shared.slowness = target->slowness * (cold ? coldTargetFactor : 1);
        shared.failureRate = target->failureRate;
        shared.roundTrip = roundTrip(*target);
        shared.mayTake = mayTake(service, *target, now);
        view.queuedElsewhere = queuedElsewhere;
        view.avoided = target->avoidedUntil > now;
        views.push_back(std::move(view));
    }
    return views;
}

void Gateway::fillCandidates(const PendingRequest &pending, const std::vector<TargetView> &views,
                             std::vector<Candidate> &candidates, std::vector<std::size_t> &indices)
{
    const std::size_t kept = keptObjects(pending.service).kept();
    const auto fill = [&](bool avoided) {
        candidates.clear();
        indices.clear();
        for (std::size_t i = 0; i < views.size(); ++i) {
            const TargetView &view = views[i];
            const Target &target = *view.target;
            if (view.avoided != avoided || !isHome(*pending.route, target.region)
                || std::find(pending.tried.begin(), pending.tried.end(), target.hash)
                        != pending.tried.end())
                continue;
            Candidate candidate = view.shared;
            if (candidate.ownRegion && candidate.load >= candidate.slots)
                candidate.ahead += view.queuedElsewhere;
            const auto depth = target.warm.depth(pending.object);
            candidate.warm = depth && *depth < kept;
            candidate.rank = unitInterval(hash64("rank", target.hash ^ pending.object))
                    * (candidate.warm ? warmRankWeight : 1);
            candidates.push_back(candidate);
            indices.push_back(i);
        }
    };
    fill(false);
    if (candidates.empty()) // targets that failed lately are better than none
        fill(true);
}

bool Gateway::mayTake(const std::string &service, const Target &target, TimePoint now)
{
    if (target.fullUntil > now || (target.failuresInRow > 0 && target.inFlight > 0))
        return false;
    if (target.coldUntil <= now)
        return true;
    const ServiceSpec *spec = table_ ? table_->service(service) : nullptr;
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
            && now - peer.receivedAt < silentButSending)
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
