#include "chestnutvane/process/gateway/work/work_placement_simulation.h"

#include <algorithm>
#include <utility>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr int slots = 4;
constexpr std::size_t targetQueue = 12; // further requests that a target accepts
constexpr std::size_t warmCapacity = 24; // objects that a target holds
constexpr int objectsPerTarget = 8;
constexpr int coldMs = 550;
constexpr int warmMs = 165;
constexpr int aimMs = 600;
constexpr int limitMs = 4000;
constexpr int reportDelayMs = 30;
constexpr int speedPeriodMs = 600;
constexpr int decayPeriodMs = 500;
constexpr double decayShare = 0.05;
constexpr double costlyFactor = 7;
constexpr double slowFactor = 2.5;
constexpr double utilization = 0.9; // of the slots, if each request runs where its object is held
constexpr int passPeriodMs = 10; // of passes without an arrival or answer
constexpr double warmRankWeight = 0.1;
constexpr double usualPercent = 100;
constexpr const char *route = "route";
constexpr const char *service = "service";

} // namespace

WorkPlacementSimulation::WorkPlacementSimulation(const SimulatedLoad &load, PlacementPolicy policy)
    : load_(load), policy_(policy), targets_(load.targets), instances_(load.instances),
      reportedSums_(load.targets, 0)
{
    for (Instance &instance : instances_)
        instance.views.resize(load.targets);
    // Each object is held by two targets at the start.
    ranks_.resize(objectsPerTarget * load.targets * load.targets);
    for (std::size_t object = 0; object < objectsPerTarget * load.targets; ++object) {
        targets_[object % load.targets].warmObjects.touch(object, warmCapacity);
        targets_[hash64("second", object) % load.targets].warmObjects.touch(object, warmCapacity);
        for (std::size_t i = 0; i < load.targets; ++i)
            ranks_[object * load.targets + i] =
                    unitInterval(hash64("rank", object * load.targets + i));
    }
    // Each target changes its speed at a time of its own.
    std::uniform_int_distribution<int> phase(0, speedPeriodMs - 1);
    for (SimulatedTarget &target : targets_)
        target.nextChange = phase(speeds_);
}

SimulatedOutcome WorkPlacementSimulation::run(int seconds)
{
    const double meanCost = 1 + load_.costlyShare * (costlyFactor - 1);
    const double meanSlowness = 1 + load_.slowShare * (slowFactor - 1);
    const double perMs = utilization * slots * static_cast<double>(load_.targets)
            / (warmMs * meanCost * meanSlowness);
    std::poisson_distribution<int> arrivals(perMs);
    std::uniform_int_distribution<std::uint64_t> object(0, objectsPerTarget * load_.targets - 1);
    std::uniform_int_distribution<std::size_t> instance(0, instances_.size() - 1);
    std::uniform_real_distribution<double> body(0.85, 1.15);
    std::bernoulli_distribution isCostly(load_.costlyShare);
    for (now_ = 0; now_ < seconds * 1000 + limitMs; ++now_) {
        for (int i = now_ < seconds * 1000 ? arrivals(arrivals_) : 0; i > 0; --i) {
            const double cost = body(arrivals_) * (isCostly(arrivals_) ? costlyFactor : 1);
            Instance &receiver = instances_[instance(arrivals_)];
            receiver.waiting.push_back({now_, object(arrivals_), cost});
            receiver.isPassDue = true;
            ++asked_;
        }
        advanceTargets();
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const auto phase = static_cast<int>(i) * load_.reportPeriodMs
                    / static_cast<int>(instances_.size());
            if ((now_ + phase) % load_.reportPeriodMs == 0)
                report(i);
            if (std::exchange(instances_[i].isPassDue, false) || now_ % passPeriodMs == 0)
                placeAll(i);
        }
        if (now_ % decayPeriodMs == 0)
            decay();
    }
    std::sort(responseTimes_.begin(), responseTimes_.end());
    const auto quantile = [this](double share) {
        const auto last = static_cast<double>(responseTimes_.size() - 1);
        return responseTimes_.empty() ? 0 : responseTimes_[static_cast<std::size_t>(last * share)];
    };
    return {static_cast<double>(inAim_) / std::max(asked_, 1), quantile(0.5), quantile(0.99)};
}

bool WorkPlacementSimulation::isCutOff(std::size_t instance) const
{
    return load_.isOneInstanceCutOff && instance == 0;
}

int WorkPlacementSimulation::statedPercent(std::size_t target) const
{
    constexpr std::size_t lyingStride = 12;
    const bool lies = load_.doTargetsLie && target % lyingStride == 0;
    const bool saysSlow = targets_[target].slow != lies;
    return static_cast<int>(saysSlow ? slowFactor * usualPercent : usualPercent);
}

void WorkPlacementSimulation::advanceTargets()
{
    std::bernoulli_distribution isSlow(load_.slowShare);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        SimulatedTarget &target = targets_[i];
        if (now_ >= target.nextChange) {
            target.slow = isSlow(speeds_);
            target.nextChange += speedPeriodMs;
        }
        std::erase_if(target.running, [this, i](const Run &run) {
            if (run.end > now_)
                return false;
            onAnswer(i, run);
            return true;
        });
        while (target.running.size() < slots && !target.queued.empty()) {
            Run run = target.queued.front();
            target.queued.pop_front();
            const int usual = target.warmObjects.contains(run.request.object) ? warmMs : coldMs;
            run.end = now_
                    + static_cast<int>(usual * run.request.cost * (target.slow ? slowFactor : 1));
            target.warmObjects.touch(run.request.object, warmCapacity);
            target.running.push_back(run);
        }
    }
}

void WorkPlacementSimulation::onAnswer(std::size_t target, const Run &run)
{
    const int responseTime = run.end - run.request.arrival;
    responseTimes_.push_back(responseTime);
    inAim_ += responseTime <= aimMs ? 1 : 0;
    Instance &instance = instances_[run.instance];
    View &view = instance.views[target];
    instance.isPassDue = true;
    --view.inFlight;
    const Milliseconds elapsed(run.end - run.sent);
    const Duration expected = run.sentWarm ? run.estimate.warm : run.estimate.cold;
    if (policy_ == PlacementPolicy::ByRunTime) {
        constexpr double weight = 0.2;
        const double ratio = std::clamp(Seconds(elapsed) / Seconds(expected), 0.5, 20.0);
        view.runTimeFactor += (ratio - view.runTimeFactor) * weight;
        if (view.runTimeFactor < 1.5)
            instance.runTimes.learn(route, service,
                                    RunTimeEstimator::isWarmRun(run.estimate, elapsed), elapsed);
        return;
    }
    const int percent = statedPercent(target);
    const double word = speedFactor(percent).value_or(1);
    const auto cost = std::chrono::duration_cast<Duration>(Seconds(elapsed) / word);
    const auto wasWarm = RunTimeEstimator::classifyRun(run.estimate, cost);
    const bool countsAsWarm = wasWarm.value_or(run.sentWarm);
    view.speed.hear(word, time(now_));
    if (word > 1)
        instance.words.push_back({target, word, now_});
    const bool mayHaveWaited = run.sentAhead || !targets_[target].queued.empty();
    if (mayHaveWaited && run.estimate.measured)
        return;
    view.speed.learn(cost, countsAsWarm ? run.estimate.warm : run.estimate.cold);
    instance.runTimes.learnCost(route, service, countsAsWarm, cost);
}

void WorkPlacementSimulation::report(std::size_t index)
{
    Instance &sender = instances_[index];
    std::bernoulli_distribution isLost(load_.lostReportShare);
    if (!isCutOff(index) && !isLost(random_)) {
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            View &view = sender.views[i];
            reportedSums_[i] += view.inFlight - view.reported;
            view.reported = view.inFlight;
        }
        for (const SpeedWord &word : sender.words) {
            for (std::size_t other = 0; other < instances_.size(); ++other) {
                if (!isCutOff(other) && other != index)
                    instances_[other].views[word.target].speed.hear(
                            word.factor, time(word.statedAt - reportDelayMs));
            }
        }
    }
    sender.words.clear();
}

void WorkPlacementSimulation::decay()
{
    for (Instance &instance : instances_) {
        for (View &view : instance.views) {
            view.speed.decay(decayShare);
            view.runTimeFactor += (1 - view.runTimeFactor) * decayShare;
        }
    }
}

void WorkPlacementSimulation::fillCandidates(std::size_t index, std::vector<Candidate> &candidates)
{
    const Instance &instance = instances_[index];
    const bool byWork = policy_ == PlacementPolicy::ByWork;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const View &view = instance.views[i];
        Candidate &candidate = candidates[i];
        candidate.slots = slots;
        candidate.load = view.inFlight;
        if (!isCutOff(index))
            candidate.load += reportedSums_[i] - view.reported;
        candidate.runTimeFactor = byWork ? view.speed.factorAt(time(now_)) : view.runTimeFactor;
        candidate.sendAhead = byWork ? slots : 0;
    }
}

Placement WorkPlacementSimulation::choose(const Request &request, std::size_t index,
                                          std::vector<Candidate> &candidates,
                                          const WorkEstimate &work)
{
    if (policy_ == PlacementPolicy::ByWork || policy_ == PlacementPolicy::ByRunTime) {
        const int age = now_ - request.arrival;
        return place(candidates, work, {Milliseconds(aimMs - age), Milliseconds(limitMs - age)},
                     policy_ == PlacementPolicy::ByWork ? workPlacementSettings()
                                                        : PlacementSettings{});
    }
    // The baselines choose among the targets that hold the object, if there are any.
    const bool isAnyWarm = std::any_of(candidates.begin(), candidates.end(),
                                       [](const Candidate &candidate) { return candidate.warm; });
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isAnyWarm || candidates[i].warm)
            usable.push_back(i);
    }
    if (policy_ == PlacementPolicy::TwoChoices) {
        std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
        usable = {usable[pick(random_)], usable[pick(random_)]};
    }
    std::rotate(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(index % usable.size()),
                usable.end());
    const auto least = std::min_element(usable.begin(), usable.end(),
                                        [&candidates](std::size_t a, std::size_t b) {
                                            return candidates[a].load < candidates[b].load;
                                        });
    return {PlacementAction::Send, *least, Duration{0}};
}

void WorkPlacementSimulation::placeAll(std::size_t index)
{
    Instance &instance = instances_[index];
    if (instance.waiting.empty())
        return;
    std::vector<Candidate> candidates(targets_.size());
    fillCandidates(index, candidates);
    std::erase_if(instance.waiting, [&](const Request &request) {
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            candidates[i].warm = targets_[i].warmObjects.contains(request.object);
            candidates[i].affinityRank = ranks_[request.object * targets_.size() + i]
                    * (candidates[i].warm ? warmRankWeight : 1);
        }
        const WorkEstimate work = instance.runTimes.estimate(route, service, Milliseconds(aimMs));
        const Placement placement = choose(request, index, candidates, work);
        Candidate &chosen = candidates[placement.index];
        if (placement.action == PlacementAction::Wait) {
            chosen.queueLength += 1;
            return false;
        }
        SimulatedTarget &target = targets_[placement.index];
        if (placement.action == PlacementAction::Refuse || target.queued.size() >= targetQueue)
            return true;
        chosen.load += 1;
        View &view = instance.views[placement.index];
        ++view.inFlight;
        const bool sentAhead = chosen.load > chosen.slots;
        target.queued.push_back({request, index, chosen.warm, sentAhead, work, now_, 0});
        return true;
    });
}

} // namespace chestnutvane
