// Distribution of the cost of requests: their run time relative to the typical one.
//
// Requests of a route cost different amounts, and some cost many times the typical amount. A mean
// hides both: it is too long for most requests and too short for the rest. The distribution answers
// how likely a request meets its aim, and how long one that has run for a while will still run.
//
// Example:
//
//   RunCostDistribution costs;
//   costs.learn(run / typical);
//   double late = costs.shareAbove(timeLeft / typical);
//   double remaining = costs.meanRemaining(elapsed / typical) * typical;
//
// Not thread-safe.
#pragma once

#include <array>
#include <cstddef>

namespace chestnutvane {

class RunCostDistribution
{
public:
    // Resolution of a ratio, and the ratio from which on costs are not told apart.
    static constexpr std::size_t bucketsPerUnit = 8;
    static constexpr std::size_t maxRatio = 12;

    // Starts with a stated prior: most requests cost between 3/4 and 5/4 of the typical amount, and
    // 1 in 50 costs several times as much.
    RunCostDistribution();

    // Records the cost of a request relative to the typical cost. Old requests lose weight, so that
    // the distribution follows a changed service.
    void learn(double ratio);

    // The share of requests that cost more than the ratio. Takes constant time: placement asks for
    // each target.
    [[nodiscard]] double shareAbove(double ratio) const;

    // The remaining cost that is expected of a request that has run up to the ratio. Of a
    // distribution with a heavy tail it grows with the time that the request has run.
    [[nodiscard]] double meanRemaining(double ratio) const;

    // The mean cost relative to the typical one.
    [[nodiscard]] double mean() const { return meanRemaining(0); }

    // The ratio that a share of the requests does not exceed.
    [[nodiscard]] double quantile(double share) const;

private:
    static constexpr std::size_t bucketCount = maxRatio * bucketsPerUnit;

    void updateShares();

    std::array<float, bucketCount> weights_{};
    std::array<float, bucketCount + 1> sharesAbove_{}; // at the lower bound of each bucket
};

} // namespace chestnutvane
