#include "chestnutvane/process/gateway/feed_sharing.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const BootTime start = BootTime{} + 1h;

// Guards against calls of every instance while one of them reads for all.
TEST(FeedSharingTest, AConfirmedInstanceDoesNotRead)
{
    FeedFreshness freshness;
    freshness.onOwnRead(start, 7);
    for (int second = 1; second < 30; ++second) {
        const BootTime now = start + second * 1s;
        freshness.onPeer({7, 300ms}, now);
        EXPECT_FALSE(isReadDue(freshness, false, now + 500ms));
    }
}

// Guards against news that an instance learns only with its next regular read.
TEST(FeedSharingTest, OtherContentReadLaterMakesAReadDueAtOnce)
{
    FeedFreshness freshness;
    freshness.onOwnRead(start, 7);
    freshness.onPeer({8, 10ms}, start + 500ms);
    EXPECT_TRUE(isReadDue(freshness, false, start + 500ms));
    freshness.onOwnRead(start + 510ms, 8);
    EXPECT_FALSE(isReadDue(freshness, false, start + 600ms));
}

// Guards against an endless exchange of reads between instances that read at different times.
TEST(FeedSharingTest, ContentThatWasReadEarlierChangesNothing)
{
    FeedFreshness freshness;
    freshness.onOwnRead(start, 8);
    freshness.onPeer({7, 400ms}, start + 200ms);
    EXPECT_FALSE(isReadDue(freshness, false, start + 200ms));
}

// Guards against news that is missed because the reader died, paused or was cut off.
TEST(FeedSharingTest, WithoutConfirmationAnInstanceReadsWithinTheLimit)
{
    FeedFreshness freshness;
    freshness.onOwnRead(start, 7);
    EXPECT_FALSE(isReadDue(freshness, false, start + confirmationLimit - 1ms));
    EXPECT_TRUE(isReadDue(freshness, false, start + confirmationLimit));
    freshness.onPeer({7, 5s}, start + 1s); // a reader that lost the store
    EXPECT_TRUE(isReadDue(freshness, false, start + confirmationLimit));
}

// Guards against confirmations that go round among instances of which none reads: an age is passed
// on with what it confirms.
TEST(FeedSharingTest, AConfirmationKeepsTheAgeOfTheRead)
{
    FeedFreshness reader;
    FeedFreshness second;
    FeedFreshness third;
    reader.onOwnRead(start, 7);
    second.onOwnRead(start - 1s, 7);
    third.onOwnRead(start - 1s, 7);
    second.onPeer(reader.status(start + 100ms), start + 100ms);
    for (int step = 2; step < 20; ++step) {
        const BootTime now = start + step * 100ms;
        third.onPeer(second.status(now), now);
        second.onPeer(third.status(now), now);
    }
    EXPECT_EQ(second.confirmedAt(), start - reportTransit);
    EXPECT_EQ(third.confirmedAt(), start - 2 * reportTransit);
}

// Guards against content that looks fresher each time that two instances tell each other of it:
// with the time on the way left out, nobody read the store for four seconds, and nine requests went
// to targets that had left.
TEST(FeedSharingTest, NothingLooksFresherByBeingPassedOn)
{
    for (const auto path : {1ms, 10ms, 29ms}) {
        FeedFreshness first;
        FeedFreshness second;
        first.onOwnRead(start, 7);
        second.onOwnRead(start - 100ms, 7);
        BootTime now = start;
        for (int i = 0; i < 1000; ++i) {
            const FeedStatus toSecond = first.status(now);
            now += path;
            second.onPeer(toSecond, now);
            const FeedStatus toFirst = second.status(now);
            now += path;
            first.onPeer(toFirst, now);
        }
        EXPECT_LE(first.confirmedAt(), start);
        EXPECT_LE(second.confirmedAt(), start);
        EXPECT_TRUE(isReadDue(first, false, start + confirmationLimit));
    }
}

// Guards against an instance that was suspended and takes what waited in its socket for news.
TEST(FeedSharingTest, DatagramsThatWaitedDuringAStallAreNotTrusted)
{
    StallGuard guard;
    BootTime now = start;
    for (int i = 0; i < 20; ++i, now += 100ms)
        guard.onTick(now);
    EXPECT_FALSE(guard.mayBeOld(now));
    now += 3s;
    EXPECT_TRUE(guard.mayBeOld(now)) << "the datagram is taken before the tick";
    guard.onTick(now);
    EXPECT_TRUE(guard.mayBeOld(now + 50ms)) << "the tick came first";
    guard.onTick(now + 100ms);
    guard.onTick(now + 200ms);
    EXPECT_FALSE(guard.mayBeOld(now + 250ms));
}

// Guards against two readers in a region, and against none when the first one is not fresh.
TEST(FeedSharingTest, OneInstanceReadsForARegion)
{
    const std::vector<std::string> ids{"a", "b", "c", "d"};
    int readers = 0;
    std::string reader;
    for (const auto &id : ids) {
        std::vector<ReaderCandidate> others;
        for (const auto &other : ids) {
            if (other != id)
                others.push_back({other, 100ms});
        }
        if (isReader(id, others)) {
            ++readers;
            reader = id;
        }
    }
    EXPECT_EQ(readers, 1);
    int next = 0;
    for (const auto &id : ids) {
        std::vector<ReaderCandidate> others;
        for (const auto &other : ids) {
            if (other != id)
                others.push_back({other, other == reader ? Milliseconds(2000) : Milliseconds(100)});
        }
        next += id != reader && isReader(id, others) ? 1 : 0;
    }
    EXPECT_EQ(next, 1);
}

} // namespace
} // namespace chestnutvane
