#include "chestnutvane/process/gateway/limits/crash_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t request = 7;
const TimePoint start{1h};

class CrashWatchTest : public ::testing::Test
{
protected:
    static void crash(CrashWatch &watch, std::uint64_t target, TimePoint now)
    {
        watch.onAttemptLost(request, target, now);
        watch.onTargetDown(target, now + 400ms);
    }

    CrashWatch south_{{1, 1}, "south"};
    CrashWatch north_{{2, 1}, "north"};
};

// Guards against a request that crashes the targets of a service one after the other.
TEST_F(CrashWatchTest, ARequestThatCrashesThreeTargetsIsNotSentAgain)
{
    crash(south_, 1, start);
    crash(south_, 2, start + 1s);
    EXPECT_TRUE(south_.mayBeSent(request, start + 2s));
    crash(south_, 3, start + 2s);
    EXPECT_FALSE(south_.mayBeSent(request, start + 3s));
    EXPECT_TRUE(south_.mayBeSent(request + 1, start + 3s));
}

// Guards against requests that are refused because connections or responses were lost in the
// network.
TEST_F(CrashWatchTest, ALostConnectionToARunningTargetIsNoCrash)
{
    for (std::uint64_t target = 1; target <= 5; ++target)
        south_.onAttemptLost(request, target, start);
    EXPECT_TRUE(south_.isEmpty());
    // A target that ends more than 10 s later has ended for another reason.
    EXPECT_TRUE(south_.onTargetDown(1, start + 11s).empty());
    south_.expire(start + 11s);
    for (std::uint64_t target = 2; target <= 5; ++target)
        EXPECT_TRUE(south_.onTargetDown(target, start + 11s).empty());
    EXPECT_TRUE(south_.mayBeSent(request, start + 11s));
}

// Guards against requests that are refused because they were in flight at targets that crashed for
// another reason.
TEST_F(CrashWatchTest, ARequestThatIsAnsweredIsCleared)
{
    crash(south_, 1, start);
    crash(south_, 2, start + 1s);
    south_.onAnswered(request, start + 2s);
    crash(south_, 3, start + 3s);
    EXPECT_TRUE(south_.mayBeSent(request, start + 4s));
}

// Guards against a caller that repeats a crashing request at a different instance each time.
TEST_F(CrashWatchTest, CrashesSeenByDifferentInstancesCountTogether)
{
    crash(south_, 1, start);
    crash(north_, 2, start);
    crash(north_, 3, start + 1s);
    south_.merge(north_.countsToReport(start + 2s), start + 2s);
    south_.merge(north_.countsToReport(start + 2s), start + 2s); // a report may be delivered twice
    EXPECT_FALSE(south_.mayBeSent(request, start + 2s));
    EXPECT_TRUE(north_.mayBeSent(request, start + 2s));
    north_.merge(south_.countsToReport(start + 2s), start + 2s);
    EXPECT_FALSE(north_.mayBeSent(request, start + 2s));
}

// Guards against a response at one instance that does not clear the request at the others.
TEST_F(CrashWatchTest, AnAnswerClearsOnAllInstances)
{
    crash(south_, 1, start);
    crash(north_, 2, start);
    south_.merge(north_.countsToReport(start + 1s), start + 1s);
    south_.onAnswered(request, start + 2s);
    north_.merge(south_.countsToReport(start + 2s), start + 2s);
    crash(north_, 3, start + 3s);
    crash(north_, 4, start + 4s);
    EXPECT_TRUE(north_.mayBeSent(request, start + 5s));
    crash(north_, 5, start + 5s);
    EXPECT_FALSE(north_.mayBeSent(request, start + 6s));
}

// Guards against reports that contain each crash of the last ten minutes, which would use most of
// the bandwidth between instances, and against a count that is lost with a single report.
TEST_F(CrashWatchTest, ASingleCrashIsReportedForThreeSeconds)
{
    crash(south_, 1, start);
    EXPECT_EQ(south_.countsToReport(start + 2s).size(), 1);
    EXPECT_TRUE(south_.countsToReport(start + 4s).empty());
    crash(south_, 2, start + 10s);
    EXPECT_EQ(south_.countsToReport(start + 30s).size(), 1); // one crash below the limit
    south_.expire(start + 12min);
    EXPECT_TRUE(south_.isEmpty());
}

// Guards against reports that exceed a datagram after many crashes at once, and against a report
// without the request that is close to the limit.
TEST_F(CrashWatchTest, ReportsStayWithinTheLimitAfterManyCrashes)
{
    for (std::uint64_t other = 100; other < 200; ++other)
        south_.onAttemptLost(other, 1, start);
    south_.onTargetDown(1, start);
    crash(south_, 2, start);
    crash(south_, 3, start);
    const auto reported = south_.countsToReport(start + 1s);
    ASSERT_EQ(reported.size(), CrashWatch::maxReportedCounts);
    EXPECT_EQ(reported.front().fingerprint, request);
}

// Simulates a fleet of six instances and 20 targets for a minute. One caller sends a request that
// crashes every target that runs it, to each instance in turn. Other callers send requests, four of
// which are in flight at each target that crashes. Instances exchange reports every second.
struct CrashSimulation
{
    static constexpr std::size_t instances = 6;
    static constexpr std::uint64_t targets = 20;

    explicit CrashSimulation(bool isLimited)
    {
        std::vector<CrashWatch> watches;
        for (std::size_t i = 0; i < instances; ++i)
            watches.push_back(CrashWatch({i + 1, 1}, i % 2 == 0 ? "south" : "north"));
        std::mt19937 random(42);
        std::uniform_int_distribution<std::uint64_t> anyTarget(1, targets);
        std::uniform_int_distribution<std::uint64_t> anyOther(100, 100 + 400);
        constexpr int seconds = 60;
        for (int second = 0; second < seconds; ++second) {
            const TimePoint now = start + std::chrono::seconds(second);
            CrashWatch &watch = watches[static_cast<std::size_t>(second) % instances];
            if (!isLimited || watch.mayBeSent(request, now)) {
                ++crashes;
                const std::uint64_t target = anyTarget(random);
                watch.onAttemptLost(request, target, now);
                constexpr int atTarget = 4;
                for (int i = 0; i < atTarget; ++i)
                    watch.onAttemptLost(anyOther(random), target, now);
                watch.onTargetDown(target, now + 400ms);
            }
            constexpr int served = 100;
            for (int i = 0; i < served; ++i) {
                const std::uint64_t other = anyOther(random);
                CrashWatch &at = watches[static_cast<std::size_t>(i) % instances];
                otherRequestsRefused += at.mayBeSent(other, now + 500ms) ? 0 : 1;
                at.onAnswered(other, now + 500ms);
            }
            for (const CrashWatch &from : watches) {
                for (CrashWatch &to : watches)
                    to.merge(from.countsToReport(now + 900ms), now + 900ms);
            }
        }
    }

    int crashes = 0;
    int otherRequestsRefused = 0;
};

// Guards against a service that loses a target per second to one request, and against the refusal
// of other requests as a consequence.
TEST(CrashSimulationTest, OneRequestCrashesThreeTargetsAndNoOtherIsRefused)
{
    const CrashSimulation limited(true);
    EXPECT_LE(limited.crashes, 3);
    EXPECT_EQ(limited.otherRequestsRefused, 0);
    EXPECT_EQ(CrashSimulation(false).crashes, 60); // every time it is sent
}

// Plays one request that crashes each target that runs it and is sent again at a fixed interval, to
// each instance in turn. Charges reach the others with a report sent at once and with the regular
// ones, of which a part is lost.
struct RepeatedCrash
{
    std::size_t instances = 8;
    Duration interval{0}; // between two repeats
    Duration detection{0}; // from a crash until its instance has a proof of it
    double reportLoss = 0; // share of lost reports

    // Returns how many repeats reach a target later than the time after the third crash.
    [[nodiscard]] int lateRepeats(Duration afterThird) const
    {
        constexpr auto step = 50ms;
        constexpr auto regularReports = 900ms;
        constexpr auto playTime = 20s;
        std::vector<CrashWatch> watches;
        for (std::size_t i = 0; i < instances; ++i)
            watches.push_back(CrashWatch({i + 1, 1}, i % 2 == 0 ? "south" : "north"));
        std::mt19937 random(42);
        std::bernoulli_distribution isLost(reportLoss);
        std::multimap<TimePoint, std::pair<std::size_t, std::uint64_t>> proofs; // instance, target
        std::vector<TimePoint> crashes;
        const auto report = [&](std::size_t from, TimePoint now) {
            const auto counts = watches[from].countsToReport(now);
            for (std::size_t to = 0; to < instances && !counts.empty(); ++to) {
                if (to != from && !isLost(random))
                    watches[to].merge(counts, now);
            }
        };
        TimePoint nextRepeat = start;
        std::size_t repeats = 0;
        for (TimePoint now = start; now < start + playTime; now += step) {
            while (!proofs.empty() && proofs.begin()->first <= now) {
                const auto [instance, target] = proofs.begin()->second;
                proofs.erase(proofs.begin());
                watches[instance].onTargetDown(target, now);
                report(instance, now);
            }
            for (std::size_t i = 0; i < instances; ++i) {
                const auto offset = step * static_cast<int>(i % (regularReports / step));
                if ((now - start - offset) % regularReports == Duration{0})
                    report(i, now);
            }
            for (; nextRepeat <= now; nextRepeat += interval) {
                const std::size_t instance = repeats++ % instances;
                if (!watches[instance].mayBeSent(request, now))
                    continue;
                crashes.push_back(now);
                watches[instance].onAttemptLost(request, repeats, now);
                proofs.emplace(now + detection, std::pair(instance, repeats));
            }
        }
        return static_cast<int>(std::count_if(
                crashes.begin(), crashes.end(), [&crashes, afterThird](TimePoint when) {
                    return crashes.size() >= 3 && when > crashes[2] + afterThird;
                }));
    }
};

// Guards against a request that goes on crashing targets in a fleet of any size, whether the proof
// of a crash is the closed port or, seconds later, a new process at the address.
TEST(RepeatedCrashTest, AtMostThreeRepeatsComeLaterThanTheBound)
{
    constexpr Duration bound = 3s; // the shortest stabilityWindowS of the deployments
    constexpr Duration closedPort = 100ms;
    constexpr Duration newProcess = 2800ms; // 2 s until it starts, and a read of the store
    for (const std::size_t instances : {8U, 81U, 195U}) {
        for (const Duration interval : {100ms, 300ms, 2000ms}) {
            for (const Duration detection : {closedPort, newProcess}) {
                for (const double loss : {0.0, 0.1}) {
                    const RepeatedCrash play{instances, interval, detection, loss};
                    EXPECT_LE(play.lateRepeats(bound), 3)
                            << instances << " instances, interval " << interval.count()
                            << " ns, detection " << detection.count() << " ns, loss " << loss;
                }
            }
        }
    }
    // Proofs that come with the end of the entry only, as before.
    EXPECT_GT((RepeatedCrash{8, 300ms, 5300ms, 0}.lateRepeats(bound)), 3);
}

} // namespace
} // namespace chestnutvane
