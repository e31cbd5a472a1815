#include "chestnutvane/process/gateway/admission/fair_order.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>
#include <unordered_map>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// The first of the waiting requests of a team: the level of the team with the work of its requests
// ahead, the position in the order without teams, which breaks ties, and the team.
using TeamHead = std::tuple<double, std::size_t, std::uint64_t>;

using Standings = std::unordered_map<std::uint64_t, TeamShares::Standing>;

// Reorders one group of equal importance and lateness, and adds its work to the standings.
void orderGroup(std::span<std::size_t> group, std::span<const QueuedRequest> requests,
                Standings &standings)
{
    std::unordered_map<std::uint64_t, std::queue<std::size_t>> waiting; // positions in arrived
    const std::vector<std::size_t> arrived(group.begin(), group.end());
    for (std::size_t position = 0; position < arrived.size(); ++position)
        waiting[requests[arrived[position]].team].push(position);
    std::priority_queue<TeamHead, std::vector<TeamHead>, std::greater<>> heads;
    const auto pushHead = [&](std::uint64_t team) {
        const auto &[used, entitled] = standings.at(team);
        if (const auto &positions = waiting.at(team); !positions.empty())
            heads.emplace(used / entitled, positions.front(), team);
    };
    for (const auto &[team, positions] : waiting)
        pushHead(team);
    for (std::size_t &index : group) {
        const auto [level, position, team] = heads.top();
        heads.pop();
        index = arrived[position];
        waiting.at(team).pop();
        standings.at(team).used += Seconds(requests[index].work).count();
        pushHead(team);
    }
}

} // namespace

std::vector<std::size_t> fairOrder(std::span<const QueuedRequest> requests,
                                   const TeamShares &shares, TimePoint now)
{
    std::vector<std::size_t> order(requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, {}, [&](std::size_t index) {
        const QueuedRequest &request = requests[index];
        return std::tuple(request.isLate, request.importance, request.arrival);
    });
    Standings standings;
    for (const QueuedRequest &request : requests) {
        if (!standings.contains(request.team))
            standings.emplace(request.team, shares.standing(request.team, now));
    }
    if (standings.size() < 2)
        return order;
    const auto groupOf = [&](std::size_t index) {
        return std::pair(requests[index].isLate, requests[index].importance);
    };
    for (auto begin = order.begin(); begin != order.end();) {
        const auto end = std::find_if(begin, order.end(), [&](std::size_t index) {
            return groupOf(index) != groupOf(*begin);
        });
        orderGroup({begin, end}, requests, standings);
        begin = end;
    }
    return order;
}

} // namespace chestnutvane
