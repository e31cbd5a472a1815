// Placement of the callers of a region with few slots, while another region has many: the load of
// the southern region of the large site, where nothing is warm at first.

#include <gtest/gtest.h>

#include <cstdio>
#include <random>
#include <vector>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/gateway/work/placement.h"

namespace chestnutvane {
namespace {

// Simulates the requests of one region in steps of 1 ms, with exact knowledge of all targets. A
// third of the figures of the site.
class TwoRegionSimulation
{
public:
    static constexpr std::size_t nearTargets = 24;
    static constexpr std::size_t farTargets = 115;
    static constexpr int slots = 3;
    static constexpr int objects = 150;
    static constexpr std::size_t warmCapacity = 12;
    static constexpr int coldMs = 1100;
    static constexpr int warmMs = 275;
    static constexpr int farRoundTripMs = 110;
    static constexpr int aimMs = 800;
    static constexpr int limitMs = 2000;

    struct Outcome
    {
        double inAim = 0; // share of the requests
        double refused = 0;
    };

    // Simulates requests at a constant rate. If `isolated`, they stay in their region.
    Outcome run(int perSecond, int seconds, bool isolated)
    {
        std::mt19937 random(23);
        std::poisson_distribution<int> arrivals(perSecond / 1000.0);
        std::uniform_int_distribution<std::uint64_t> object(1, objects);
        double asked = 0;
        for (now_ = 0; now_ < seconds * 1000 + limitMs; ++now_) {
            for (int i = now_ < seconds * 1000 ? arrivals(random) : 0; i > 0; --i) {
                ++asked;
                waiting_.push_back({now_, object(random)});
            }
            endRuns();
            placeAll(isolated);
        }
        return {inAim_ / asked, refused_ / asked};
    }

private:
    struct Request
    {
        int arrival = 0;
        std::uint64_t object = 0;
    };
    struct Run
    {
        Request request;
        int end = 0; // at the target
        int answered = 0;
    };
    struct Target
    {
        std::vector<Run> running;
        WarmObjects warmObjects;
    };

    void endRuns()
    {
        for (Target &target : targets_) {
            std::erase_if(target.running, [this, &target](const Run &run) {
                if (run.end > now_)
                    return false;
                target.warmObjects.touch(run.request.object, warmCapacity);
                inAim_ += run.answered - run.request.arrival <= aimMs ? 1 : 0;
                return true;
            });
        }
    }

    void placeAll(bool isolated)
    {
        std::vector<Candidate> candidates(isolated ? nearTargets : targets_.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].slots = slots;
            candidates[i].load = static_cast<double>(targets_[i].running.size());
            candidates[i].sameRegion = i < nearTargets;
            candidates[i].region = i < nearTargets ? 0 : 1;
            candidates[i].roundTrip = Milliseconds(i < nearTargets ? 1 : farRoundTripMs);
        }
        const WorkEstimate work{Milliseconds(warmMs), Milliseconds(coldMs), Milliseconds(warmMs)};
        std::erase_if(waiting_, [&](const Request &request) {
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                candidates[i].warm = targets_[i].warmObjects.contains(request.object);
                candidates[i].affinityRank = unitInterval(hash64("rank", request.object * 977 + i))
                        * (candidates[i].warm ? 0.1 : 1);
            }
            const int age = now_ - request.arrival;
            const Placement placement = place(
                    candidates, work, {Milliseconds(aimMs - age), Milliseconds(limitMs - age)}, {});
            Candidate &chosen = candidates[placement.index];
            if (placement.action == PlacementAction::Wait) {
                chosen.queueLength += 1;
                return false;
            }
            if (placement.action == PlacementAction::Refuse) {
                ++refused_;
                return true;
            }
            chosen.load += 1;
            const int oneWay = chosen.sameRegion ? 0 : farRoundTripMs / 2;
            const int end = now_ + oneWay + (chosen.warm ? warmMs : coldMs);
            targets_[placement.index].running.push_back({request, end, end + oneWay});
            return true;
        });
    }

    std::vector<Target> targets_ = std::vector<Target>(nearTargets + farTargets);
    std::vector<Request> waiting_;
    double inAim_ = 0;
    double refused_ = 0;
    int now_ = 0;
};

// Guards against callers of a small region that are refused while another region has room. Naive:
// each region serves its own callers.
TEST(PlacementRegionsTest, CallersOfAFullRegionAreServedInAnotherOne)
{
    // All cold, the requests need 121 slots; the own region has 72.
    constexpr int perSecond = 110;
    constexpr int seconds = 6;
    const auto naive = TwoRegionSimulation().run(perSecond, seconds, true);
    const auto placed = TwoRegionSimulation().run(perSecond, seconds, false);
    std::printf("naive: in aim %.3f, refused %.3f; placed: in aim %.3f, refused %.3f\n",
                naive.inAim, naive.refused, placed.inAim, placed.refused);
    EXPECT_LT(placed.refused, 0.01);
    EXPECT_GT(placed.inAim, naive.inAim);
}

} // namespace
} // namespace chestnutvane
