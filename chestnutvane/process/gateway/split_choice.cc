#include "chestnutvane/process/gateway/split_choice.h"

#include <algorithm>

namespace chestnutvane {

const std::string &SplitChoice::next(const Route &route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    State &state = states_[route.name];
    if (state.shares != route.shares) {
        state.shares = route.shares;
        state.credits.assign(route.shares.size(), 0);
    }
    double sum = 0;
    for (std::size_t i = 0; i < state.shares.size(); ++i) {
        state.credits[i] += state.shares[i].weight;
        sum += state.shares[i].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= sum;
    return route.shares[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace chestnutvane
