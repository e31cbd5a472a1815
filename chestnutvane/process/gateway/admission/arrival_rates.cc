#include "chestnutvane/process/gateway/admission/arrival_rates.h"

#include <cmath>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double ArrivalRates::decayedCount(const Count &count, TimePoint now)
{
    return count.requests * std::exp(-(Seconds(now - count.at) / Seconds(window)));
}

void ArrivalRates::onArrival(int importance, Duration aim, TimePoint now)
{
    Count &count = counts_[{importance, aim}];
    count = {decayedCount(count, now) + 1, now};
}

double ArrivalRates::perSecond(TimePoint now) const
{
    double requests = 0;
    for (const auto &[kind, count] : counts_)
        requests += decayedCount(count, now);
    return requests / Seconds(window).count();
}

double ArrivalRates::moreUrgentThan(int importance, Duration aim, TimePoint now) const
{
    double requests = 0;
    for (const auto &[kind, count] : counts_) {
        if (kind.first < importance && kind.second < aim)
            requests += decayedCount(count, now);
    }
    return requests / Seconds(window).count();
}

} // namespace chestnutvane
