// Limits on requests to targets in their cold start and on retries, which hold over all instances
// together. Each instance keeps to its share of a limit without coordination, so the limits hold
// while instances cannot reach each other.
//
// Example:
//
//   SlidingWindowCounter sends(std::chrono::seconds(1));
//   if (sends.count(now) < coldStartRateShare(limit, {instances, rank}))
//       sends.add(now);
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <deque>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Counts the events of the last window.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Duration window);
    void add(TimePoint now);
    [[nodiscard]] std::size_t count(TimePoint now);

private:
    Duration window_;
    std::deque<TimePoint> events_;
};

// Limit of requests to one target in its cold start in any second, over all instances.
struct ColdStartRateLimit
{
    double perSecond = 0; // configured rate of the target
    double overshoot = 1; // tolerated factor on the rate
    double slack = 0; // requests allowed beyond rate times factor
};

// The place of an instance among the instances that share a limit. All instances that know the same
// fleet have different ranks.
struct InstanceRank
{
    std::size_t instances = 1;
    std::size_t rank = 0; // from 0 to instances - 1
};

// Returns how many requests per second an instance may send to a target in its cold start. With
// more instances than requests only those of the lowest ranks may send any. Only a part of the
// limit is allocated, because the others learn of a new instance with a delay.
std::size_t coldStartRateShare(const ColdStartRateLimit &totalLimit, const InstanceRank &place);

// Limit of attempts beyond the first in any window, for one service over all instances.
struct RetryLimit
{
    double ratio = 0.2; // retries per request for the service
    double slack = 50; // attempts allowed beyond ratio times requests
    Duration window = std::chrono::seconds(10);
};

// Limits the retries for one service by its requests and retries in the last window.
class RetryLimiter
{
public:
    explicit RetryLimiter(RetryLimit totalLimit);

    // Counts a request. Call once per request, not per attempt.
    void onRequest(TimePoint now);

    // Counts a retry and returns true if the share of this instance allows it; otherwise returns
    // false and counts nothing. The share covers `ratio` of the instance's own requests and
    // 1/`instances` of the slack.
    [[nodiscard]] bool tryAcquire(TimePoint now, std::size_t instances);

    // The requests and retries of the last window, for logs.
    [[nodiscard]] std::size_t requests(TimePoint now) { return requests_.count(now); }
    [[nodiscard]] std::size_t retries(TimePoint now) { return retries_.count(now); }

private:
    RetryLimit totalLimit_;
    SlidingWindowCounter requests_;
    SlidingWindowCounter retries_;
};

} // namespace chestnutvane
