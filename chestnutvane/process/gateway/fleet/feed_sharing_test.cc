#include "chestnutvane/process/gateway/fleet/feed_sharing.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

const BootTime start = BootTime{} + 1h;

// Guards against store calls by every instance while the reader confirms their content.
TEST(FeedSharingTest, AConfirmedInstanceDoesNotRead)
{
    FeedFreshness freshness;
    freshness.onContentRead(start, 7);
    for (int second = 1; second < 30; ++second) {
        const BootTime now = start + second * 1s;
        freshness.onPeerStatus({7, 300ms}, now);
        EXPECT_FALSE(isReadDue(freshness, false, now + 500ms));
    }
}

// Guards against a store that came back from a copy: what was read before confirms nothing, and a
// later read is not missed although its fingerprint, or its time, looks the same.
TEST(FeedSharingTest, OnlyTheSameEraConfirms)
{
    FeedFreshness freshness;
    freshness.onContentRead(start, 7, ContentSource::Store, 2);
    freshness.onPeerStatus({7, 0ms, 1}, start + 500ms);
    EXPECT_EQ(freshness.confirmedAt(), start);
    freshness.onPeerStatus({8, 0ms, 1}, start + 500ms);
    EXPECT_FALSE(freshness.isOutdated());
    EXPECT_FALSE(freshness.mayApplyChange(7, start + 500ms, 1));
    EXPECT_TRUE(freshness.mayApplyChange(7, start + 500ms, 2));
    freshness.onPeerStatus({7, 0ms, 2}, start + 500ms);
    EXPECT_GT(freshness.confirmedAt(), start);
    freshness.onPeerStatus({7, 2s, 3}, start + 600ms);
    EXPECT_TRUE(freshness.isOutdated());
    EXPECT_EQ(freshness.status(start + 1s).era, 2U);
}

// Guards against updates that an instance only sees with its next regular read.
TEST(FeedSharingTest, OtherContentReadLaterMakesAReadDueAtOnce)
{
    FeedFreshness freshness;
    freshness.onContentRead(start, 7);
    freshness.onPeerStatus({8, 10ms}, start + 500ms);
    EXPECT_TRUE(isReadDue(freshness, false, start + 500ms));
    freshness.onContentRead(start + 510ms, 8);
    EXPECT_FALSE(isReadDue(freshness, false, start + 600ms));
}

// Guards against instances that trigger each other's reads endlessly because they read at different
// times.
TEST(FeedSharingTest, ContentOfAnEarlierReadIsIgnored)
{
    FeedFreshness freshness;
    freshness.onContentRead(start, 8);
    freshness.onPeerStatus({7, 400ms}, start + 200ms);
    EXPECT_FALSE(isReadDue(freshness, false, start + 200ms));
}

// Guards against updates that are missed because the reader died, paused or was partitioned.
TEST(FeedSharingTest, WithoutConfirmationAnInstanceReadsWithinTheLimit)
{
    FeedFreshness freshness;
    freshness.onContentRead(start, 7);
    EXPECT_FALSE(isReadDue(freshness, false, start + confirmationTimeout - 1ms));
    EXPECT_TRUE(isReadDue(freshness, false, start + confirmationTimeout));
    freshness.onPeerStatus({7, 5s}, start + 1s); // a reader that cannot reach the store
    EXPECT_TRUE(isReadDue(freshness, false, start + confirmationTimeout));
}

// Guards against confirmations that circulate among instances although none of them reads: only an
// instance's own read confirms the content of others.
TEST(FeedSharingTest, OnlyTheReaderConfirms)
{
    FeedFreshness reader;
    FeedFreshness second;
    FeedFreshness third;
    reader.onContentRead(start, 7);
    second.onContentRead(start - 1s, 7);
    third.onContentRead(start - 1s, 7);
    second.onPeerStatus(reader.status(start + 100ms), start + 100ms);
    for (int step = 2; step < 20; ++step) {
        const BootTime now = start + step * 100ms;
        third.onPeerStatus(second.status(now), now);
        second.onPeerStatus(third.status(now), now);
    }
    EXPECT_EQ(second.confirmedAt(), start - maxReportTransit);
    EXPECT_EQ(third.confirmedAt(), start - 1s);
}

// Guards against content of a peer that is passed on as if it had been read here.
TEST(FeedSharingTest, ContentOfAPeerDoesNotConfirmThatOfOthers)
{
    FeedFreshness second;
    FeedFreshness third;
    second.onContentRead(start - 1s, 7);
    third.onContentRead(start - 1s, 8);
    second.onContentRead(start, 8, ContentSource::Peer);
    third.onPeerStatus(second.status(start + 100ms), start + 100ms);
    EXPECT_EQ(second.confirmedAt(), start);
    EXPECT_EQ(third.confirmedAt(), start - 1s);
}

// Guards against content that looks newer each time two instances exchange its status. Without the
// allowance for transit time, no instance read the store for 4 s, and nine requests were sent to
// targets that had deregistered.
TEST(FeedSharingTest, RelayedConfirmationsDoNotLookFresher)
{
    for (const auto path : {1ms, 10ms, 29ms}) {
        FeedFreshness first;
        FeedFreshness second;
        first.onContentRead(start, 7);
        second.onContentRead(start - 100ms, 7);
        BootTime now = start;
        for (int i = 0; i < 1000; ++i) {
            const FeedStatus statusOfFirst = first.status(now);
            now += path;
            second.onPeerStatus(statusOfFirst, now);
            const FeedStatus statusOfSecond = second.status(now);
            now += path;
            first.onPeerStatus(statusOfSecond, now);
        }
        EXPECT_LE(first.confirmedAt(), start);
        EXPECT_LE(second.confirmedAt(), start);
        EXPECT_TRUE(isReadDue(first, false, start + confirmationTimeout));
    }
}

// Guards against a region in which nobody reads the store, because each exchange of statuses makes
// the content look newer when reports take longer than maxReportTransit.
TEST(FeedSharingTest, SlowReportsDoNotReplaceReads)
{
    for (const auto path : {31ms, 120ms, 500ms}) {
        FeedFreshness first;
        FeedFreshness second;
        first.onContentRead(start, 7);
        second.onContentRead(start - 100ms, 7);
        BootTime now = start;
        while (now < start + confirmationTimeout + path) {
            const FeedStatus statusOfFirst = first.status(now);
            const FeedStatus statusOfSecond = second.status(now);
            now += path;
            second.onPeerStatus(statusOfFirst, now);
            first.onPeerStatus(statusOfSecond, now);
        }
        EXPECT_TRUE(isReadDue(first, false, now)) << path.count();
        EXPECT_TRUE(isReadDue(second, false, now)) << path.count();
    }
}

// Guards against an instance that was suspended and treats the datagrams buffered in its socket as
// recent.
TEST(FeedSharingTest, DatagramsThatWaitedDuringAStallAreNotTrusted)
{
    StallDetector detector;
    BootTime now = start;
    for (int i = 0; i < 20; ++i, now += 100ms)
        detector.onTick(now);
    EXPECT_FALSE(detector.datagramsMayBeStale(now));
    now += 3s;
    EXPECT_TRUE(detector.datagramsMayBeStale(now)) << "the datagram is processed before the tick";
    detector.onTick(now);
    EXPECT_TRUE(detector.datagramsMayBeStale(now + 50ms)) << "the tick came first";
    detector.onTick(now + 100ms);
    detector.onTick(now + 200ms);
    EXPECT_FALSE(detector.datagramsMayBeStale(now + 250ms));
}

// Guards against two readers in a region, and against none when the content of the first is too
// old.
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
        if (isReader({id}, others)) {
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
        next += id != reader && isReader({id}, others) ? 1 : 0;
    }
    EXPECT_EQ(next, 1);
}

// Guards against a region that gets its content late because a small, busy instance reads it.
TEST(FeedSharingTest, AnInstanceWithTheMostCoresReads)
{
    const ReaderCandidate large{"large", 100ms, 0.5};
    for (int i = 0; i < 20; ++i) {
        const ReaderCandidate small{"small-" + std::to_string(i), 100ms, 0.1};
        EXPECT_TRUE(isReader(large, {small}));
        EXPECT_FALSE(isReader(small, {large}));
        EXPECT_TRUE(isReader(small, {{"large", 2000ms, 0.5}}));
    }
}

} // namespace
} // namespace chestnutvane
