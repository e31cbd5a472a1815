#include "chestnutvane/process/gateway/admission/slot_reserve.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

using std::chrono::milliseconds;

// A region with 100 slots, in which 30 urgent requests a second may arrive.
const SlotOutlook outlook{.slots = 100,
                          .busy = 97,
                          .meanRun = milliseconds(1200),
                          .urgentPerSecond = 30,
                          .inTimePerSecond = 80,
                          .reportInterval = milliseconds(200)};
const SlotRequest patient{milliseconds(1500), milliseconds(2900), milliseconds(9900)};

SlotOutlook withBusy(double busy)
{
    SlotOutlook changed = outlook;
    changed.busy = busy;
    return changed;
}

TEST(SlotReserveTest, APatientRequestLeavesTheLastFreeSlotsToUrgentOnes)
{
    EXPECT_EQ(turnInTime(patient, outlook).decision, SlotDecision::Hold);
    EXPECT_EQ(turnInTime(patient, withBusy(60)).decision, SlotDecision::Take);
}

TEST(SlotReserveTest, NobodyIsHeldWhereNothingMoreUrgentArrives)
{
    SlotOutlook quiet = outlook;
    quiet.urgentPerSecond = 0;
    EXPECT_EQ(turnInTime(patient, quiet).decision, SlotDecision::Take);
}

TEST(SlotReserveTest, AHeldRequestIsReleasedWhileItCanStillMeetItsAim)
{
    const SlotTurn turn = turnInTime(patient, outlook);
    ASSERT_EQ(turn.decision, SlotDecision::Hold);
    const SlotRequest then{patient.run, patient.timeToAim - turn.holdFor,
                           patient.timeToDeadline - turn.holdFor};
    EXPECT_GE(then.timeToAim, then.run);
    EXPECT_EQ(turnInTime(then, outlook).decision, SlotDecision::Take);
}

TEST(SlotReserveTest, LessUrgentRequestsKeepMostSlots)
{
    SlotOutlook flooded = withBusy(70);
    flooded.urgentPerSecond = 5000;
    EXPECT_EQ(turnInTime(patient, flooded).decision, SlotDecision::Take);
}

TEST(SlotReserveTest, ALateRunStartsOnlyIfTheSlotsSufficeForTimelyOnes)
{
    const SlotRequest late{milliseconds(1200), milliseconds(100), milliseconds(4000)};
    SlotOutlook calm = withBusy(70);
    calm.inTimePerSecond = 60;
    EXPECT_EQ(turnWhenLate(late, calm).decision, SlotDecision::Take);
    SlotOutlook burst = withBusy(70);
    burst.inTimePerSecond = 120;
    EXPECT_EQ(turnWhenLate(late, burst).decision, SlotDecision::Hold);
}

TEST(SlotReserveTest, ALateRequestIsReleasedBeforeItsDeadline)
{
    SlotOutlook burst = outlook;
    burst.inTimePerSecond = 120;
    const SlotRequest late{milliseconds(1200), milliseconds(-100), milliseconds(1300)};
    EXPECT_EQ(turnWhenLate(late, burst).decision, SlotDecision::Take);
}

TEST(SlotReserveTest, ARouteThatIsAlwaysLateIsNotLastBeforeItsAim)
{
    EXPECT_TRUE(canMeetAim(milliseconds(1500), milliseconds(900), milliseconds(1000)));
    EXPECT_FALSE(canMeetAim(milliseconds(1500), milliseconds(0), milliseconds(1000)));
    EXPECT_FALSE(canMeetAim(milliseconds(400), milliseconds(300), milliseconds(1000)));
    EXPECT_TRUE(canMeetAim(milliseconds(400), milliseconds(500), milliseconds(1000)));
}

RC_GTEST_PROP(SlotReserveTest, NothingIsHeldWithoutTimeOrWithoutAFreeSlot, ())
{
    const SlotOutlook any{static_cast<double>(*rc::gen::inRange(0, 200)),
                          static_cast<double>(*rc::gen::inRange(0, 300)),
                          milliseconds(*rc::gen::inRange(0, 3000)),
                          static_cast<double>(*rc::gen::inRange(0, 500)),
                          static_cast<double>(*rc::gen::inRange(0, 500)),
                          milliseconds(*rc::gen::inRange(0, 900))};
    const SlotRequest request{milliseconds(*rc::gen::inRange(0, 3000)),
                              milliseconds(*rc::gen::inRange(-1000, 3000)),
                              milliseconds(*rc::gen::inRange(0, 10000))};
    for (const SlotTurn &turn : {turnInTime(request, any), turnWhenLate(request, any)}) {
        if (turn.decision == SlotDecision::Take)
            continue;
        RC_ASSERT(any.slots - any.busy >= 1);
        RC_ASSERT(turn.holdFor > Duration{0});
        RC_ASSERT(turn.holdFor + request.run <= request.timeToDeadline
                  || turn.holdFor + request.run <= request.timeToAim);
    }
}

} // namespace
} // namespace chestnutvane
