#include "chestnutvane/process/gateway/work/run_cost.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// Requests that the prior counts for. A route is known better after a few dozen.
constexpr float priorRequests = 20;
constexpr float priorCostlyShare = 0.02F;
constexpr double priorLow = 0.75;
constexpr double priorHigh = 1.25;
constexpr double priorCostlyHigh = 8;
// Weight that the earlier requests keep with each new one: the last 500 count. A costly request is
// rare, so fewer would not show how rare.
constexpr float keptWeight = 0.998F;

constexpr double bucketWidth = 1.0 / RunCostDistribution::bucketsPerUnit;

} // namespace

RunCostDistribution::RunCostDistribution()
{
    const auto fill = [this](double low, double high, float weight) {
        const auto first = static_cast<std::size_t>(low * bucketsPerUnit);
        const auto last = static_cast<std::size_t>(high * bucketsPerUnit);
        for (std::size_t i = first; i < last; ++i)
            weights_.at(i) += weight / static_cast<float>(last - first);
    };
    fill(priorLow, priorHigh, priorRequests * (1 - priorCostlyShare));
    fill(priorHigh, priorCostlyHigh, priorRequests * priorCostlyShare);
    updateShares();
}

void RunCostDistribution::learn(double ratio)
{
    const double bounded = std::clamp(ratio, 0.0, static_cast<double>(maxRatio));
    const auto index =
            std::min(static_cast<std::size_t>(bounded * bucketsPerUnit), bucketCount - 1);
    for (float &weight : weights_)
        weight *= keptWeight;
    weights_.at(index) += 1;
    updateShares();
}

void RunCostDistribution::updateShares()
{
    float above = 0;
    for (std::size_t i = bucketCount; i > 0; --i) {
        above += weights_.at(i - 1);
        sharesAbove_.at(i - 1) = above;
    }
    for (float &share : sharesAbove_)
        share /= above;
}

double RunCostDistribution::shareAbove(double ratio) const
{
    if (!(ratio > 0))
        return 1;
    if (ratio >= static_cast<double>(maxRatio))
        return 0;
    const double position = ratio * bucketsPerUnit;
    const auto index = static_cast<std::size_t>(position);
    const double within = position - static_cast<double>(index);
    return sharesAbove_[index] + (sharesAbove_[index + 1] - sharesAbove_[index]) * within;
}

double RunCostDistribution::meanRemaining(double ratio) const
{
    // The mean remaining cost is the integral of the share above, divided by its start.
    const double start = std::clamp(ratio, 0.0, static_cast<double>(maxRatio));
    const double alive = shareAbove(start);
    constexpr double minAlive = 1e-4;
    if (alive < minAlive)
        return std::max(start, 1.0); // beyond all that was seen: as long again
    double sum = 0;
    const auto first = static_cast<std::size_t>(start * bucketsPerUnit);
    for (std::size_t i = first; i < bucketCount; ++i) {
        const double low = std::max(static_cast<double>(i) * bucketWidth, start);
        const double high = static_cast<double>(i + 1) * bucketWidth;
        sum += (shareAbove(low) + shareAbove(high)) / 2 * (high - low);
    }
    return sum / alive;
}

double RunCostDistribution::quantile(double share) const
{
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (1 - sharesAbove_.at(i + 1) >= share)
            return static_cast<double>(i + 1) * bucketWidth;
    }
    return maxRatio;
}

} // namespace chestnutvane
