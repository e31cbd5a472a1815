#include "chestnutvane/process/gateway/work/target_speed.h"

#include <algorithm>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Percentages beyond this cannot be a speed: no caller would wait for such a run.
constexpr int maxPlausiblePercent = 100'000;
// Limits of a stated factor. A lower one would draw all requests to one target; a higher one makes
// no difference, because the target is avoided already.
constexpr double minStatedFactor = 0.5;
constexpr double maxStatedFactor = 10;
// Limits of one run's sample.
constexpr double minSample = 0.5;
constexpr double maxSample = 20;
// Weight of the median of the last runs in the learned factor.
constexpr double medianWeight = 0.3;

} // namespace

std::optional<double> speedFactor(int percent)
{
    if (percent <= 0 || percent > maxPlausiblePercent)
        return std::nullopt;
    constexpr double usualPercent = 100;
    return std::clamp(percent / usualPercent, minStatedFactor, maxStatedFactor);
}

void TargetSpeed::hear(double factor, TimePoint at)
{
    if (at < wordAt_)
        return;
    word_ = factor;
    wordAt_ = at;
}

void TargetSpeed::learn(Duration run, Duration expected)
{
    if (expected <= Duration::zero())
        return;
    samples_.at(nextSample_) = std::clamp(Seconds(run) / Seconds(expected), minSample, maxSample);
    nextSample_ = (nextSample_ + 1) % sampleCount;
    auto sorted = samples_;
    std::sort(sorted.begin(), sorted.end());
    learned_ += (sorted[sampleCount / 2] - learned_) * medianWeight;
}

double TargetSpeed::factorAt(TimePoint now) const
{
    const Duration age = now - wordAt_;
    if (age >= wordLifetime)
        return learned_;
    const double weight = 1 - std::max(Seconds(age) / Seconds(wordLifetime), 0.0);
    return learned_ * (1 + (word_ - 1) * weight);
}

} // namespace chestnutvane
