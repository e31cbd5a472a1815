#include "chestnutvane/process/gateway/admission/admission_model.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr TimePoint modelBegin{};
constexpr Milliseconds step{5};
// Requests that a target queues beyond its slots.
constexpr int targetQueue = 24;
// Share of the time between aim and deadline that a late answer may take, as in placement.
constexpr double lateWaitShare = 0.3;

bool isWithin(const ModelBurst &burst, TimePoint time)
{
    return time >= modelBegin + burst.from && time < modelBegin + burst.to;
}

} // namespace

AdmissionModel::AdmissionModel(ModelSetup setup, ModelPolicy policy, unsigned seed)
    : setup_(std::move(setup)), policy_(policy), random_(seed), targets_(setup_.targets),
      instances_(setup_.instances)
{
    Seconds work{0};
    double perSecond = 0;
    for (const ModelKind &kind : setup_.kinds) {
        work += Seconds(kind.run) * kind.perSecond;
        perSecond += kind.perSecond;
    }
    meanRun_ = std::chrono::duration_cast<Duration>(work / perSecond);
    for (InstanceState &state : instances_) {
        state.inFlight.assign(setup_.targets, 0);
        state.reportedInFlight.assign(setup_.targets, 0);
    }
    result_.kinds.resize(setup_.kinds.size());
    result_.kindsInBurst.resize(setup_.kinds.size());
    result_.teamsInBurst.resize(setup_.teamWeights.size());
}

ModelResult AdmissionModel::run()
{
    constexpr Milliseconds ending{5000};
    const TimePoint end = modelBegin + setup_.length;
    std::size_t nextReport = 0;
    for (; now_ < end + ending; now_ += step) {
        if (now_ < end)
            addArrivals();
        for (std::size_t target = 0; target < targets_.size(); ++target)
            advanceTarget(target);
        const Duration reportGap = setup_.reportInterval / setup_.instances;
        for (; modelBegin + reportGap * nextReport <= now_; ++nextReport)
            report(nextReport % instances_.size());
        for (std::size_t i = 0; i < instances_.size(); ++i)
            place(i);
    }
    return std::move(result_);
}

void AdmissionModel::addArrivals()
{
    std::vector<double> weights = setup_.teamWeights;
    if (isWithin(setup_.teamBurst, now_))
        weights[setup_.burstTeam] *= setup_.teamBurst.factor;
    const double demand = std::accumulate(weights.begin(), weights.end(), 0.0)
            / std::accumulate(setup_.teamWeights.begin(), setup_.teamWeights.end(), 0.0);
    std::discrete_distribution<std::size_t> teams(weights.begin(), weights.end());
    std::uniform_int_distribution<std::size_t> instance(0, instances_.size() - 1);
    std::uniform_real_distribution<double> runFactor(0.6, 1.4);
    for (std::size_t i = 0; i < setup_.kinds.size(); ++i) {
        const ModelKind &kind = setup_.kinds[i];
        const double factor = isWithin(kind.burst, now_) ? kind.burst.factor : 1;
        std::poisson_distribution<int> arrivals(kind.perSecond * demand * factor
                                                * Seconds(step).count());
        for (int left = arrivals(random_); left > 0; --left) {
            Request request{.kind = i, .team = teams(random_), .arrival = now_};
            request.run = std::chrono::duration_cast<Duration>(kind.run * runFactor(random_));
            accept(request, instance(random_));
        }
    }
    const auto due = std::partition(returning_.begin(), returning_.end(),
                                    [this](const auto &entry) { return entry.first > now_; });
    for (auto entry = due; entry != returning_.end(); ++entry)
        accept(entry->second, instance(random_));
    returning_.erase(due, returning_.end());
}

void AdmissionModel::accept(Request request, std::size_t instance)
{
    request.instance = instance;
    InstanceState &state = instances_[instance];
    const ModelKind &kind = kindOf(request);
    state.arrivals.onArrival(kind.importance, now_);
    state.shares.onAsked(request.team + 1, kind.run, now_);
    state.waiting.push_back(request);
}

void AdmissionModel::start(std::size_t target, const Request &request)
{
    targets_[target].running.push_back({request, now_ + request.run});
}

void AdmissionModel::advanceTarget(std::size_t target)
{
    TargetState &state = targets_[target];
    std::erase_if(state.running, [&](const Running &running) {
        if (running.endsAt > now_)
            return false;
        --instances_[running.request.instance].inFlight[target];
        count(running.request, true);
        return true;
    });
    while (!state.queue.empty() && state.running.size() < static_cast<std::size_t>(setup_.slots)) {
        start(target, state.queue.front());
        state.queue.pop_front();
    }
}

void AdmissionModel::report(std::size_t instance)
{
    InstanceState &sender = instances_[instance];
    sender.reportedInFlight = sender.inFlight;
    sender.shares.update(now_);
    const auto uses = sender.shares.report(now_);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (i != instance)
            instances_[i].shares.applyReport(instance, uses, now_);
    }
}

void AdmissionModel::order(InstanceState &state) const
{
    const auto isLate = [this](const Request &request) {
        return timeToAim(request) <= kindOf(request).run;
    };
    if (policy_ == ModelPolicy::ImportanceFirst) {
        std::ranges::stable_sort(state.waiting, {}, [&](const Request &request) {
            return std::tuple(isLate(request), kindOf(request).importance, request.arrival);
        });
    } else if (policy_ == ModelPolicy::FairShares) {
        std::vector<QueuedRequest> queued;
        for (const Request &request : state.waiting) {
            const ModelKind &kind = kindOf(request);
            queued.push_back({!canMeetAim(kind.run, timeToAim(request), kind.aim), kind.importance,
                              request.arrival, request.team + 1, kind.run});
        }
        std::vector<Request> ordered;
        for (const std::size_t index : fairOrder(queued, state.shares, now_))
            ordered.push_back(state.waiting[index]);
        state.waiting = std::move(ordered);
        if (state.waiting.size() > 1)
            state.shares.onShortage(now_);
    }
}

bool AdmissionModel::isHeld(const InstanceState &state, const Request &request,
                            const std::vector<int> &loads) const
{
    const ModelKind &kind = kindOf(request);
    if (canMeetAim(kind.run, timeToAim(request), kind.aim))
        return false;
    const auto addBusy = [this](int sum, int load) { return sum + std::min(load, setup_.slots); };
    const SlotOutlook outlook{
            .slots = static_cast<double>(setup_.targets) * setup_.slots,
            .busy = static_cast<double>(std::accumulate(loads.begin(), loads.end(), 0, addBusy)),
            .meanRun = meanRun_,
            .arrivalsPerSecond =
                    static_cast<double>(instances_.size()) * state.arrivals.perSecond(now_),
            .reportInterval = setup_.reportInterval};
    return turnWhenLate({kind.run, timeToLimit(request)}, outlook).decision == SlotDecision::Hold;
}

bool AdmissionModel::isQueuedAt(const InstanceState &state, const Request &request, int load) const
{
    const ModelKind &kind = kindOf(request);
    return mayQueueAtTarget(
            {.run = kind.run,
             .timeToAim = timeToAim(request),
             .slots = setup_.slots,
             .load = static_cast<double>(load),
             .meanRun = meanRun_,
             .targetQueue = targetQueue,
             .instances = instances_.size(),
             .lessImportantShare = state.arrivals.lessImportantShare(kind.importance, now_)});
}

bool AdmissionModel::canBeServed(const Request &request, std::size_t ahead) const
{
    const double slots = static_cast<double>(setup_.targets) * setup_.slots;
    const Seconds wait =
            Seconds(meanRun_) * static_cast<double>((ahead + 1) * instances_.size()) / slots;
    const Seconds aimLeft = std::max(timeToAim(request), Duration{0});
    const Seconds limit = aimLeft + (Seconds(timeToLimit(request)) - aimLeft) * lateWaitShare;
    return wait + kindOf(request).run <= limit;
}

void AdmissionModel::place(std::size_t instance)
{
    InstanceState &state = instances_[instance];
    order(state);
    std::vector<int> loads = state.inFlight;
    for (std::size_t other = 0; other < instances_.size(); ++other) {
        for (std::size_t i = 0; i < loads.size() && other != instance; ++i)
            loads[i] += instances_[other].reportedInFlight[i];
    }
    std::vector<Request> kept;
    for (const Request &request : state.waiting) {
        // Instances start at different targets, or all would choose the same one.
        std::size_t target = instance % loads.size();
        for (std::size_t i = 0; i < loads.size(); ++i) {
            if (const auto next = (instance + i) % loads.size(); loads[next] < loads[target])
                target = next;
        }
        const bool isFree = loads[target] < setup_.slots;
        const bool isFair = policy_ == ModelPolicy::FairShares;
        if (policy_ != ModelPolicy::LeastLoaded
            && !(isFair && isQueuedAt(state, request, loads[target]))) {
            if (!isFree && !canBeServed(request, kept.size())) {
                refuse(request, state);
                continue;
            }
            if (!isFree || (isFair && isHeld(state, request, loads))) {
                kept.push_back(request);
                continue;
            }
        }
        TargetState &chosen = targets_[target];
        const bool mayRun = chosen.running.size() < static_cast<std::size_t>(setup_.slots);
        if (!mayRun && chosen.queue.size() >= static_cast<std::size_t>(targetQueue)) {
            refuse(request, state);
            continue;
        }
        state.shares.onSent(request.team + 1, kindOf(request).run, now_);
        ++state.inFlight[target];
        ++loads[target];
        if (mayRun)
            start(target, request);
        else
            chosen.queue.push_back(request);
    }
    state.waiting = std::move(kept);
}

void AdmissionModel::refuse(const Request &request, InstanceState &state)
{
    if (request.hasReturned)
        return count(request, false);
    while (!state.refusals.empty() && now_ - state.refusals.front() > maxReturnTime)
        state.refusals.pop_front();
    const ModelKind &kind = kindOf(request);
    Duration retryAfter = std::min<Duration>(meanRun_, maxReturnTime);
    if (policy_ == ModelPolicy::FairShares)
        retryAfter = returnTime({.slots = static_cast<double>(setup_.targets) * setup_.slots,
                                 .meanRun = meanRun_,
                                 .instances = static_cast<double>(instances_.size()),
                                 .waiting = static_cast<double>(state.waiting.size()),
                                 .refused = static_cast<double>(state.refusals.size())},
                                {.idHash = (std::uint64_t{random_()} << 32U) + random_(),
                                 .run = kind.run,
                                 .timeToAim = timeToAim(request),
                                 .timeToDeadline = timeToLimit(request)});
    state.refusals.push_back(now_);
    constexpr int honouredPart = 3; // of the time left, for which callers wait
    retryAfter = std::min(retryAfter, timeToLimit(request) / honouredPart);
    returning_.emplace_back(now_ + retryAfter, request);
    returning_.back().second.hasReturned = true;
}

void AdmissionModel::count(const Request &request, bool isAnswered)
{
    const auto add = [&](ModelCounts &counts) {
        ++counts.asked;
        if (isAnswered && timeToAim(request) >= Duration{0})
            ++counts.inAim;
        else if (isAnswered && timeToLimit(request) >= Duration{0})
            ++counts.late;
    };
    add(result_.kinds[request.kind]);
    if (std::ranges::any_of(setup_.kinds, [&](const ModelKind &kind) {
            return isWithin(kind.burst, request.arrival);
        }))
        add(result_.kindsInBurst[request.kind]);
    if (isWithin(setup_.teamBurst, request.arrival))
        add(result_.teamsInBurst[request.team]);
}

} // namespace chestnutvane
