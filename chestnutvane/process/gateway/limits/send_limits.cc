#include "chestnutvane/process/gateway/limits/send_limits.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// Fraction of each limit that is allocated to the instances. The rest covers instances that the
// others do not know yet, and the windows counted at the targets, where requests arrive closer
// together.
constexpr double allocatedFraction = 0.7;

} // namespace

SlidingWindowCounter::SlidingWindowCounter(Duration window) : window_(window) { }

void SlidingWindowCounter::add(TimePoint now)
{
    events_.push_back(now);
}

std::size_t SlidingWindowCounter::count(TimePoint now)
{
    while (!events_.empty() && events_.front() <= now - window_)
        events_.pop_front();
    return events_.size();
}

std::size_t coldStartRateShare(const ColdStartRateLimit &totalLimit, const InstanceRank &place)
{
    const double allocated =
            (totalLimit.perSecond * totalLimit.overshoot + totalLimit.slack) * allocatedFraction;
    const auto all = std::max<std::size_t>(static_cast<std::size_t>(allocated), 1);
    const std::size_t instances = std::max<std::size_t>(place.instances, 1);
    return all / instances + (place.rank < all % instances ? 1 : 0);
}

RetryLimiter::RetryLimiter(RetryLimit totalLimit)
    : totalLimit_(totalLimit), requests_(totalLimit.window), retries_(totalLimit.window)
{ }

void RetryLimiter::onRequest(TimePoint now)
{
    requests_.add(now);
    (void)requests_.count(now); // removes the events before the window
}

bool RetryLimiter::tryAcquire(TimePoint now, std::size_t instances)
{
    const double share =
            totalLimit_.slack / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed = allocatedFraction
            * (totalLimit_.ratio * static_cast<double>(requests_.count(now)) + share);
    if (static_cast<double>(retries_.count(now)) + 1 > allowed)
        return false;
    retries_.add(now);
    return true;
}

} // namespace chestnutvane
