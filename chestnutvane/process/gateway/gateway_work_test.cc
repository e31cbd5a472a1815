// Which services are placed by work, and what the gateway learns from the answers of their targets.

#include <gtest/gtest.h>

#include "chestnutvane/process/gateway/crowded_gateway.h"
#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

constexpr const char *requestId = "r1";
constexpr const char *usualLoad = "1,0,3";
constexpr const char *slowLoad = "1,0,3,250";

// A gateway with one target, which states the given load with each answer.
class OneTarget
{
public:
    OneTarget(const std::string &load, WorkModelMode mode)
        : server_([load](RawClient &connection, int) {
              while (!connection.readUntil("\r\n\r\n", 2s).empty())
                  connection.send("HTTP/1.1 200 OK\r\nVane-Request-Id: r1\r\nAnswer-Seal: s\r\n"
                                  "Target-Load: "
                                  + load + "\r\nContent-Length: 4\r\n\r\nbody");
          }),
          crowded(1, 0, mode)
    {
        crowded.reportAllIdle();
        TargetEntry entry = target()->entry;
        entry.address = server_.address();
        crowded.gateway.registry().replaceAll({entry}, Clock::now(), RemovalPolicy::Immediate);
    }

    ~OneTarget()
    {
        crowded.gateway.registry().replaceAll({}, Clock::now(), RemovalPolicy::Immediate);
    }

    OneTarget(const OneTarget &) = delete;
    OneTarget &operator=(const OneTarget &) = delete;

    [[nodiscard]] std::shared_ptr<Target> target()
    {
        return crowded.gateway.registry().all().begin()->second;
    }

    void send()
    {
        Call call = CrowdedGateway::makeCall(settings_, 0, [this] { ++crowded.answered; });
        auto request = std::make_shared<HttpRequestMessage>(*call.request);
        request->set(settings_.headers.requestId, requestId);
        call.request = std::move(request);
        crowded.gateway.handle(std::move(call));
        crowded.io.restart();
        crowded.io.poll();
    }

    // Sends requests one after the other.
    void answer(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            const int before = crowded.answered;
            send();
            crowded.io.restart();
            while (crowded.answered == before)
                ASSERT_GT(crowded.io.run_one_for(2s), 0U);
        }
    }

    [[nodiscard]] double runsLearned() const
    {
        double runs = 0;
        for (const auto *expected : {"warm", "cold"}) {
            for (const auto *came : {"warm", "cold", "costly"})
                runs += crowded.metrics.value(
                        "vane_gateway_runs_learned_total",
                        {{"route", "views"}, {"expected", expected}, {"came", came}});
        }
        return runs;
    }

private:
    RawServer server_;
    GatewaySettings settings_; // for the names of headers

public:
    CrowdedGateway crowded;
};

// Guards against a service that is placed by work although its targets do not state their speed, or
// although the operator turned that off.
TEST(GatewayWorkTest, OtherServicesArePlacedAndLearnAsBefore)
{
    for (const auto &[load, mode] :
         {std::pair(usualLoad, WorkModelMode::Auto), std::pair(usualLoad, WorkModelMode::Off),
          std::pair(slowLoad, WorkModelMode::Off)}) {
        OneTarget one(load, mode);
        one.answer(2);
        EXPECT_EQ(one.runsLearned(), 0);
        EXPECT_NE(one.target()->runTimeFactor, 1);
        EXPECT_EQ(one.target()->speed.factorAt(Clock::now()), 1);
        LoadReport report;
        one.crowded.gateway.fillReport(report);
        EXPECT_TRUE(report.statedSpeeds.empty());
        // A request waits while all slots are taken.
        one.crowded.reportAllBusy();
        one.send();
        EXPECT_EQ(one.target()->inFlight, 0);
        EXPECT_EQ(one.crowded.gateway.pendingRequests(), 1U);
    }
}

TEST(GatewayWorkTest, AServiceWhoseTargetsStateTheirSpeedIsPlacedByWork)
{
    OneTarget one(slowLoad, WorkModelMode::Auto);
    one.answer(2);
    EXPECT_GT(one.runsLearned(), 0);
    EXPECT_EQ(one.target()->runTimeFactor, 1);
    EXPECT_GT(one.target()->speed.word(), 2);
    LoadReport report;
    one.crowded.gateway.fillReport(report);
    ASSERT_EQ(report.statedSpeeds.size(), 1U);
    EXPECT_EQ(report.statedSpeeds[0].percent, 250);
    // Requests are sent ahead while all slots are taken.
    one.crowded.reportAllBusy();
    one.answer(1);
    EXPECT_EQ(one.crowded.answered, 3);
}

// Guards against a speed that a peer heard and this instance does not use, and against figures of a
// peer that cannot be right.
TEST(GatewayWorkTest, SpeedsThatPeersHeardCount)
{
    OneTarget one(usualLoad, WorkModelMode::Auto);
    const std::uint64_t hash = one.target()->hash;
    one.crowded.gateway.applyStatedSpeeds(
            std::vector<StatedSpeed>{{hash, 250, 10s}, {hash, -1, 0ms}, {hash, 250, -5ms}});
    EXPECT_EQ(one.target()->speed.factorAt(Clock::now()), 1);
    one.crowded.gateway.applyStatedSpeeds(
            std::vector<StatedSpeed>{{hash, 250, 100ms}, {hash + 1, 250, 0ms}});
    EXPECT_GT(one.target()->speed.factorAt(Clock::now()), 1.5);
}

// Guards against an implausible speed that makes a target unusable or turns placement by work on.
TEST(GatewayWorkTest, AnImplausibleSpeedIsIgnored)
{
    OneTarget one("1,0,3,-40", WorkModelMode::Auto);
    one.answer(2);
    EXPECT_EQ(one.runsLearned(), 0);
    EXPECT_EQ(one.target()->speed.factorAt(Clock::now()), 1);
}

} // namespace
} // namespace chestnutvane
