#include "chestnutvane/process/gateway/admission/scarce_slots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;

const LateRequest late{milliseconds(1200), milliseconds(4000)};

// A region with 100 slots, of which 70 are in use.
SlotOutlook outlookAt(double arrivalsPerSecond)
{
    return {.slots = 100,
            .busy = 70,
            .meanRun = milliseconds(1200),
            .arrivalsPerSecond = arrivalsPerSecond,
            .reportInterval = milliseconds(200)};
}

// An important request for a target with 8 slots that are all in use.
const QueueAtTarget important{.run = milliseconds(300),
                              .timeToAim = milliseconds(500),
                              .slots = 8,
                              .load = 8,
                              .meanRun = milliseconds(1000),
                              .targetQueue = 20,
                              .instances = 10,
                              .lessImportantShare = 0.6};

TEST(ScarceSlotsTest, ALateRunStartsOnlyIfTheSlotsSufficeForTimelyOnes)
{
    EXPECT_EQ(turnWhenLate(late, outlookAt(60)).decision, SlotDecision::Take);
    EXPECT_EQ(turnWhenLate(late, outlookAt(120)).decision, SlotDecision::Hold);
}

TEST(ScarceSlotsTest, ALateRequestIsReleasedBeforeItsDeadline)
{
    const SlotTurn turn = turnWhenLate(late, outlookAt(120));
    ASSERT_EQ(turn.decision, SlotDecision::Hold);
    const LateRequest then{late.run, late.timeToDeadline - turn.holdFor};
    EXPECT_GE(then.timeToDeadline, then.run);
    EXPECT_EQ(turnWhenLate(then, outlookAt(120)).decision, SlotDecision::Take);
}

TEST(ScarceSlotsTest, ARouteThatIsAlwaysLateIsNotLastBeforeItsAim)
{
    EXPECT_TRUE(canMeetAim(milliseconds(1500), milliseconds(900), milliseconds(1000)));
    EXPECT_FALSE(canMeetAim(milliseconds(1500), milliseconds(0), milliseconds(1000)));
    EXPECT_FALSE(canMeetAim(milliseconds(400), milliseconds(300), milliseconds(1000)));
    EXPECT_TRUE(canMeetAim(milliseconds(400), milliseconds(500), milliseconds(1000)));
}

TEST(ScarceSlotsTest, AnImportantRequestIsQueuedAtAFullTargetIfItIsInTimeThere)
{
    EXPECT_TRUE(mayQueueAtTarget(important));
    QueueAtTarget request = important;
    request.timeToAim = milliseconds(420);
    EXPECT_FALSE(mayQueueAtTarget(request));
}

TEST(ScarceSlotsTest, OneRequestIsQueuedAtATargetThatAllowsIt)
{
    QueueAtTarget request = important;
    request.load = 9;
    EXPECT_FALSE(mayQueueAtTarget(request));
    request = important;
    request.targetQueue = 0;
    EXPECT_FALSE(mayQueueAtTarget(request));
}

TEST(ScarceSlotsTest, WithoutLessImportantRequestsOfOtherInstancesNothingIsQueuedAtTargets)
{
    QueueAtTarget request = important;
    request.lessImportantShare = 0.1;
    EXPECT_FALSE(mayQueueAtTarget(request));
    request = important;
    request.instances = 1;
    EXPECT_FALSE(mayQueueAtTarget(request));
}

RC_GTEST_PROP(ScarceSlotsTest, NothingIsHeldWithoutTimeOrWithoutAFreeSlot, ())
{
    const SlotOutlook outlook{static_cast<double>(*rc::gen::inRange(0, 200)),
                              static_cast<double>(*rc::gen::inRange(0, 300)),
                              milliseconds(*rc::gen::inRange(0, 3000)),
                              static_cast<double>(*rc::gen::inRange(0, 500)),
                              milliseconds(*rc::gen::inRange(0, 900))};
    const LateRequest request{milliseconds(*rc::gen::inRange(0, 3000)),
                              milliseconds(*rc::gen::inRange(0, 10000))};
    const SlotTurn turn = turnWhenLate(request, outlook);
    if (turn.decision == SlotDecision::Take)
        return;
    RC_ASSERT(outlook.slots - outlook.busy >= 1);
    RC_ASSERT(turn.holdFor > Duration{0});
    RC_ASSERT(turn.holdFor + request.run <= request.timeToDeadline);
}

} // namespace
} // namespace chestnutvane
