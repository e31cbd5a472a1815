// Limits on what this instance sends that hold over all instances together: each instance keeps to
// its share, so they hold while instances cannot talk to each other.
//
// Example:
//
//   SlidingWindowCounter pace;
//   if (pace.count(now - std::chrono::seconds(1)) < coldRateShare(bound, instances))
//       pace.add(now);
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <deque>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Counts events in a sliding window.
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

// The bound on requests to one cold target in any second, over all instances.
struct ColdRateLimit
{
    double perSecond = 0; // that the target bears, by configuration
    double overshoot = 1; // factor that is tolerated
    double slack = 0; // requests added to the product
};

// Requests that one of a number of instances may send to a cold target in a second, at least 1.
// Uses a part of the bound, because a new instance is unknown to the others for a moment.
std::size_t coldRateShare(const ColdRateLimit &totalLimit, std::size_t instances);

// The bound on attempts beyond the first, in any window, for one service over all instances.
struct RetryLimit
{
    double ratio = 0.2; // of the requests for the service
    double slack = 50; // attempts added to the product
    Duration window = std::chrono::seconds(10);
};

// Limits retries for one service by the requests and retries of the last window.
class RetryLimiter
{
public:
    explicit RetryLimiter(RetryLimit totalLimit);

    // Counts a request, once.
    void onRequest(TimePoint now);

    // Takes one retry for an instance of a number of them. Returns false, and takes nothing, if
    // the instance's share is used up.
    [[nodiscard]] bool tryAcquire(TimePoint now, std::size_t instances);

    // Requests and retries of the last window, for logs.
    [[nodiscard]] std::size_t requests(TimePoint now) { return requests_.count(now); }
    [[nodiscard]] std::size_t retries(TimePoint now) { return retries_.count(now); }

private:
    RetryLimit totalLimit_;
    SlidingWindowCounter requests_;
    SlidingWindowCounter retries_;
};

} // namespace chestnutvane
