#include "chestnutvane/process/log_queue.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

LogLine line(Event event, const std::string &text)
{
    return {event, text + "\n"};
}

// Guards against lines that change places or are cut when they are taken in blocks.
TEST(LogQueueTest, BlocksHoldWholeLinesInOrder)
{
    LogQueue queue({});
    queue.add(line(Event::RequestRouted, "one"), start);
    queue.add(line(Event::Started, "two"), start);
    queue.add(line(Event::RequestServed, "three"), start);
    EXPECT_EQ(queue.nextBlock(9), "one\ntwo\n");
    EXPECT_EQ(queue.nextBlock(1), "three\n");
    EXPECT_EQ(queue.nextBlock(9), "");
    EXPECT_TRUE(queue.empty());
}

// Guards against the loss of a failed request's line while lines of served requests wait.
TEST(LogQueueTest, LinesOfServedRequestsGiveWay)
{
    LogQueue queue({.maxBytes = 12, .routineBytesPerSecond = 1000});
    EXPECT_TRUE(queue.add(line(Event::RequestRouted, "aaa"), start));
    EXPECT_TRUE(queue.add(line(Event::RequestServed, "bbb"), start));
    EXPECT_TRUE(queue.add(line(Event::RequestServed, "ccc"), start));
    EXPECT_FALSE(queue.add(line(Event::RequestServed, "ddd"), start));
    EXPECT_TRUE(queue.add(line(Event::RequestRefused, "eee"), start));
    EXPECT_TRUE(queue.add(line(Event::RequestEnded, "fff"), start));
    EXPECT_EQ(queue.bytes(), 12U);
    EXPECT_EQ(queue.nextBlock(100), "ccc\neee\nfff\n");
    const std::map<Event, std::uint64_t> dropped = {{Event::RequestRouted, 1},
                                                    {Event::RequestServed, 2}};
    EXPECT_EQ(queue.takeDropped(), dropped);
    EXPECT_TRUE(queue.takeDropped().empty());
}

// Guards against a queue that grows without bound when no line may be dropped for another.
TEST(LogQueueTest, TheBytesStayInTheBound)
{
    LogQueue queue({.maxBytes = 100, .routineBytesPerSecond = 1000});
    for (int i = 0; i < 1000; ++i) {
        queue.add(line(Event::RequestRefused, "0123456789"), start + i * 1ms);
        ASSERT_LE(queue.bytes(), 100U);
    }
    EXPECT_EQ(queue.takeDropped().at(Event::RequestRefused), 991U);
}

// Guards against a log that grows with the load: an instance with 1,000 requests a second writes no
// more routine lines than the rate allows, and all others.
TEST(LogQueueTest, RoutineLinesKeepTheirRate)
{
    constexpr std::size_t rate = 10'000;
    LogQueue queue({.maxBytes = 1U << 20U, .routineBytesPerSecond = rate});
    std::size_t routine = 0;
    int others = 0;
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        const TimePoint now = start + i * 1ms;
        const LogLine served = line(Event::RequestServed, std::string(249, 's'));
        if (queue.add(served, now))
            routine += served.text.size();
        if (i % 10 == 0 && queue.add(line(Event::RequestRefused, std::string(249, 'r')), now))
            ++others;
        queue.nextBlock(4096);
    }
    constexpr std::size_t seconds = 10;
    EXPECT_LE(routine, rate * (seconds + 1));
    EXPECT_GE(routine, rate * seconds);
    EXPECT_EQ(others, requests / 10);
}

} // namespace
} // namespace chestnutvane
