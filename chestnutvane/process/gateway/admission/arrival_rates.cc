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

void ArrivalRates::onArrival(int importance, TimePoint now)
{
    Count &count = counts_[importance];
    count = {decayedCount(count, now) + 1, now};
}

double ArrivalRates::perSecond(TimePoint now) const
{
    double requests = 0;
    for (const auto &[importance, count] : counts_)
        requests += decayedCount(count, now);
    return requests / Seconds(window).count();
}

double ArrivalRates::lessImportantShare(int importance, TimePoint now) const
{
    double all = 0;
    double lessImportant = 0;
    for (const auto &[other, count] : counts_) {
        const double requests = decayedCount(count, now);
        all += requests;
        lessImportant += other > importance ? requests : 0;
    }
    return all > 0 ? lessImportant / all : 0;
}

} // namespace chestnutvane
