#include "chestnutvane/process/fault_world.h"

#include <algorithm>

namespace chestnutvane {
namespace {

constexpr double refusedConnectMs = 0.5;
constexpr double restartMs = 3000;
constexpr double coldMs = 2000;
constexpr double coldFactor = 3;
constexpr double sampleMs = 10;
constexpr int samplesInMean = 100;

} // namespace

FaultModelWorld::FaultModelWorld(const FaultModelSettings &settings)
    : random(settings.seed + 1), settings_(settings),
      alive_(static_cast<std::size_t>(settings.regions * settings.instances), true),
      freeSums_(static_cast<std::size_t>(settings.regions))
{
    for (int i = 0; i < settings.regions * settings.targets; ++i)
        targets.push_back({.region = i / settings.targets});
    makeRequests();
}

void FaultModelWorld::makeRequests()
{
    std::mt19937_64 numbers(settings_.seed);
    const double slots = settings_.regions * settings_.targets * settings_.slots;
    std::exponential_distribution<double> gap(settings_.use * slots / settings_.meanServiceMs);
    std::exponential_distribution<double> service(1 / settings_.meanServiceMs);
    std::uniform_int_distribution<int> instance(0, settings_.regions * settings_.instances - 1);
    for (double at = gap(numbers); at < settings_.durationMs; at += gap(numbers)) {
        FaultRequest request{.at = at, .serviceMs = service(numbers)};
        request.instance = instance(numbers);
        request.region = regionOf(request.instance);
        requests.push_back(request);
        if (at >= settings_.faultAtMs)
            ++result_.arrived;
    }
}

FaultModelResult FaultModelWorld::run(FaultPolicy &policy)
{
    policy_ = &policy;
    schedule.at(settings_.faultAtMs, [this] { applyFault(); });
    for (std::size_t i = 0; i < requests.size(); ++i)
        schedule.at(requests[i].at, [this, i] { arrive(i); });
    sendReports();
    schedule.at(settings_.faultAtMs, [this] { sampleHeadroom(); });
    schedule.runAll();
    result_.p50Ms = percentile(latencies_, 0.5);
    result_.p99Ms = percentile(latencies_, 0.99);
    result_.p999Ms = percentile(latencies_, 0.999);
    return result_;
}

// Callers of a dead instance use the next one of its region, or one of the other regions by the
// fallback entries of their look-up.
void FaultModelWorld::arrive(std::size_t index)
{
    FaultRequest &request = requests[index];
    const int perRegion = settings_.instances;
    const int first = request.region * perRegion;
    for (int i = 0; i < perRegion && !isAlive(request.instance); ++i)
        request.instance = first + (request.instance - first + 1) % perRegion;
    double away = 0;
    if (!isAlive(request.instance)) {
        const std::size_t others = alive_.size() - static_cast<std::size_t>(perRegion);
        request.instance = (first + perRegion + static_cast<int>(index % others))
                % (settings_.regions * perRegion);
        away = settings_.regionDelayMs;
    }
    schedule.after(away, [this, index] {
        if (isAlive(requests[index].instance))
            policy_->arrive(index);
        else
            requests[index].ended = true;
    });
}

double FaultModelWorld::delay(int from, int to) const
{
    if (from == to)
        return 0;
    return regionOf(from) == regionOf(to) ? settings_.roundTripMs / 2 : settings_.regionDelayMs;
}

double FaultModelWorld::targetDelay(std::size_t request, std::size_t target) const
{
    return regionOf(requests[request].instance) == targets[target].region ? 0
                                                                          : settings_.regionDelayMs;
}

void FaultModelWorld::send(std::size_t request, std::size_t target)
{
    const double away = targetDelay(request, target);
    if (away == 0)
        dispatch(request, target);
    else
        schedule.after(away, [this, request, target] { dispatch(request, target); });
}

void FaultModelWorld::dispatch(std::size_t request, std::size_t index)
{
    FaultTarget &target = targets[index];
    if (!target.alive) {
        schedule.after(refusedConnectMs, [this, request, index] {
            tell(request, index, GrantResult::ConnectFailed);
        });
        return;
    }
    ++result_.dispatches;
    if (target.load() >= settings_.slots)
        ++result_.aboveSlots;
    target.waiting.push_back(request);
    serve(index);
}

void FaultModelWorld::serve(std::size_t index)
{
    FaultTarget &target = targets[index];
    while (!target.waiting.empty() && static_cast<int>(target.running.size()) < settings_.slots) {
        const std::size_t request = target.waiting.front();
        target.waiting.pop_front();
        target.running.push_back(request);
        const double factor = schedule.now() < target.warmAt ? coldFactor : 1;
        schedule.after(factor * requests[request].serviceMs,
                       [this, request, index, life = target.startId] {
                           if (targets[index].startId == life && targets[index].alive)
                               finish(request, index);
                       });
    }
}

void FaultModelWorld::finish(std::size_t request, std::size_t index)
{
    FaultTarget &target = targets[index];
    std::erase(target.running, request);
    if (target.leaving)
        result_.drainMs = schedule.now() - settings_.faultAtMs;
    tell(request, index, GrantResult::Succeeded);
    serve(index);
}

void FaultModelWorld::tell(std::size_t index, std::size_t target, GrantResult result)
{
    schedule.after(targetDelay(index, target), [this, index, target, result] {
        FaultRequest &request = requests[index];
        if (!isAlive(request.instance))
            return;
        const bool measured = !request.ended && request.at >= settings_.faultAtMs;
        if (result == GrantResult::Succeeded) {
            const double back =
                    request.region == regionOf(request.instance) ? 0 : settings_.regionDelayMs;
            if (measured)
                latencies_.push_back(schedule.now() + back - request.at);
            request.ended = true;
        } else if (result == GrantResult::ConnectionLost) {
            result_.lost += request.ended ? 0 : 1;
            request.ended = true;
        }
        policy_->exchangeEnded(index, target, result);
    });
}

void FaultModelWorld::refuse(std::size_t request)
{
    if (!requests[request].ended && requests[request].at >= settings_.faultAtMs)
        ++result_.refused;
    requests[request].ended = true;
}

void FaultModelWorld::sendReports()
{
    const bool faulty = schedule.now() >= settings_.faultAtMs;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const FaultTarget &target = targets[i];
        const bool affected = faulty && target.region == 0;
        if (!target.alive || (affected && settings_.fault == ModelFault::ReportsStop))
            continue;
        const bool idle = affected && settings_.fault == ModelFault::ReportsIdle && i % 4 == 0;
        policy_->report({.target = i,
                         .load = idle ? 0 : target.load(),
                         .leaving = target.leaving,
                         .startId = target.startId});
    }
    if (isRunning())
        schedule.after(settings_.reportIntervalMs, [this] { sendReports(); });
}

void FaultModelWorld::sampleHeadroom()
{
    std::vector<bool> living(freeSums_.size());
    for (const FaultTarget &target : targets) {
        const auto region = static_cast<std::size_t>(target.region);
        living[region] = living[region] || target.alive;
        if (target.alive && !target.leaving)
            freeSums_[region] += std::max(0, settings_.slots - target.load());
    }
    if (++samples_ == samplesInMean) {
        const double all = samplesInMean * settings_.targets * settings_.slots;
        for (std::size_t region = 0; region < freeSums_.size(); ++region) {
            if (living[region])
                result_.leastHeadroom = std::min(result_.leastHeadroom, freeSums_[region] / all);
            freeSums_[region] = 0;
        }
        samples_ = 0;
    }
    if (schedule.now() + sampleMs <= settings_.durationMs)
        schedule.after(sampleMs, [this] { sampleHeadroom(); });
}

void FaultModelWorld::applyFault()
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
        schedule.after(restartMs, [this] {
            targets[0].alive = true;
            targets[0].warmAt = schedule.now() + coldMs;
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

void FaultModelWorld::killTarget(std::size_t index)
{
    FaultTarget &target = targets[index];
    target.alive = false;
    ++target.startId;
    auto lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const std::size_t request : lost)
        tell(request, index, GrantResult::ConnectionLost);
}

// A target goes on with the work of an instance that died.
void FaultModelWorld::killInstance(int instance)
{
    alive_[static_cast<std::size_t>(instance)] = false;
    for (FaultRequest &request : requests) {
        if (request.at > schedule.now())
            break;
        if (request.instance == instance && !request.ended) {
            request.ended = true;
            ++result_.lost;
        }
    }
    policy_->instanceDied(instance);
}

} // namespace chestnutvane
