#include "chestnutvane/process/fault_simulation.h"

#include <algorithm>

namespace chestnutvane {
namespace {

constexpr double connectRefusalMs = 0.5; // until a dead target's refusal of a connection arrives
constexpr double restartDelayMs = 3000;
constexpr double coldDurationMs = 2000; // after a restart
constexpr double coldSlowdown = 3; // factor on the service times of a cold target
constexpr double sampleIntervalMs = 10;
constexpr int samplesPerMean = 100; // 1 s

} // namespace

FaultSimulation::FaultSimulation(const FaultModelSettings &settings)
    : random(settings.seed + 1), settings_(settings),
      instanceAlive_(static_cast<std::size_t>(settings.regions * settings.instances), true),
      freeSlotSums_(static_cast<std::size_t>(settings.regions))
{
    for (int i = 0; i < settings.regions * settings.targets; ++i)
        targets.push_back({.region = i / settings.targets});
    makeRequests();
}

void FaultSimulation::makeRequests()
{
    std::mt19937_64 generator(settings_.seed);
    const double slots = settings_.regions * settings_.targets * settings_.slots;
    std::exponential_distribution<double> interarrivalMs(settings_.offeredLoad * slots
                                                         / settings_.meanServiceMs);
    std::exponential_distribution<double> service(1 / settings_.meanServiceMs);
    std::uniform_int_distribution<int> instance(0, settings_.regions * settings_.instances - 1);
    for (double sentAt = interarrivalMs(generator); sentAt < settings_.durationMs;
         sentAt += interarrivalMs(generator)) {
        FaultRequest request{.sentAt = sentAt, .serviceMs = service(generator)};
        request.instance = instance(generator);
        request.region = regionOf(request.instance);
        requests.push_back(request);
        if (sentAt >= settings_.faultAtMs)
            ++result_.arrived;
    }
}

FaultModelResult FaultSimulation::run(FaultPolicy &policy)
{
    policy_ = &policy;
    schedule.at(settings_.faultAtMs, [this] { applyFault(); });
    for (std::size_t i = 0; i < requests.size(); ++i)
        schedule.at(requests[i].sentAt, [this, i] { routeToInstance(i); });
    sendReports();
    schedule.at(settings_.faultAtMs, [this] { sampleHeadroom(); });
    schedule.runAll();
    result_.p50Ms = percentile(latencies_, 0.5);
    result_.p99Ms = percentile(latencies_, 0.99);
    result_.p999Ms = percentile(latencies_, 0.999);
    return result_;
}

// Callers of a dead instance use the next live instance of its region. If there is none, they use
// an instance of another region, from the fallback entries of their look-up.
void FaultSimulation::routeToInstance(std::size_t index)
{
    FaultRequest &request = requests[index];
    const int instancesPerRegion = settings_.instances;
    const int firstInstance = request.region * instancesPerRegion;
    for (int i = 0; i < instancesPerRegion && !isAlive(request.instance); ++i)
        request.instance =
                firstInstance + (request.instance - firstInstance + 1) % instancesPerRegion;
    double extraDelay = 0;
    if (!isAlive(request.instance)) {
        const std::size_t otherCount =
                instanceAlive_.size() - static_cast<std::size_t>(instancesPerRegion);
        request.instance =
                (firstInstance + instancesPerRegion + static_cast<int>(index % otherCount))
                % (settings_.regions * instancesPerRegion);
        extraDelay = settings_.regionDelayMs;
    }
    schedule.after(extraDelay, [this, index] {
        if (isAlive(requests[index].instance))
            policy_->requestArrived(index);
        else
            requests[index].ended = true;
    });
}

double FaultSimulation::delay(int from, int to) const
{
    if (from == to)
        return 0;
    return regionOf(from) == regionOf(to) ? settings_.roundTripMs / 2 : settings_.regionDelayMs;
}

double FaultSimulation::targetDelay(std::size_t request, std::size_t target) const
{
    return regionOf(requests[request].instance) == targets[target].region ? 0
                                                                          : settings_.regionDelayMs;
}

void FaultSimulation::send(std::size_t request, std::size_t target)
{
    const double extraDelay = targetDelay(request, target);
    if (extraDelay == 0)
        dispatch(request, target);
    else
        schedule.after(extraDelay, [this, request, target] { dispatch(request, target); });
}

void FaultSimulation::dispatch(std::size_t request, std::size_t index)
{
    FaultTarget &target = targets[index];
    if (!target.alive) {
        schedule.after(connectRefusalMs, [this, request, index] {
            endExchange(request, index, GrantResult::ConnectFailed);
        });
        return;
    }
    ++result_.dispatches;
    if (target.load() >= settings_.slots)
        ++result_.aboveSlots;
    target.waiting.push_back(request);
    startWaiting(index);
}

void FaultSimulation::startWaiting(std::size_t index)
{
    FaultTarget &target = targets[index];
    while (!target.waiting.empty() && static_cast<int>(target.running.size()) < settings_.slots) {
        const std::size_t request = target.waiting.front();
        target.waiting.pop_front();
        target.running.push_back(request);
        const double factor = schedule.now() < target.coldUntil ? coldSlowdown : 1;
        schedule.after(factor * requests[request].serviceMs,
                       [this, request, index, startId = target.startId] {
                           if (targets[index].startId == startId && targets[index].alive)
                               complete(request, index);
                       });
    }
}

void FaultSimulation::complete(std::size_t request, std::size_t index)
{
    FaultTarget &target = targets[index];
    std::erase(target.running, request);
    if (target.leaving)
        result_.drainMs = schedule.now() - settings_.faultAtMs;
    endExchange(request, index, GrantResult::Succeeded);
    startWaiting(index);
}

void FaultSimulation::endExchange(std::size_t index, std::size_t target, GrantResult result)
{
    schedule.after(targetDelay(index, target), [this, index, target, result] {
        FaultRequest &request = requests[index];
        if (!isAlive(request.instance))
            return;
        const bool measured = !request.ended && request.sentAt >= settings_.faultAtMs;
        if (result == GrantResult::Succeeded) {
            const double returnDelay =
                    request.region == regionOf(request.instance) ? 0 : settings_.regionDelayMs;
            if (measured)
                latencies_.push_back(schedule.now() + returnDelay - request.sentAt);
            request.ended = true;
        } else if (result == GrantResult::ConnectionLost) {
            result_.lost += request.ended ? 0 : 1;
            request.ended = true;
        }
        policy_->exchangeEnded(index, target, result);
    });
}

void FaultSimulation::refuse(std::size_t request)
{
    if (!requests[request].ended && requests[request].sentAt >= settings_.faultAtMs)
        ++result_.refused;
    requests[request].ended = true;
}

void FaultSimulation::sendReports()
{
    const bool faultActive = schedule.now() >= settings_.faultAtMs;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const FaultTarget &target = targets[i];
        const bool affected = faultActive && target.region == 0;
        if (!target.alive || (affected && settings_.fault == ModelFault::ReportsStop))
            continue;
        const bool idle = affected && settings_.fault == ModelFault::ReportsIdle && i % 4 == 0;
        policy_->reportReceived({.target = i,
                                 .load = idle ? 0 : target.load(),
                                 .leaving = target.leaving,
                                 .startId = target.startId});
    }
    if (isRunning())
        schedule.after(settings_.reportIntervalMs, [this] { sendReports(); });
}

void FaultSimulation::sampleHeadroom()
{
    std::vector<bool> regionAlive(freeSlotSums_.size());
    for (const FaultTarget &target : targets) {
        const auto region = static_cast<std::size_t>(target.region);
        regionAlive[region] = regionAlive[region] || target.alive;
        if (target.alive && !target.leaving)
            freeSlotSums_[region] += std::max(0, settings_.slots - target.load());
    }
    if (++sampleCount_ == samplesPerMean) {
        const double slotSamples = samplesPerMean * settings_.targets * settings_.slots;
        for (std::size_t region = 0; region < freeSlotSums_.size(); ++region) {
            if (regionAlive[region])
                result_.minHeadroom =
                        std::min(result_.minHeadroom, freeSlotSums_[region] / slotSamples);
            freeSlotSums_[region] = 0;
        }
        sampleCount_ = 0;
    }
    if (schedule.now() + sampleIntervalMs <= settings_.durationMs)
        schedule.after(sampleIntervalMs, [this] { sampleHeadroom(); });
}

void FaultSimulation::applyFault()
{
    switch (settings_.fault) {
    case ModelFault::HolderDies:
        killInstance(1);
        break;
    case ModelFault::BrokerDies:
        killInstance(0);
        break;
    case ModelFault::TargetRestarts:
        killTarget(0);
        schedule.after(restartDelayMs, [this] {
            targets[0].alive = true;
            targets[0].coldUntil = schedule.now() + coldDurationMs;
        });
        break;
    case ModelFault::TargetsLeave:
        for (int i = 0; i < settings_.targets / 4; ++i)
            targets[static_cast<std::size_t>(i)].leaving = true;
        break;
    case ModelFault::RegionFails:
        for (int i = 0; i < settings_.targets; ++i)
            killTarget(static_cast<std::size_t>(i));
        for (int i = 0; i < settings_.instances; ++i)
            killInstance(i);
        break;
    case ModelFault::None:
    case ModelFault::ReportsStop:
    case ModelFault::ReportsIdle:
        break;
    }
}

void FaultSimulation::killTarget(std::size_t index)
{
    FaultTarget &target = targets[index];
    target.alive = false;
    ++target.startId;
    auto lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const std::size_t request : lost)
        endExchange(request, index, GrantResult::ConnectionLost);
}

// Targets continue to run the requests of a dead instance.
void FaultSimulation::killInstance(int instance)
{
    instanceAlive_[static_cast<std::size_t>(instance)] = false;
    for (FaultRequest &request : requests) {
        if (request.sentAt > schedule.now())
            break;
        if (request.instance == instance && !request.ended) {
            request.ended = true;
            ++result_.lost;
        }
    }
    policy_->instanceDied(instance);
}

} // namespace chestnutvane
