#include "chestnutvane/process/gateway/work/work_times.h"

#include <algorithm>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of a new run in the moving averages, which cover about the last 20 runs.
constexpr double newRunWeight = 0.05;
// Assumed ratio of warm to cold run time, until both have been measured.
constexpr double assumedWarmShare = 0.35;

} // namespace

void RunTimeAverage::add(double sample)
{
    ++runs;
    const double weight = std::max(newRunWeight, 1.0 / runs);
    seconds += (sample - seconds) * weight;
}

void WarmCapacityEstimator::learn(std::size_t depth, bool fast)
{
    // Old runs lose weight, so that the estimate follows a changed service. A few runs are not
    // significant.
    constexpr double decayFactor = 0.98;
    constexpr double minRuns = 6;
    Bucket &bucket = buckets_.at(std::min(depth, maxObjects - 1) / bucketSize);
    bucket.fast = bucket.fast * decayFactor + (fast ? 1 : 0);
    bucket.slow = bucket.slow * decayFactor + (fast ? 0 : 1);
    const std::size_t index = std::min(depth, maxObjects - 1) / bucketSize;
    if (bucket.fast + bucket.slow < minRuns)
        return;
    if (bucket.slow > bucket.fast)
        warmCapacity_ = std::max(std::min(warmCapacity_, index * bucketSize), bucketSize);
    else if (warmCapacity_ < (index + 1) * bucketSize)
        warmCapacity_ = (index + 1) * bucketSize;
}

bool RunTimeEstimator::isWarmRun(const WorkEstimate &work, Duration run)
{
    constexpr int parts = 2; // the threshold is the midpoint
    return run < (work.warm + work.cold) / parts;
}

void RunTimeEstimator::learn(const std::string &route, const std::string &service, bool warm,
                             Duration run)
{
    const double seconds = Seconds(run).count();
    auto &times = times_.routes[route];
    (warm ? times.warm : times.cold).add(seconds);
    times_.services[service].add(seconds);
}

std::optional<bool> RunTimeEstimator::classifyRun(const WorkEstimate &work, Duration cost)
{
    constexpr double maxColdShare = 1.5;
    if (Seconds(cost) > Seconds(work.cold) * maxColdShare)
        return std::nullopt;
    return isWarmRun(work, cost);
}

void RunTimeEstimator::learnCost(const std::string &route, const std::string &service, bool warm,
                                 Duration cost)
{
    const double seconds = Seconds(cost).count();
    auto &times = times_.routes[route];
    RunTimeAverage &usual = warm ? times.warm : times.cold;
    constexpr double maxUsualShare = 2;
    usual.add(usual.runs > 0 ? std::min(seconds, usual.seconds * maxUsualShare) : seconds);
    times_.services[service].add(seconds);
    constexpr std::size_t maxRoutes = 256; // of about 1 kB each
    const auto found = costs_.find(route);
    if (found == costs_.end() && costs_.size() >= maxRoutes)
        return;
    if (usual.seconds > 0)
        costs_[route].learn(seconds / usual.seconds);
}

void RunTimeEstimator::restore(const LearnedRunTimes &times)
{
    times_.routes.insert(times.routes.begin(), times.routes.end());
    times_.services.insert(times.services.begin(), times.services.end());
}

WorkEstimate RunTimeEstimator::estimate(const std::string &route, const std::string &service,
                                        Duration aim) const
{
    double cold = Seconds(aim).count();
    double warm = cold * assumedWarmShare;
    bool measured = false;
    if (const auto found = times_.routes.find(route); found != times_.routes.end()) {
        const auto &times = found->second;
        measured = true;
        if (times.cold.runs > 0)
            cold = times.cold.seconds;
        else if (times.warm.runs > 0)
            cold = times.warm.seconds / assumedWarmShare;
        warm = times.warm.runs > 0 ? std::min(times.warm.seconds, cold) : cold * assumedWarmShare;
    }
    double mean = warm;
    if (const auto found = times_.services.find(service); found != times_.services.end())
        mean = found->second.seconds;
    const auto duration = [](double seconds) {
        return std::chrono::duration_cast<Duration>(Seconds(seconds));
    };
    WorkEstimate work{duration(warm), duration(cold), duration(mean)};
    work.measured = measured;
    if (const auto found = costs_.find(route); found != costs_.end())
        work.costs = &found->second;
    return work;
}

} // namespace chestnutvane
