#include "chestnutvane/process/gateway/work/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/target_registry.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const WorkEstimate work{100ms, 350ms, 120ms};
const PlacementLimits limits{400ms, 1000ms};

Candidate candidate(bool warm, double load, int slots = 3)
{
    Candidate result;
    result.warm = warm;
    result.load = load;
    result.slots = slots;
    return result;
}

// Guards against cold runs while a target that holds the object has a free slot.
TEST(PlacementTest, AFreeWarmTargetWinsOverAFreeColdOne)
{
    const std::vector<Candidate> candidates{candidate(false, 0), candidate(true, 2)};
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_EQ(placement.index, 1U);
}

// Guards against a cold run of 350 ms where a wait of about 40 ms gives a response after 140 ms.
TEST(PlacementTest, AShortWaitForAWarmTargetWinsOverAFreeColdOne)
{
    const std::vector<Candidate> candidates{candidate(false, 0), candidate(true, 3)};
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Wait);
    EXPECT_EQ(placement.index, 1U);
}

// Guards against a queue at the warm target while other targets are idle.
TEST(PlacementTest, AFreeColdTargetWinsOverALongQueue)
{
    const std::vector<Candidate> candidates{candidate(false, 0), candidate(true, 12)};
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_EQ(placement.index, 0U);
}

// Guards against slots that stay unused because a report has not told yet that they are free, and
// against a queue at a target that grows without bound.
TEST(PlacementTest, RequestsAreSentAheadUpToTheLimitOfTheCandidate)
{
    std::vector<Candidate> candidates{candidate(true, 3)};
    EXPECT_EQ(place(candidates, work, limits, {}).action, PlacementAction::Wait);
    candidates[0].sendAhead = 2;
    EXPECT_EQ(place(candidates, work, limits, {}).action, PlacementAction::Send);
    candidates[0].load = 5;
    EXPECT_EQ(place(candidates, work, limits, {}).action, PlacementAction::Wait);
}

// Guards against a target that meets the aim on average only. The other is farther away, and not
// slow at the moment.
TEST(PlacementTest, TheChanceToMeetTheAimDecides)
{
    RunCostDistribution costs;
    for (int i = 0; i < 2000; ++i)
        costs.learn(i % 4 == 0 ? 2.2 : 0.9);
    WorkEstimate estimate = work;
    estimate.costs = &costs;
    std::vector<Candidate> candidates{candidate(true, 0), candidate(true, 0)};
    candidates[0].runTimeFactor = 2; // 200 ms, and 440 ms for one request in four
    candidates[1].roundTrip = 110ms; // 210 ms, and 330 ms
    candidates[1].affinityRank = 0.2;
    EXPECT_NEAR(chanceOfLateness(candidates[0], estimate, limits), 0.25, 0.02);
    EXPECT_NEAR(chanceOfLateness(candidates[1], estimate, limits), 0, 0.02);
    EXPECT_DOUBLE_EQ(chanceOfLateness(candidates[0], estimate, {-5ms, 1000ms}), 1);
    EXPECT_DOUBLE_EQ(chanceOfLateness(candidates[0], work, limits), 0);
    EXPECT_EQ(place(candidates, work, limits, {}).index, 0U);
    EXPECT_EQ(place(candidates, estimate, limits, {}).index, 1U);
}

// Guards against a hot object that stays on one busy target of its home region although the others
// are idle, when the instance is in another region.
TEST(PlacementTest, IdleTargetsOfAnotherRegionAreNotScarce)
{
    std::vector<Candidate> candidates(8, candidate(false, 0));
    candidates[0] = candidate(true, 12);
    for (Candidate &far : candidates) {
        far.sameRegion = false;
        far.roundTrip = 110ms;
    }
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_NE(placement.index, 0U);
}

// Guards against requests that are refused in a full region, or wait there for too long, while
// another region is idle: slot time was priced there by the use of the own region.
TEST(PlacementTest, AFullRegionSendsColdRunsToAnIdleOne)
{
    std::vector<Candidate> candidates(9, candidate(false, 3));
    candidates[0] = candidate(true, 25); // expected after the limit for waiting
    Candidate far = candidate(false, 0);
    far.sameRegion = false;
    far.region = 1;
    far.roundTrip = 110ms;
    candidates.push_back(far);
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_EQ(placement.index, candidates.size() - 1);
}

// Guards against an overload that spreads: cold runs in regions that are nearly full displace warm
// ones there. With a price by the use of the target's region alone, a day of three busy regions
// served 0.66 of its worth in place of 0.77.
TEST(PlacementTest, AFullRegionSendsNoColdRunsToANearlyFullOne)
{
    std::vector<Candidate> candidates(9, candidate(false, 3));
    candidates[0] = candidate(true, 11); // a wait of about 350 ms
    std::vector<Candidate> far(9, candidate(false, 2));
    for (Candidate &one : far) {
        one.sameRegion = false;
        one.region = 1;
        one.roundTrip = 70ms;
    }
    candidates.insert(candidates.end(), far.begin(), far.end());
    const Placement placement = place(candidates, work, {400ms, 2000ms}, {});
    EXPECT_EQ(placement.action, PlacementAction::Wait);
    EXPECT_EQ(placement.index, 0U);
}

// Guards against downloads that leave their region where a view of the same run time may.
TEST(PlacementTest, LargeBodiesStayInTheirRegion)
{
    Candidate busy = candidate(true, 4);
    Candidate far = candidate(true, 0);
    far.sameRegion = false;
    far.region = 1;
    far.roundTrip = 20ms;
    const std::vector<Candidate> candidates{busy, far, candidate(false, 0), candidate(false, 0)};
    EXPECT_EQ(place(candidates, work, limits, {}).index, 1U);
    WorkEstimate download = work;
    download.bodyKilobytes = 60;
    EXPECT_EQ(place(candidates, download, limits, {}).index, 0U);
}

// Guards against traffic between regions while the same region has free slots.
TEST(PlacementTest, AnotherRegionIsUsedOnlyWhenItAnswersSooner)
{
    Candidate far = candidate(true, 0);
    far.sameRegion = false;
    far.roundTrip = 110ms;
    EXPECT_EQ(place(std::vector<Candidate>{far, candidate(true, 1)}, work, limits, {}).index, 1U);
    const Placement spilled =
            place(std::vector<Candidate>{far, candidate(true, 12)}, work, limits, {});
    EXPECT_EQ(spilled.index, 0U);
    EXPECT_EQ(spilled.action, PlacementAction::Send);
}

// Guards against uploads that use the bandwidth between regions although targets of their own
// region can answer them in time.
TEST(PlacementTest, ALargeBodyLeavesItsRegionOnlyToMeetItsAim)
{
    Candidate far = candidate(true, 0);
    far.sameRegion = false;
    far.roundTrip = 24ms;
    WorkEstimate upload = work;
    upload.bodyKilobytes = 60;
    const std::vector<Candidate> shortQueue{candidate(true, 5), far};
    EXPECT_EQ(place(shortQueue, work, limits, {}).index, 1U);
    EXPECT_EQ(place(shortQueue, upload, limits, {}).index, 0U);
    const std::vector<Candidate> longQueue{candidate(true, 14), far};
    EXPECT_EQ(place(longQueue, upload, limits, {}).index, 1U);
}

// Guards against requests that wait until their deadline although no target can respond in time.
TEST(PlacementTest, ARequestThatCannotBeAnsweredInTimeIsRefusedAtOnce)
{
    EXPECT_EQ(place(std::vector<Candidate>{candidate(true, 60)}, work, limits, {}).action,
              PlacementAction::Refuse);
    EXPECT_EQ(place({}, work, limits, {}).action, PlacementAction::Refuse);
}

// Guards against a route that never gets a run time measured: its requests were refused because of
// an assumed run time, so none was ever answered.
TEST(PlacementTest, AnAssumedRunTimeDoesNotRefuseWhileASlotIsFree)
{
    WorkEstimate assumed{350ms, 1000ms, 120ms};
    assumed.measured = false;
    const PlacementLimits shortLimit{400ms, 500ms};
    const std::vector<Candidate> free{candidate(false, 0)};
    EXPECT_EQ(place(free, assumed, shortLimit, {}).action, PlacementAction::Send);
    assumed.measured = true;
    EXPECT_EQ(place(free, assumed, shortLimit, {}).action, PlacementAction::Refuse);
}

// Guards against new targets that get no requests because the other targets hold all objects.
TEST(PlacementTest, ANewTargetGetsItsFirstRequest)
{
    Candidate newTarget = candidate(false, 0);
    newTarget.needsFirstRequest = true;
    const std::vector<Candidate> candidates{candidate(true, 0), newTarget};
    EXPECT_EQ(place(candidates, work, limits, {}).index, 1U);
}

// Guards against refusals while targets have free slots. New targets are slow at first; a request
// was planned for one to which nothing could be sent at that moment, and refused because its
// response would come too late.
TEST(PlacementTest, NewTargetsThatMustNotGetARequestCauseNoRefusal)
{
    Candidate newTarget = candidate(false, 0);
    newTarget.needsFirstRequest = true;
    newTarget.runTimeFactor = 4;
    newTarget.sendAllowed = false;
    const std::vector<Candidate> candidates{newTarget, newTarget, candidate(true, 1)};
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_EQ(placement.index, 2U);
}

// Guards against requests that are refused because a new target, which is slow at first, would
// answer them after their deadline.
TEST(PlacementTest, ANewTargetGetsNoRequestThatItCannotAnswerInTime)
{
    Candidate newTarget = candidate(false, 0);
    newTarget.needsFirstRequest = true;
    newTarget.runTimeFactor = 3;
    const std::vector<Candidate> candidates{newTarget, candidate(true, 1)};
    const Placement placement = place(candidates, work, limits, {});
    EXPECT_EQ(placement.action, PlacementAction::Send);
    EXPECT_EQ(placement.index, 1U);
}

// Guards against slow and failing targets that get as many requests as healthy ones.
TEST(PlacementTest, SlowAndFailingTargetsAreChosenLast)
{
    Candidate slow = candidate(true, 0);
    slow.runTimeFactor = 5;
    EXPECT_EQ(place(std::vector<Candidate>{slow, candidate(false, 0)}, work, limits, {}).index, 1U);
    Candidate failing = candidate(true, 0);
    failing.failureRate = 0.8;
    EXPECT_EQ(place(std::vector<Candidate>{failing, candidate(false, 0)}, work, limits, {}).index,
              1U);
}

// Simulates the targets of a region in steps of 1 ms. Each request is about an object. A run takes
// 360 ms on a target that has not served the object recently, and 110 ms on one that has.
class LoadSimulation
{
public:
    static constexpr int targets = 8;
    static constexpr int slots = 3;
    static constexpr int objects = 52;
    static constexpr std::size_t warmCapacity = 40;
    static constexpr int aimMs = 400;
    static constexpr int limitMs = 1000;

    enum class Policy {
        EarliestResponse, // place()
        LeastLoaded,
    };

    explicit LoadSimulation(Policy policy) : policy_(policy), targets_(targets) { }

    // Simulates requests at a rate; returns the share of them answered within the aim.
    double run(int perSecond, int seconds)
    {
        std::mt19937 random(42);
        std::poisson_distribution<int> arrivals(perSecond / 1000.0);
        std::uniform_int_distribution<std::uint64_t> object(1, objects);
        for (now_ = 0; now_ < seconds * 1000; ++now_) {
            completeRuns();
            for (int i = arrivals(random); i > 0; --i) {
                ++requestCount_;
                waiting_.push_back({now_, object(random)});
            }
            std::vector<Request> remaining;
            for (const Request &request : waiting_) {
                if (!placeOne(request))
                    remaining.push_back(request);
            }
            waiting_ = std::move(remaining);
            for (State &target : targets_)
                target.plannedRequests = 0;
        }
        return static_cast<double>(answeredInAim_) / requestCount_;
    }

private:
    struct Request
    {
        int arrival = 0;
        std::uint64_t object = 0;
    };
    struct Run
    {
        int end = 0;
        int arrival = 0;
    };
    struct State
    {
        std::vector<Run> runs;
        WarmObjects warmObjects;
        int plannedRequests = 0;
    };

    void completeRuns()
    {
        for (State &target : targets_)
            std::erase_if(target.runs, [this](const Run &run) {
                if (run.end > now_)
                    return false;
                answeredInAim_ += run.end - run.arrival <= aimMs ? 1 : 0;
                return true;
            });
    }

    // Returns false if the request stays in the queue.
    bool placeOne(const Request &request)
    {
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            Candidate candidate;
            candidate.warm = targets_[i].warmObjects.contains(request.object);
            candidate.load = static_cast<double>(targets_[i].runs.size());
            candidate.queueLength = targets_[i].plannedRequests;
            candidate.slots = slots;
            candidate.affinityRank = unitInterval(hash64("rank", request.object * 977 + i));
            candidates.push_back(candidate);
        }
        const int age = now_ - request.arrival;
        Placement placement;
        if (policy_ == Policy::EarliestResponse) {
            placement = place(candidates, {110ms, 360ms, 150ms},
                              {Milliseconds(aimMs - age), Milliseconds(limitMs - age)}, {});
        } else {
            const auto least = std::min_element(
                    candidates.begin(), candidates.end(),
                    [](const Candidate &a, const Candidate &b) { return a.load < b.load; });
            placement.index = static_cast<std::size_t>(least - candidates.begin());
            placement.action = least->load < slots ? PlacementAction::Send
                    : age > limitMs                ? PlacementAction::Refuse
                                                   : PlacementAction::Wait;
        }
        State &target = targets_[placement.index];
        if (placement.action == PlacementAction::Wait) {
            ++target.plannedRequests;
            return false;
        }
        if (placement.action == PlacementAction::Send) {
            const int run = target.warmObjects.contains(request.object) ? 110 : 360;
            target.runs.push_back({now_ + run, request.arrival});
            target.warmObjects.touch(request.object, warmCapacity);
        }
        return true;
    }

    Policy policy_;
    std::vector<State> targets_;
    std::vector<Request> waiting_;
    int now_ = 0;
    int requestCount_ = 0;
    int answeredInAim_ = 0;
};

// Guards against a policy that spreads each object over all targets. At 90 requests a second the
// runs need 32 slots if all are cold and 10 if all are warm; the region has 24. More requests must
// be answered within the aim than with the usual choice of the least loaded target.
TEST(PlacementLoadTest, ARegionAboveItsColdCapacityAnswersWithinTheAim)
{
    const double placed = LoadSimulation(LoadSimulation::Policy::EarliestResponse).run(90, 30);
    const double leastLoaded = LoadSimulation(LoadSimulation::Policy::LeastLoaded).run(90, 30);
    RecordProperty("placed", std::to_string(placed));
    RecordProperty("least-loaded", std::to_string(leastLoaded));
    std::printf("in aim: placed %.3f, least loaded %.3f\n", placed, leastLoaded);
    EXPECT_GT(placed, leastLoaded);
    EXPECT_GE(placed, 0.8); // the load fits into the slots if most runs are warm
}

} // namespace
} // namespace chestnutvane
