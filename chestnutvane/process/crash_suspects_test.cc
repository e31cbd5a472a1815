#include "chestnutvane/process/crash_suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <vector>

namespace chestnutvane {
namespace {

// Guards against repeated heartbeats that count a crash twice, and against wrong limits.
TEST(CrashSuspectsTest, LimitsAndIdempotentMerge)
{
    const TimePoint now;
    CrashSuspects south({1, 1}, "south");
    CrashSuspects north({1, 2}, "north");
    north.recordCrash(7, now);
    for (int i = 0; i < 3; ++i)
        south.merge(north.counts(now), now);
    EXPECT_EQ(south.verdict(7, now), SuspectVerdict::Exclusive);
    south.recordCrash(7, now);
    EXPECT_EQ(south.verdict(7, now), SuspectVerdict::Exclusive); // 1 in the region, 2 in the fleet
    north.recordCrash(7, now);
    south.merge(north.counts(now), now);
    EXPECT_EQ(south.verdict(7, now), SuspectVerdict::Refused); // 3 in the fleet
    EXPECT_EQ(north.verdict(7, now), SuspectVerdict::Refused); // 2 in the region
    EXPECT_EQ(south.verdict(8, now), SuspectVerdict::Allowed);
}

// Guards against a late heartbeat that makes a cleared fingerprint a suspect again.
TEST(CrashSuspectsTest, ClearSpreadsAndOldCountsStayCleared)
{
    const TimePoint now;
    CrashSuspects a({1, 1}, "south");
    CrashSuspects b({1, 2}, "south");
    a.recordCrash(7, now);
    const auto old = a.counts(now);
    b.merge(old, now);
    b.clearAfterSuccess(7, now);
    b.merge(old, now);
    EXPECT_EQ(b.verdict(7, now), SuspectVerdict::Allowed);
    a.merge(b.counts(now), now);
    EXPECT_EQ(a.verdict(7, now), SuspectVerdict::Allowed);
    a.recordCrash(7, now);
    b.merge(a.counts(now), now);
    EXPECT_EQ(b.verdict(7, now), SuspectVerdict::Exclusive);
}

// Guards against counts that never expire because instances send them back and forth.
TEST(CrashSuspectsTest, CountsExpireAfterTenMinutes)
{
    CrashSuspects a({1, 1}, "south");
    CrashSuspects b({1, 2}, "south");
    CrashSuspects c({1, 3}, "south");
    a.recordCrash(7, TimePoint());
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

// Simulates instances that exchange crashes and clears of one fingerprint in any order.
class ClearSchedule
{
public:
    static constexpr std::uint64_t fingerprint = 7;

    ClearSchedule()
    {
        for (std::uint64_t i = 0; i < instanceCount; ++i)
            nodes_.push_back({CrashSuspects({1, i}, i % 2 == 0 ? "south" : "north"), {}});
    }

    // Which events a step allows: a single clear by an operator, or any number of clears and also
    // successful exclusive runs.
    enum class Mode { OneClear, AnyClear };

    // One step of 1 ms: a crash, a clear by an operator, a heartbeat sent, a successful run, or the
    // (repeated) arrival of any heartbeat sent before.
    void step(int kind, std::size_t index, std::size_t other, Mode mode)
    {
        now_ += Milliseconds(1);
        Node &node = nodes_[index % instanceCount];
        if (kind == 0) {
            node.suspects.recordCrash(fingerprint, now_);
            charges_.push_back(node.knownClears);
        } else if (kind == 1 && (mode == Mode::AnyClear || clears_ == 0)) {
            clear(node);
        } else if (kind == 3 && mode == Mode::AnyClear) {
            node.suspects.clearAfterSuccess(fingerprint, now_);
        } else if (kind == 2) {
            sent_.push_back({node.suspects.counts(now_), node.knownClears});
        } else if (!sent_.empty()) {
            deliver(sent_[other % sent_.size()], node);
        }
    }

    void clearAt(std::size_t index) { clear(nodes_[index % instanceCount]); }

    void chargeAt(std::size_t index)
    {
        now_ += Milliseconds(1);
        nodes_[index % instanceCount].suspects.recordCrash(fingerprint, now_);
    }

    // Delivers every heartbeat sent so far to all instances; then all exchange current heartbeats.
    void deliverAll()
    {
        for (const Message &message : sent_) {
            for (Node &node : nodes_)
                deliver(message, node);
        }
        for (int round = 0; round < 2; ++round) {
            for (const Node &from : nodes_) {
                for (Node &to : nodes_)
                    deliver({from.suspects.counts(now_), from.knownClears}, to);
            }
        }
    }

    // Returns the number of uncleared crashes, and asserts that all instances agree on it.
    std::uint32_t agreedCrashes()
    {
        std::set<std::uint32_t> views;
        std::set<SuspectVerdict> southVerdicts;
        for (std::size_t i = 0; i < instanceCount; ++i) {
            std::uint32_t crashes = 0;
            for (const CrashCount &count : nodes_[i].suspects.counts(now_))
                crashes += count.crashes - count.cleared;
            views.insert(crashes);
            if (i % 2 == 0)
                southVerdicts.insert(nodes_[i].suspects.verdict(fingerprint, now_));
        }
        RC_ASSERT(views.size() == 1U);
        RC_ASSERT(southVerdicts.size() == 1U);
        return *views.begin();
    }

    // Returns the number of crashes on instances that knew of at least that many clears.
    std::uint32_t chargesAfter(std::size_t clears) const
    {
        return static_cast<std::uint32_t>(
                std::count_if(charges_.begin(), charges_.end(),
                              [&](const auto &known) { return known.size() >= clears; }));
    }

    std::size_t clears() const { return clears_; }

private:
    static constexpr std::size_t instanceCount = 4;

    struct Node
    {
        CrashSuspects suspects;
        std::set<std::size_t>
                knownClears; // numbers of the clears; tracked independently of the tested class
    };
    struct Message
    {
        std::vector<CrashCount> counts;
        std::set<std::size_t> knownClears;
    };

    void clear(Node &node)
    {
        now_ += Milliseconds(1);
        node.suspects.clearByOperator(fingerprint, now_);
        node.knownClears.insert(clears_++);
    }

    void deliver(const Message &message, Node &to)
    {
        to.suspects.merge(message.counts, now_);
        to.knownClears.insert(message.knownClears.begin(), message.knownClears.end());
    }

    std::vector<Node> nodes_;
    std::vector<Message> sent_;
    std::vector<std::set<std::size_t>> charges_; // per crash: the clears known to its instance
    std::size_t clears_ = 0;
    TimePoint now_{std::chrono::hours(1)};
};

using Steps = std::vector<std::tuple<int, std::size_t, std::size_t>>;

Steps generatedSteps()
{
    return *rc::gen::container<Steps>(rc::gen::tuple(rc::gen::inRange(0, 6),
                                                     rc::gen::inRange<std::size_t>(0, 4),
                                                     rc::gen::inRange<std::size_t>(0, 64)));
}

// Guards against a late count from another instance that restores a refusal after an operator's
// clear, and against a clear that discards crashes counted by an instance that knew of it.
RC_GTEST_PROP(CrashSuspectsPropertyTest, OneClearBeatsLateCountsOnly, ())
{
    ClearSchedule schedule;
    for (const auto &[kind, index, other] : generatedSteps())
        schedule.step(kind, index, other, ClearSchedule::Mode::OneClear);
    schedule.deliverAll();
    RC_ASSERT(schedule.agreedCrashes() == schedule.chargesAfter(schedule.clears()));
}

// Guards against instances that never converge after clears on different instances, against a last
// clear that does not end the refusal, and against crashes that do not count after it.
RC_GTEST_PROP(CrashSuspectsPropertyTest, SeveralClearsConverge, ())
{
    ClearSchedule schedule;
    for (const auto &[kind, index, other] : generatedSteps())
        schedule.step(kind, index, other, ClearSchedule::Mode::AnyClear);
    schedule.deliverAll();
    schedule.agreedCrashes();
    schedule.clearAt(*rc::gen::inRange<std::size_t>(0, 4));
    schedule.deliverAll();
    RC_ASSERT(schedule.agreedCrashes() == 0U);
    schedule.chargeAt(*rc::gen::inRange<std::size_t>(0, 4));
    schedule.deliverAll();
    RC_ASSERT(schedule.agreedCrashes() == 1U);
}

// Guards against a clear that never expires because instances send it back and forth, and that
// discards the crashes of an instance on which it has expired.
TEST(CrashSuspectsTest, ClearExpiresAfterTenMinutes)
{
    const TimePoint late(std::chrono::minutes(12));
    CrashSuspects a({1, 1}, "south");
    CrashSuspects b({1, 2}, "south");
    a.recordCrash(7, TimePoint());
    EXPECT_EQ(a.clearByOperator(7, TimePoint()), 1U);
    for (TimePoint now; now < late; now += Milliseconds(500)) {
        b.merge(a.counts(now), now + Milliseconds(100));
        a.merge(b.counts(now + Milliseconds(200)), now + Milliseconds(300));
    }
    EXPECT_TRUE(a.counts(late).empty());
    EXPECT_TRUE(b.counts(late).empty());

    // The age that b receives lacks the transit time, so the clear expires later on b.
    const TimePoint expiredOnA(std::chrono::minutes(10));
    a.clearByOperator(7, TimePoint());
    b.merge(a.counts(TimePoint()), TimePoint(Milliseconds(300)));
    a.recordCrash(7, expiredOnA);
    a.merge(b.counts(expiredOnA), expiredOnA);
    EXPECT_EQ(a.verdict(7, expiredOnA), SuspectVerdict::Exclusive);
    b.merge(a.counts(expiredOnA + Milliseconds(400)), expiredOnA + Milliseconds(500));
    EXPECT_EQ(b.verdict(7, expiredOnA + Milliseconds(500)), SuspectVerdict::Exclusive);
}

// Guards against a crash that an instance counted while it was partitioned, without knowledge of a
// clear, and that the others ignore even after the clear has expired.
TEST(CrashSuspectsTest, CrashCountsAfterAnUnknownClearExpired)
{
    CrashSuspects a({1, 1}, "south");
    CrashSuspects partitioned({1, 2}, "south");
    a.clearByOperator(7, TimePoint());
    partitioned.recordCrash(7, TimePoint(std::chrono::minutes(5)));
    const TimePoint now(std::chrono::minutes(10));
    partitioned.merge(a.counts(now - Milliseconds(1)), now - Milliseconds(1));
    a.merge(partitioned.counts(now), now);
    EXPECT_EQ(a.verdict(7, now), SuspectVerdict::Exclusive);
}

// Guards against a report to operators that differs from the verdict that brokers apply, or that
// gives a wrong end of a refusal.
TEST(CrashSuspectsTest, ReportAgreesWithVerdict)
{
    using std::chrono::minutes;
    CrashSuspects south({1, 1}, "south");
    CrashSuspects north({1, 2}, "north");
    south.recordCrash(7, TimePoint());
    south.recordCrash(8, TimePoint());
    north.recordCrash(7, TimePoint(minutes(1)));
    south.merge(north.counts(TimePoint(minutes(1))), TimePoint(minutes(1)));
    const TimePoint now(minutes(2));
    EXPECT_EQ(south.report(now)[0],
              (SuspectReport{.fingerprint = 7,
                             .crashes = 2,
                             .regions = {{"north", 1, {}}, {"south", 1, {}}},
                             .age = minutes(1)}));
    south.recordCrash(7, now);
    EXPECT_EQ(south.verdict(7, now), SuspectVerdict::Refused);
    auto seven = south.report(now)[0];
    EXPECT_EQ(seven.crashes, 3U);
    EXPECT_EQ(seven.refusedFor, Duration(minutes(9))); // when the count of the north expires
    EXPECT_EQ(seven.regions[1], (SuspectReport::Region{"south", 2, minutes(10)}));
    EXPECT_EQ(south.verdict(7, now + minutes(10) - Milliseconds(1)), SuspectVerdict::Refused);
    EXPECT_EQ(south.verdict(7, now + minutes(10)), SuspectVerdict::Allowed);
    EXPECT_EQ(south.clearByOperator(7, now), 3U);
    seven = south.report(now)[0];
    EXPECT_EQ(seven, (SuspectReport{.fingerprint = 7, .clears = 1}));
    EXPECT_EQ(south.report(now)[1].crashes, 1U) << "another fingerprint";
}

// Guards against a table that grows with the number of different crashing requests.
TEST(CrashSuspectsTest, TableIsBounded)
{
    CrashSuspects suspects({1, 1}, "south", {.maxCounts = 4});
    for (std::uint64_t i = 0; i < 9; ++i)
        suspects.recordCrash(i, TimePoint(Milliseconds(i)));
    EXPECT_EQ(suspects.counts(TimePoint(Milliseconds(9))).size(), 4U);
    EXPECT_EQ(suspects.verdict(8, TimePoint(Milliseconds(9))), SuspectVerdict::Exclusive);
}

} // namespace
} // namespace chestnutvane
