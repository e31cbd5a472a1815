#include "chestnutvane/process/gateway/work/target_speed.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const TimePoint start = TimePoint{} + 1h;

// Guards against a costly request that is charged to the target that ran it.
TEST(TargetSpeedTest, OneCostlyRunDoesNotMoveTheFactor)
{
    TargetSpeed speed;
    for (int i = 0; i < 30; ++i)
        speed.learn(i % 3 == 0 ? 1400ms : 200ms, 200ms);
    EXPECT_NEAR(speed.factorAt(start), 1, 0.01);
}

// Guards against a target that stays in use although most of its runs are slow.
TEST(TargetSpeedTest, ATargetThatStaysSlowIsLearnedWithinAFewRuns)
{
    TargetSpeed speed;
    for (int i = 0; i < 6; ++i)
        speed.learn(1000ms, 200ms);
    EXPECT_GE(speed.factorAt(start), 3);
    for (int i = 0; i < 60; ++i)
        speed.decay(0.05);
    EXPECT_NEAR(speed.factorAt(start), 1, 0.3);
}

TEST(TargetSpeedTest, AWordLosesWeightWithItsAge)
{
    TargetSpeed speed;
    speed.hear(2.5, start);
    EXPECT_DOUBLE_EQ(speed.factorAt(start), 2.5);
    EXPECT_NEAR(speed.factorAt(start + TargetSpeed::wordLifetime / 2), 1.75, 0.01);
    EXPECT_DOUBLE_EQ(speed.factorAt(start + TargetSpeed::wordLifetime), 1);
    speed.hear(1, start - 1ms);
    EXPECT_DOUBLE_EQ(speed.factorAt(start), 2.5);
}

// Guards against a target that says it is fast, or slow, when it is not.
TEST(TargetSpeedTest, RunsCorrectAWordThatIsWrong)
{
    TargetSpeed boastful;
    TargetSpeed modest;
    for (int i = 0; i < 20; ++i) {
        boastful.hear(1, start);
        boastful.learn(500ms, 200ms);
        modest.hear(2, start);
        modest.learn(100ms, 200ms); // 200 ms divided by the word
    }
    EXPECT_NEAR(boastful.factorAt(start), 2.5, 0.05);
    EXPECT_NEAR(modest.factorAt(start), 1, 0.05);
}

TEST(TargetSpeedTest, OddFiguresAreLeftOutAndExtremeOnesBounded)
{
    EXPECT_FALSE(speedFactor(0));
    EXPECT_FALSE(speedFactor(-100));
    EXPECT_FALSE(speedFactor(2'000'000'000));
    EXPECT_DOUBLE_EQ(speedFactor(1).value(), 0.5);
    EXPECT_DOUBLE_EQ(speedFactor(100).value(), 1);
    EXPECT_DOUBLE_EQ(speedFactor(250).value(), 2.5);
    EXPECT_DOUBLE_EQ(speedFactor(90'000).value(), 10);
}

} // namespace
} // namespace chestnutvane
