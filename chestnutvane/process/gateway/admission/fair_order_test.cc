#include "chestnutvane/process/gateway/admission/fair_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;

const TimePoint begin = TimePoint{} + std::chrono::hours(1);
const TimePoint now = begin + std::chrono::seconds(10);

auto keyWithoutTeams(const QueuedRequest &request)
{
    return std::tuple(request.isLate, request.importance, request.arrival);
}

std::vector<std::size_t> orderWithoutTeams(const std::vector<QueuedRequest> &requests)
{
    std::vector<std::size_t> order(requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return keyWithoutTeams(requests[a]) < keyWithoutTeams(requests[b]);
    });
    return order;
}

std::vector<QueuedRequest> arbitraryRequests(int teams)
{
    std::vector<QueuedRequest> requests(*rc::gen::inRange<std::size_t>(0, 40));
    for (QueuedRequest &request : requests) {
        request.isLate = *rc::gen::arbitrary<bool>();
        request.importance = *rc::gen::inRange(0, 3);
        request.arrival = begin + milliseconds(*rc::gen::inRange(0, 500));
        request.team = static_cast<std::uint64_t>(*rc::gen::inRange(0, teams));
        request.work = milliseconds(*rc::gen::inRange(1, 2000));
    }
    return requests;
}

RC_GTEST_PROP(FairOrderTest, WithoutTeamsTheOrderIsThatOfArrivalWithinAnImportance, ())
{
    TeamShares shares(begin);
    shares.onSent(0, milliseconds(700), begin);
    const auto requests = arbitraryRequests(1);
    RC_ASSERT(fairOrder(requests, shares, now) == orderWithoutTeams(requests));
}

RC_GTEST_PROP(FairOrderTest, TeamsChangeNeitherTheOrderOfImportanceNorThatWithinATeam, ())
{
    TeamShares shares(begin);
    shares.onSent(1, milliseconds(*rc::gen::inRange(0, 5000)), begin);
    const auto requests = arbitraryRequests(4);
    const auto order = fairOrder(requests, shares, now);
    RC_ASSERT(std::is_permutation(order.begin(), order.end(), orderWithoutTeams(requests).begin()));
    RC_ASSERT(std::is_sorted(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::tuple(requests[a].isLate, requests[a].importance)
                < std::tuple(requests[b].isLate, requests[b].importance);
    }));
    std::map<std::tuple<std::uint64_t, bool, int>, TimePoint> latest;
    for (const std::size_t index : order) {
        const auto &[isLate, importance, arrival, team, work] = requests[index];
        RC_ASSERT(arrival >= std::exchange(latest[std::tuple(team, isLate, importance)], arrival));
    }
}

TEST(FairOrderTest, ATeamWithABacklogTakesTurnsWithTheOthers)
{
    const TeamShares shares(begin);
    std::vector<QueuedRequest> requests(8,
                                        {.arrival = begin, .team = 1, .work = milliseconds(100)});
    for (const std::uint64_t team : {2, 3})
        requests.push_back(
                {.arrival = begin + milliseconds(50), .team = team, .work = milliseconds(100)});
    const auto order = fairOrder(requests, shares, now);
    EXPECT_EQ(order[0], 0U);
    EXPECT_EQ(order[1], 8U);
    EXPECT_EQ(order[2], 9U);
    EXPECT_EQ(order[9], 7U);
}

TEST(FairOrderTest, TurnsAreCountedInSlotTime)
{
    const TeamShares shares(begin);
    std::vector<QueuedRequest> requests(6,
                                        {.arrival = begin, .team = 1, .work = milliseconds(900)});
    requests.resize(12, {.arrival = begin, .team = 2, .work = milliseconds(300)});
    const auto order = fairOrder(requests, shares, now);
    const auto ofShortRuns = std::count_if(order.begin(), order.begin() + 8,
                                           [](std::size_t index) { return index >= 6; });
    EXPECT_EQ(ofShortRuns, 6);
}

} // namespace
} // namespace chestnutvane
