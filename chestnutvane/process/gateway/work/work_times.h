// Estimates the run times of requests at targets from the runs of answered requests.
//
// Example:
//
//   RunTimeEstimator times;
//   times.learn("seat-maps", "box-office", /*warm=*/true, run);
//   WorkEstimate work = times.estimate("seat-maps", "box-office", route.aim);
//
// Not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/work/placement.h"

namespace chestnutvane {

// Estimates how many warm objects the targets of a service hold, from runs on targets whose LRU
// list contained the object. A depth in the list at which more than half of the runs were slow is
// beyond the capacity.
class WarmCapacityEstimator
{
public:
    // Maximum number of objects in the LRU list of a target.
    static constexpr std::size_t maxObjects = 64;

    explicit WarmCapacityEstimator(std::size_t initialCapacity) : warmCapacity_(initialCapacity) { }

    // Records a run about an object at a depth of the LRU list, and whether the run was fast.
    void learn(std::size_t depth, bool fast);

    // The estimated number of objects that a target holds.
    [[nodiscard]] std::size_t warmCapacity() const { return warmCapacity_; }

    // Sets the initial estimate to one that an instance learned earlier.
    void restore(std::size_t learnedCapacity)
    {
        warmCapacity_ = std::clamp(learnedCapacity, bucketSize, maxObjects);
    }

private:
    static constexpr std::size_t bucketSize = 4;
    struct Bucket
    {
        double fast = 0;
        double slow = 0;
    };
    std::size_t warmCapacity_;
    std::array<Bucket, maxObjects / bucketSize> buckets_{};
};

// Moving average of run times in seconds.
struct RunTimeAverage
{
    double seconds = 0;
    int runs = 0;

    void add(double sample);
    friend bool operator==(const RunTimeAverage &, const RunTimeAverage &) = default;
};

// Run times of a route on targets that held the object, and on other targets.
struct RouteRunTimes
{
    RunTimeAverage warm;
    RunTimeAverage cold;

    friend bool operator==(const RouteRunTimes &, const RouteRunTimes &) = default;
};

// The learned run times, by route and by service.
struct LearnedRunTimes
{
    std::map<std::string, RouteRunTimes> routes;
    std::map<std::string, RunTimeAverage> services;

    friend bool operator==(const LearnedRunTimes &, const LearnedRunTimes &) = default;
};

class RunTimeEstimator
{
public:
    // Records a run time, as a warm run (the target held the object) or as a cold one.
    void learn(const std::string &route, const std::string &service, bool warm, Duration run);

    // Records the cost of a run: its run time at a target of normal speed. A costly request counts
    // in full for the mean and the distribution, and with a bound for the usual run time.
    void learnCost(const std::string &route, const std::string &service, bool warm, Duration cost);

    // Returns whether a run was a warm one, judged by its run time only.
    [[nodiscard]] static bool isWarmRun(const WorkEstimate &work, Duration run);

    // Like isWarmRun(); nothing if the run was so long that it tells only that the request was
    // costly.
    [[nodiscard]] static std::optional<bool> classifyRun(const WorkEstimate &work, Duration cost);

    // Returns the estimate for a route. Before the first run it is derived from the route's latency
    // aim.
    [[nodiscard]] WorkEstimate estimate(const std::string &route, const std::string &service,
                                        Duration aim) const;

    [[nodiscard]] const LearnedRunTimes &times() const { return times_; }

    // Adds run times that were learned earlier, for routes and services without runs so far.
    void restore(const LearnedRunTimes &times);

private:
    LearnedRunTimes times_;
    std::map<std::string, RunCostDistribution> costs_; // by route
};

} // namespace chestnutvane
