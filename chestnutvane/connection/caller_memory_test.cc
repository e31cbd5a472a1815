#include "chestnutvane/connection/caller_memory.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace chestnutvane {
namespace {

constexpr auto bodies = MemoryPart::Bodies;

// A connection that gives way by returning all that it holds.
class FakeConnection : public CallerAccountOwner
{
public:
    FakeConnection(const std::shared_ptr<CallerMemory> &memory, CallerStage stage, int progress,
                   int importance = 0)
        : standing_{stage, importance, TimePoint(Milliseconds(progress)), false},
          account(memory, *this)
    { }

    [[nodiscard]] CallerStanding standing(MemoryPart) const override { return standing_; }
    bool giveWay(MemoryPart part) override
    {
        ++asked;
        account.release(part);
        return true;
    }

private:
    CallerStanding standing_;

public:
    CallerAccount account;
    int asked = 0; // to give way
};

std::shared_ptr<CallerMemory> memoryOf(std::size_t bytes)
{
    return std::make_shared<CallerMemory>(CallerMemoryLimits{{bytes, bytes, bytes}});
}

// Guards against callers that stop short of the end of their bodies and keep others out.
TEST(CallerMemoryTest, TheBodyWithoutProgressForLongestGivesWay)
{
    const auto memory = memoryOf(100);
    FakeConnection old(memory, CallerStage::Body, 1);
    FakeConnection recent(memory, CallerStage::Body, 2);
    FakeConnection current(memory, CallerStage::Body, 3);
    EXPECT_TRUE(old.account.resize(bodies, 50));
    EXPECT_TRUE(recent.account.resize(bodies, 50));
    EXPECT_TRUE(current.account.resize(bodies, 50));
    EXPECT_EQ(old.asked, 1);
    EXPECT_EQ(recent.asked, 0);
    EXPECT_EQ(memory->used(bodies), 100U);
}

// Guards against a request that is lost for room although it is worked on at a target.
TEST(CallerMemoryTest, AHandledRequestKeepsItsBody)
{
    const auto memory = memoryOf(100);
    FakeConnection handled(memory, CallerStage::Handled, 1);
    const MemoryHold body(memory, bodies, 90);
    FakeConnection current(memory, CallerStage::Body, 2);
    EXPECT_FALSE(current.account.resize(bodies, 60));
    EXPECT_EQ(handled.asked, 0);
}

// Guards against a machine on which a body inside the limits is never served.
TEST(CallerMemoryTest, OneBodyMayExceedTheLimitWhileOthersLeaveRoom)
{
    const auto memory = memoryOf(100);
    FakeConnection large(memory, CallerStage::Body, 1);
    FakeConnection small(memory, CallerStage::Body, 2);
    EXPECT_TRUE(large.account.resize(bodies, 300));
    EXPECT_TRUE(small.account.resize(bodies, 20));
    EXPECT_EQ(large.asked, 0);
}

// Guards against a few large holders that keep small requests out.
TEST(CallerMemoryTest, LessThanAnEqualShareIsAlwaysGiven)
{
    const auto memory = memoryOf(100);
    const MemoryHold held(memory, bodies, 100);
    FakeConnection first(memory, CallerStage::Body, 1);
    FakeConnection second(memory, CallerStage::Body, 2);
    EXPECT_TRUE(first.account.resize(bodies, 50));
    EXPECT_FALSE(first.account.resize(bodies, 51));
}

// Guards against bytes that stay charged after their holder has ended.
TEST(CallerMemoryTest, AnEndReturnsAllBytes)
{
    const auto memory = memoryOf(100);
    {
        FakeConnection connection(memory, CallerStage::Body, 1);
        EXPECT_TRUE(connection.account.resize(bodies, 40));
        EXPECT_TRUE(connection.account.resize(MemoryPart::Answers, 30));
        EXPECT_TRUE(connection.account.resize(bodies, 10));
        const MemoryHold hold(memory, MemoryPart::Requests, 20);
        EXPECT_EQ(memory->used(bodies), 10U);
        EXPECT_EQ(memory->used(MemoryPart::Requests), 20U);
    }
    for (const auto part : {MemoryPart::Requests, MemoryPart::Bodies, MemoryPart::Answers})
        EXPECT_EQ(memory->used(part), 0U);
}

// Guards against an endless search when nobody can give way.
TEST(CallerMemoryTest, AConnectionThatCannotGiveWayIsPassedOver)
{
    class Stuck : public FakeConnection
    {
        using FakeConnection::FakeConnection;
        bool giveWay(MemoryPart) override { return false; }
    };
    const auto memory = memoryOf(100);
    Stuck stuck(memory, CallerStage::Idle, 1);
    FakeConnection current(memory, CallerStage::Head, 2);
    EXPECT_TRUE(stuck.account.resize(MemoryPart::Requests, 80));
    EXPECT_FALSE(current.account.resize(MemoryPart::Requests, 90));
}

TEST(CallerMemoryTest, TheLeastImportantOfEqualsGivesWay)
{
    const TimePoint time{};
    EXPECT_TRUE(givesWayBefore({CallerStage::Body, 3, time, false},
                               {CallerStage::Body, 1, time, false}));
    EXPECT_TRUE(givesWayBefore({CallerStage::Handled, 0, time, false},
                               {CallerStage::Handled, 0, time - Milliseconds(5), true}));
}

// Guards against parts that take more than callers may have of a machine.
TEST(CallerMemoryTest, PartsTakeFourTenthsOfTheMachine)
{
    constexpr std::size_t machine = 112U << 20U;
    std::size_t sum = 0;
    for (const std::size_t bytes : callerMemoryLimits(machine).bytes)
        sum += bytes;
    EXPECT_LE(sum, machine * 4 / 10);
    EXPECT_GE(sum, machine * 39 / 100);
}

// Guards against small bodies that are refused because of a large one that is worked on.
TEST(CallerMemoryTest, ALargeHandledBodyDoesNotCostOthersTheirEqualShare)
{
    const auto memory = memoryOf(100);
    FakeConnection large(memory, CallerStage::Handled, 0);
    FakeConnection small(memory, CallerStage::Body, 1);
    FakeConnection current(memory, CallerStage::Body, 2);
    EXPECT_TRUE(large.account.resize(bodies, 100));
    EXPECT_TRUE(small.account.resize(bodies, 10));
    EXPECT_TRUE(current.account.resize(bodies, 10));
    EXPECT_EQ(small.asked, 0);
    EXPECT_EQ(current.asked, 0);
}

} // namespace
} // namespace chestnutvane
