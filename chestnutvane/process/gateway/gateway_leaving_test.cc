#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "chestnutvane/process/gateway/crowded_gateway.h"
#include "testing/raw_peer.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Guards against an at-most-once request that is sent to a further target although its caller has
// left: nobody waits for it any more, and the caller may have asked for it again elsewhere.
TEST(GatewayLeavingTest, ARefusedRequestOfACallerThatLeftIsNotSentAgain)
{
    std::atomic<int> arrivals{0};
    std::atomic<bool> mayAnswer{false};
    const auto refuse = [&](RawClient &connection, int) {
        if (connection.readUntil("\r\n\r\n", 2s).empty())
            return;
        ++arrivals;
        while (!mayAnswer)
            std::this_thread::sleep_for(1ms);
        connection.send("HTTP/1.1 503 Service Unavailable\r\nVane-Request-Id: r1\r\n"
                        "Vane-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    };
    const RawServer first(refuse);
    const RawServer second(refuse);
    CrowdedGateway crowded(2);
    crowded.reportAllIdle();
    std::vector<TargetEntry> entries;
    for (const auto &[hash, target] : crowded.gateway.registry().all()) {
        entries.push_back(target->entry);
        entries.back().address = entries.size() == 1 ? first.address() : second.address();
    }
    crowded.gateway.registry().replaceAll(entries, Clock::now(), RemovalPolicy::Immediate);
    const auto routes = crowded.gateway.routes();
    Route route = routes->routes().front();
    route.repeat = Repeat::AtMostOnce;
    route.maxAttempts = 2;
    crowded.gateway.setRoutes(value(RouteTable::create(
            2, {route}, {{CrowdedGateway::service, *routes->service(CrowdedGateway::service)}},
            {})));

    const GatewaySettings settings;
    Call call = CrowdedGateway::makeCall(settings, 0, [] {});
    auto request = std::make_shared<HttpRequestMessage>(*call.request);
    request->set(settings.headers.requestId, "r1");
    call.request = std::move(request);
    std::function<void()> gone;
    call.onGone = [&gone](std::function<void()> function) { gone = std::move(function); };
    crowded.gateway.handle(std::move(call));
    while (arrivals == 0)
        crowded.io.run_one_for(10ms);
    ASSERT_TRUE(gone);
    gone();
    mayAnswer = true;
    for (int i = 0; i < 500 && crowded.gateway.pendingRequests() > 0; ++i)
        crowded.io.run_one_for(10ms);
    EXPECT_EQ(crowded.gateway.pendingRequests(), 0U);
    EXPECT_EQ(arrivals, 1);
    crowded.gateway.registry().replaceAll({}, Clock::now(), RemovalPolicy::Immediate);
}

} // namespace
} // namespace chestnutvane
