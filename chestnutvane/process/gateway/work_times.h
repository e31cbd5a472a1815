// Run times of requests at targets, learned from answers.
//
// Example:
//
//   RunTimeEstimator times;
//   times.learn("seat-maps", "box-office", true, run);
//   WorkEstimate work = times.estimate("seat-maps", "box-office", route.aim);
//
// Not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/placement.h"

namespace chestnutvane {

// Learns how many objects the targets of a service keep, from runs on targets that were thought to
// hold the object: a depth at which half of them were slow is beyond what is kept.
class WarmCapacityEstimator
{
public:
    // Objects that are remembered for a target at most.
    static constexpr std::size_t maxObjects = 64;

    explicit WarmCapacityEstimator(std::size_t initialCapacity) : warmCapacity_(initialCapacity) { }

    // Counts a run about an object at a depth, and whether it was fast.
    void learn(std::size_t depth, bool fast);

    // Objects that a target keeps, by what is known.
    [[nodiscard]] std::size_t warmCapacity() const { return warmCapacity_; }

    // Starts from what an instance learned before.
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

// A moving average of run times.
struct RunTimeAverage
{
    double seconds = 0;
    int runs = 0;

    void add(double sample);
    friend bool operator==(const RunTimeAverage &, const RunTimeAverage &) = default;
};

// The run times of a route on targets that held the object, and on others.
struct RouteRunTimes
{
    RunTimeAverage warm;
    RunTimeAverage cold;

    friend bool operator==(const RouteRunTimes &, const RouteRunTimes &) = default;
};

// All that is known of run times.
struct LearnedRunTimes
{
    std::map<std::string, RouteRunTimes> routes;
    std::map<std::string, RunTimeAverage> services;

    friend bool operator==(const LearnedRunTimes &, const LearnedRunTimes &) = default;
};

class RunTimeEstimator
{
public:
    // Counts a run on a target that was thought to have served the object lately, or not.
    void learn(const std::string &route, const std::string &service, bool warm, Duration run);

    // Whether a run was one of a target that held the object, by its time alone.
    [[nodiscard]] static bool isWarmRun(const WorkEstimate &work, Duration run);

    // The estimate for a route. Without a run so far it is derived from the aim of the route.
    [[nodiscard]] WorkEstimate estimate(const std::string &route, const std::string &service,
                                        Duration aim) const;

    [[nodiscard]] const LearnedRunTimes &times() const { return times_; }

    // Starts from run times that were learned before, for routes and services without own runs.
    void restore(const LearnedRunTimes &times);

private:
    LearnedRunTimes times_;
};

} // namespace chestnutvane
