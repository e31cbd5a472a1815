// Placement by several instances that know each other's load only from reports, under a load that
// fits into the slots only if most runs are warm.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/gateway/work/placement.h"
#include "chestnutvane/process/gateway/work/work_times.h"

namespace chestnutvane {
namespace {

// Simulates a region in steps of 1 ms. Figures are those of the seat maps of the first grown site,
// with a third of its targets.
class OverloadSimulation
{
public:
    static constexpr int instances = 27;
    static constexpr int targets = 78;
    static constexpr int slots = 3;
    static constexpr std::size_t targetQueue = 9; // further requests that a target accepts
    static constexpr int objects = 413;
    static constexpr std::size_t warmCapacity = 22;
    static constexpr int coldMs = 576;
    static constexpr int warmMs = 144;
    static constexpr int aimMs = 400;
    static constexpr int limitMs = 1500;
    static constexpr int reportPeriodMs = 110;

    // Simulates requests at a constant rate, starting without warm objects. Returns the share of
    // the requests of each second that were answered within the aim.
    std::vector<double> run(int perSecond, int seconds)
    {
        std::mt19937 random(17);
        std::poisson_distribution<int> arrivals(perSecond / 1000.0);
        std::uniform_int_distribution<std::uint64_t> object(1, objects);
        std::uniform_int_distribution<int> instance(0, instances - 1);
        inAim_.assign(static_cast<std::size_t>(seconds), 0);
        std::vector<int> asked(inAim_.size(), 0);
        for (now_ = 0; now_ < seconds * 1000 + limitMs; ++now_) {
            for (int i = now_ < seconds * 1000 ? arrivals(random) : 0; i > 0; --i) {
                ++asked[static_cast<std::size_t>(now_ / 1000)];
                instances_.at(static_cast<std::size_t>(instance(random)))
                        .waiting.push_back({now_, object(random)});
            }
            advanceTargets();
            for (std::size_t i = 0; i < instances; ++i) {
                if ((now_ + static_cast<int>(i) * reportPeriodMs / instances) % reportPeriodMs == 0)
                    instances_[i].reported = instances_[i].inFlight;
                placeAll(i);
            }
        }
        std::vector<double> shares;
        for (std::size_t second = 0; second < inAim_.size(); ++second)
            shares.push_back(static_cast<double>(inAim_[second]) / std::max(asked[second], 1));
        return shares;
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
        std::size_t instance = 0;
        WorkEstimate estimate;
        int sent = 0;
        int end = 0;
    };
    struct Target
    {
        std::vector<Run> running;
        std::vector<Run> queued;
        WarmObjects warmObjects;
    };
    struct Instance
    {
        std::vector<Request> waiting;
        std::vector<int> inFlight = std::vector<int>(targets, 0);
        std::vector<int> reported = std::vector<int>(targets, 0); // what the others know of it
        RunTimeEstimator runTimes;
    };

    void advanceTargets()
    {
        for (std::size_t i = 0; i < targets; ++i) {
            Target &target = targets_[i];
            std::erase_if(target.running, [this, i](const Run &run) {
                if (run.end > now_)
                    return false;
                Instance &instance = instances_[run.instance];
                --instance.inFlight[i];
                const Milliseconds elapsed(run.end - run.sent);
                instance.runTimes.learn("seat-maps", "box-office",
                                        RunTimeEstimator::isWarmRun(run.estimate, elapsed),
                                        elapsed);
                if (run.end - run.request.arrival <= aimMs)
                    ++inAim_[static_cast<std::size_t>(run.request.arrival / 1000)];
                return true;
            });
            while (target.running.size() < slots && !target.queued.empty()) {
                Run run = target.queued.front();
                target.queued.erase(target.queued.begin());
                run.end =
                        now_ + (target.warmObjects.contains(run.request.object) ? warmMs : coldMs);
                target.warmObjects.touch(run.request.object, warmCapacity);
                target.running.push_back(run);
            }
        }
    }

    void placeAll(std::size_t index)
    {
        Instance &instance = instances_[index];
        std::vector<Candidate> candidates(targets);
        for (std::size_t i = 0; i < targets; ++i) {
            candidates[i].slots = slots;
            candidates[i].load = instance.inFlight[i];
            for (std::size_t other = 0; other < instances; ++other)
                candidates[i].load += other == index ? 0 : instances_[other].reported[i];
        }
        std::erase_if(instance.waiting, [&](const Request &request) {
            for (std::size_t i = 0; i < targets; ++i) {
                candidates[i].warm = targets_[i].warmObjects.contains(request.object);
                candidates[i].affinityRank = unitInterval(hash64("rank", request.object * 977 + i))
                        * (candidates[i].warm ? 0.1 : 1);
            }
            const int age = now_ - request.arrival;
            const WorkEstimate work =
                    instance.runTimes.estimate("seat-maps", "box-office", Milliseconds(aimMs));
            const Placement placement = place(
                    candidates, work, {Milliseconds(aimMs - age), Milliseconds(limitMs - age)}, {});
            Candidate &chosen = candidates[placement.index];
            if (placement.action == PlacementAction::Wait) {
                chosen.queueLength += 1;
                return false;
            }
            Target &target = targets_[placement.index];
            if (placement.action == PlacementAction::Refuse || target.queued.size() >= targetQueue)
                return true;
            chosen.load += 1;
            ++instance.inFlight[placement.index];
            target.queued.push_back({request, index, work, now_, 0});
            return true;
        });
    }

    std::vector<Target> targets_ = std::vector<Target>(targets);
    std::vector<Instance> instances_ = std::vector<Instance>(instances);
    std::vector<int> inAim_;
    int now_ = 0;
};

// Guards against an overload that sustains itself because cold runs take the slots of warm ones.
TEST(PlacementOverloadTest, AnOverloadOfColdRunsEndsOnceEachObjectCouldHaveRun)
{
    // The runs need 576 slots if all are cold and 144 if all are warm; the region has 234. A cold
    // run of each object takes all slots for 1 s.
    const std::vector<double> shares = OverloadSimulation().run(1000, 8);
    for (const double share : shares)
        std::printf("in aim: %.3f\n", share);
    EXPECT_GE(shares[2], 0.8);
    EXPECT_GE(shares[7], 0.8);
}

} // namespace
} // namespace chestnutvane
