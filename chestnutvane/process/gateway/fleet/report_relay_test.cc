#include "chestnutvane/process/gateway/fleet/report_relay.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>
#include <set>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Instances that report through each other, without a network: a simulation with a clock of its
// own, in which datagrams take time, get lost, and instances die.
class RelayFleet
{
public:
    // Three regions with three zones each; a few instances of each zone have more cores.
    explicit RelayFleet(std::size_t instancesPerZone)
    {
        for (int region = 0; region < regions; ++region) {
            for (int zone = 0; zone < zonesPerRegion; ++zone) {
                for (std::size_t i = 0; i < instancesPerZone; ++i) {
                    const std::string name =
                            "r" + std::to_string(region) + "-z" + std::to_string(zone);
                    constexpr std::size_t largeInstances = 3;
                    peers_.push_back({name + "-" + std::to_string(i), name,
                                      "r" + std::to_string(region),
                                      i < largeInstances ? 0.5 : 0.1});
                }
            }
        }
        instances_.resize(peers_.size());
        for (std::size_t i = 0; i < peers_.size(); ++i) {
            indices_[peers_[i].id] = i;
            Instance &instance = instances_[i];
            instance.heardAt.resize(peers_.size());
            instance.relay = std::make_unique<ReportRelay>(
                    peers_[i], i + 1, [this, i](const std::string &id) {
                        const TimePoint heard = instances_[i].heardAt[indices_.at(id)];
                        return heard == TimePoint{} || now_ - heard < livenessTimeout;
                    });
            for (const RelayPeer &peer : peers_)
                instance.relay->setPeer(peer);
            instance.nextRegionReport = now_ + Milliseconds(random_() % regionInterval.count());
            instance.nextOtherReport = now_ + Milliseconds(random_() % otherInterval.count());
        }
    }

    void kill(const std::string &id) { instances_.at(indices_.at(id)).dead = true; }
    void kill(std::size_t i) { instances_.at(i).dead = true; }
    void setLoss(double share) { loss_ = share; }

    void run(Milliseconds time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step)
            runStep();
    }

    // The longest time since a live instance last heard of another live one of its region, or of
    // another region.
    [[nodiscard]] Milliseconds longestSilence(bool sameRegion) const
    {
        Duration longest{0};
        for (std::size_t i = 0; i < peers_.size(); ++i) {
            for (std::size_t other = 0; other < peers_.size(); ++other) {
                if (i != other && !instances_[i].dead && !instances_[other].dead
                    && (peers_[i].region == peers_[other].region) == sameRegion)
                    longest = std::max(longest, now_ - instances_[i].heardAt[other]);
            }
        }
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

    // Runs and returns the longest silence on the way.
    Milliseconds longestSilenceWithin(Milliseconds time)
    {
        Milliseconds longest{0};
        constexpr Milliseconds checkPeriod{100};
        for (Milliseconds passed{0}; passed < time; passed += checkPeriod) {
            run(checkPeriod);
            longest = std::max(longest, longestSilence(true));
        }
        return longest;
    }

    // Datagrams that the instances of the smallest size sent and received, for each of them.
    [[nodiscard]] double datagramsPerSmallInstance() const
    {
        double sum = 0;
        double count = 0;
        for (std::size_t i = 0; i < peers_.size(); ++i) {
            if (peers_[i].coreShare < 0.2) {
                sum += instances_[i].datagrams;
                ++count;
            }
        }
        return sum / count;
    }

    [[nodiscard]] double datagramsSent() const { return sent_; }
    [[nodiscard]] std::size_t size() const { return peers_.size(); }

    static constexpr Milliseconds livenessTimeout{2000};

private:
    struct Instance
    {
        std::unique_ptr<ReportRelay> relay;
        std::vector<TimePoint> heardAt; // by instance
        TimePoint nextRegionReport;
        TimePoint nextOtherReport;
        TimePoint flushAt = TimePoint::max();
        std::uint64_t sequence = 0;
        double datagrams = 0;
        bool dead = false;
    };

    struct Datagram
    {
        TimePoint arrival;
        std::size_t receiver = 0;
        std::string bytes;
        bool operator>(const Datagram &other) const { return arrival > other.arrival; }
    };

    void runStep()
    {
        while (!network_.empty() && network_.top().arrival <= now_) {
            const Datagram datagram = network_.top();
            network_.pop();
            Instance &receiver = instances_[datagram.receiver];
            if (receiver.dead)
                continue;
            ++receiver.datagrams;
            auto batch = decodeBatch(datagram.bytes);
            ASSERT_TRUE(isOk(batch));
            for (const RelayFrame &frame : receiver.relay->onBatch(value(batch), false, now_))
                receiver.heardAt[frame.incarnation - 1] = now_;
        }
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            Instance &instance = instances_[i];
            if (instance.dead)
                continue;
            if (now_ >= instance.nextRegionReport) {
                report(i, Audience::SameRegion);
                instance.nextRegionReport = now_ + regionInterval;
            }
            if (now_ >= instance.nextOtherReport) {
                report(i, Audience::OtherRegions);
                instance.nextOtherReport = now_ + otherInterval;
            }
            if (instance.flushAt == TimePoint::max() && instance.relay->hasWaitingFrames())
                instance.flushAt = now_ + ReportRelay::flushInterval;
            if (now_ >= instance.flushAt) {
                instance.flushAt = TimePoint::max();
                send(i, instance.relay->flush(false, now_));
            }
        }
    }

    void report(std::size_t i, Audience audience)
    {
        RelayFrame frame;
        frame.incarnation = i + 1;
        frame.sequence = ++instances_[i].sequence;
        frame.audience = audience;
        frame.report = std::string(150, 'r');
        send(i, instances_[i].relay->submit(std::move(frame), now_));
    }

    void send(std::size_t from, const std::vector<OutgoingBatches> &batches)
    {
        for (const auto &[receivers, datagrams] : batches) {
            for (const std::string &id : receivers) {
                const std::size_t to = indices_.at(id);
                const Milliseconds delay = peers_[from].region == peers_[to].region ? 2ms : 56ms;
                for (const std::string &bytes : datagrams) {
                    ++sent_;
                    ++instances_[from].datagrams;
                    if (std::uniform_real_distribution<>(0, 1)(random_) >= loss_)
                        network_.push({now_ + delay, to, bytes});
                }
            }
        }
    }

    static constexpr int regions = 3;
    static constexpr int zonesPerRegion = 3;
    static constexpr Milliseconds step{10};
    static constexpr Milliseconds regionInterval{300};
    static constexpr Milliseconds otherInterval{900};

    std::mt19937 random_{20261205};
    TimePoint now_ = TimePoint{} + 1h;
    std::vector<RelayPeer> peers_;
    std::map<std::string, std::size_t> indices_;
    std::vector<Instance> instances_;
    std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> network_;
    double loss_ = 0;
    double sent_ = 0;
};

// Guards against instances that hear of others too late to place requests by their load.
TEST(ReportRelayTest, ReportsReachAllInstancesSoon)
{
    RelayFleet fleet(22);
    fleet.run(3s);
    EXPECT_LE(fleet.longestSilenceWithin(2s), 500ms);
    EXPECT_LE(fleet.longestSilence(false), 1200ms);
}

// Guards against control traffic that grows with the square of the fleet. Naive: each instance
// sends each of its reports to all others.
TEST(ReportRelayTest, DatagramsOfAnInstanceDoNotGrowWithTheFleet)
{
    constexpr auto time = 5s;
    const auto measure = [time](std::size_t instancesPerZone) {
        RelayFleet fleet(instancesPerZone);
        fleet.run(time);
        const double reportsPerSecond = 1000.0 / 300;
        const auto others = static_cast<double>(fleet.size()) / 3;
        const double naive = static_cast<double>(fleet.size()) * others * reportsPerSecond
                * std::chrono::seconds(time).count();
        EXPECT_LT(fleet.datagramsSent() * 2, naive) << fleet.size();
        return fleet.datagramsPerSmallInstance();
    };
    const double small = measure(15);
    const double large = measure(60);
    // Batches of a larger fleet fill more than one datagram of maxBatchBytes.
    EXPECT_LT(large, small * 2);
}

// Guards against live instances that are taken for dead, and left out of the directory, because the
// relays of their zone died.
TEST(ReportRelayTest, TheLossOfBothRelaysOfAZoneSilencesNobody)
{
    RelayFleet fleet(22);
    fleet.run(3s);
    // The first two in the order of choice: most cores, then the lowest hash.
    std::vector<std::string> large{"r0-z0-0", "r0-z0-1", "r0-z0-2"};
    std::sort(large.begin(), large.end(),
              [](const auto &a, const auto &b) { return hash64(a) < hash64(b); });
    fleet.kill(large[0]);
    fleet.kill(large[1]);
    EXPECT_LT(fleet.longestSilenceWithin(6s), RelayFleet::livenessTimeout);
    fleet.run(5s);
    EXPECT_LE(fleet.longestSilenceWithin(1s), 500ms);
}

// Guards against a fleet that does not find new relays after most instances died at once. Relays of
// other zones are only known to be dead after the liveness timeout.
TEST(ReportRelayTest, AFleetThatLostMostInstancesFindsNewRelays)
{
    RelayFleet fleet(22);
    fleet.run(3s);
    std::mt19937 random(7);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (random() % 100 < 55)
            fleet.kill(i);
    }
    fleet.run(4s);
    EXPECT_LE(fleet.longestSilenceWithin(1s), 500ms);
}

// Guards against reports that are lost with one datagram.
TEST(ReportRelayTest, LossOnTheLinksSilencesNobody)
{
    RelayFleet fleet(22);
    fleet.run(3s);
    fleet.setLoss(0.1);
    EXPECT_LT(fleet.longestSilenceWithin(10s), RelayFleet::livenessTimeout);
}

class SingleRelayTest : public ::testing::Test
{
protected:
    SingleRelayTest() : relay_({"self", "z", "r", 1}, 1, [](const std::string &) { return true; })
    {
        for (const char *id : {"a", "b", "c"})
            relay_.setPeer({id, "z", "r", 0.1});
        relay_.setPeer({"far", "y", "r", 0.1});
        relay_.setPeer({"farther", "x", "q", 0.1});
    }

    static RelayBatch batchOf(std::uint64_t sequence, Audience audience, Hop hop)
    {
        return {hash64("a"), hop, {{9, sequence, audience, 0, false, 5ms, "report"}}};
    }

    ReportRelay relay_;
    const TimePoint start_ = TimePoint{} + 1h;
};

// Guards against a report that circulates, or is processed twice.
TEST_F(SingleRelayTest, AReportIsTakenAndPassedOnOnce)
{
    const auto batch = batchOf(1, Audience::SameRegion, Hop::ToRelay);
    EXPECT_EQ(relay_.onBatch(batch, false, start_).size(), 1U);
    EXPECT_TRUE(relay_.onBatch(batch, false, start_).empty());
    const auto out = relay_.flush(false, start_ + 60ms);
    ASSERT_EQ(out.size(), 2U);
    EXPECT_EQ(out[0].receivers.size(), 3U); // also the sender, which learns that the relay works
    EXPECT_EQ(out[1].receivers, std::vector<std::string>{"far"});
    const auto passedOn = decodeBatch(out[0].datagrams.at(0));
    EXPECT_EQ(value(passedOn).frames.at(0).held, 65ms);
    EXPECT_EQ(value(passedOn).frames.at(0).relays, 1);
    EXPECT_FALSE(relay_.hasWaitingFrames());
    EXPECT_EQ(
            relay_.onBatch(batchOf(2, Audience::SameRegion, Hop::ToMembers), false, start_).size(),
            1U);
    EXPECT_FALSE(relay_.hasWaitingFrames());
}

// Guards against reports for other regions that cost the own one traffic.
TEST_F(SingleRelayTest, ReportsForOtherRegionsLeaveTheRegion)
{
    EXPECT_TRUE(relay_.onBatch(batchOf(1, Audience::OtherRegions, Hop::ToRelay), false, start_)
                        .empty());
    const auto out = relay_.flush(false, start_ + 60ms);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].receivers, std::vector<std::string>{"farther"});
}

// Guards against old content that looks new because a relay did not run for a while.
TEST_F(SingleRelayTest, AStallOfARelayIsTold)
{
    relay_.onBatch(batchOf(1, Audience::SameRegion, Hop::ToRelay), false, start_);
    const auto out = relay_.flush(true, start_ + 60ms);
    EXPECT_TRUE(value(decodeBatch(out.at(0).datagrams.at(0))).frames.at(0).agesUnknown);
}

// Guards against relays in a region that is small enough for direct reports.
TEST_F(SingleRelayTest, SmallRegionsNeedNoRelays)
{
    EXPECT_FALSE(relay_.isNeeded());
    for (std::size_t i = 0; i <= ReportRelay::maxDirectPeers; ++i)
        relay_.setPeer({"p" + std::to_string(i), "z", "r", 0.1});
    EXPECT_TRUE(relay_.isNeeded());
    for (std::size_t i = 0; i <= ReportRelay::maxDirectPeers; ++i)
        relay_.removePeer("p" + std::to_string(i));
    EXPECT_FALSE(relay_.isNeeded());
}

} // namespace
} // namespace chestnutvane
