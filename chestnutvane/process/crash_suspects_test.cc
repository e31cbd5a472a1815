#include "chestnutvane/process/crash_suspects.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against repeated heartbeats that count a crash twice, and against wrong limits.
TEST(CrashSuspectsTest, LimitsAndIdempotentMerge)
{
    const TimePoint now;
    CrashSuspects near({1, 1}, "south");
    CrashSuspects far({1, 2}, "north");
    far.charge(7, now);
    for (int i = 0; i < 3; ++i)
        near.merge(far.counts(now), now);
    EXPECT_EQ(near.verdict(7, now), SuspectVerdict::Alone);
    near.charge(7, now);
    EXPECT_EQ(near.verdict(7, now), SuspectVerdict::Alone); // 1 in the region, 2 in the fleet
    far.charge(7, now);
    near.merge(far.counts(now), now);
    EXPECT_EQ(near.verdict(7, now), SuspectVerdict::Refused); // 3 in the fleet
    EXPECT_EQ(far.verdict(7, now), SuspectVerdict::Refused); // 2 in the region
    EXPECT_EQ(near.verdict(8, now), SuspectVerdict::Clear);
}

// Guards against a cleared suspect that a later heartbeat accuses again.
TEST(CrashSuspectsTest, ClearSpreadsAndOldCountsStayCleared)
{
    const TimePoint now;
    CrashSuspects a({1, 1}, "south");
    CrashSuspects b({1, 2}, "south");
    a.charge(7, now);
    const auto old = a.counts(now);
    b.merge(old, now);
    b.clear(7, now);
    b.merge(old, now);
    EXPECT_EQ(b.verdict(7, now), SuspectVerdict::Clear);
    a.merge(b.counts(now), now);
    EXPECT_EQ(a.verdict(7, now), SuspectVerdict::Clear);
    a.charge(7, now);
    b.merge(a.counts(now), now);
    EXPECT_EQ(b.verdict(7, now), SuspectVerdict::Alone);
}

// Guards against counts that instances keep alive by handing them back and forth.
TEST(CrashSuspectsTest, CountsEndAfterTenMinutes)
{
    CrashSuspects a({1, 1}, "south");
    CrashSuspects b({1, 2}, "south");
    CrashSuspects c({1, 3}, "south");
    a.charge(7, TimePoint());
    const auto message = a.counts(TimePoint());
    for (TimePoint now; now < TimePoint(std::chrono::minutes(12)); now += Milliseconds(500)) {
        if (now == TimePoint())
            b.merge(message, now + Milliseconds(100));
        c.merge(b.counts(now + Milliseconds(200)), now + Milliseconds(300));
        b.merge(c.counts(now + Milliseconds(300)), now + Milliseconds(400));
    }
    EXPECT_TRUE(b.counts(TimePoint(std::chrono::minutes(12))).empty());
    EXPECT_TRUE(c.counts(TimePoint(std::chrono::minutes(12))).empty());
}

// Guards against a table that grows with the number of different crashing requests.
TEST(CrashSuspectsTest, TableIsBounded)
{
    CrashSuspects suspects({1, 1}, "south", {.maxCounts = 4});
    for (std::uint64_t i = 0; i < 9; ++i)
        suspects.charge(i, TimePoint(Milliseconds(i)));
    EXPECT_EQ(suspects.counts(TimePoint(Milliseconds(9))).size(), 4U);
    EXPECT_EQ(suspects.verdict(8, TimePoint(Milliseconds(9))), SuspectVerdict::Alone);
}

} // namespace
} // namespace chestnutvane
