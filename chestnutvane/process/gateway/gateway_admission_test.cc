#include <gtest/gtest.h>

#include <set>

#include "chestnutvane/process/gateway/crowded_gateway.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {
namespace {

// Sends requests for a service without targets, and returns the Retry-After texts of the refusals.
std::multiset<std::string> returnsOfRefused(AdmissionPolicy policy)
{
    GatewaySettings settings;
    settings.instanceId = "i1";
    settings.zone = "near";
    settings.zoneRegions = {{"near", "here"}};
    settings.admission = policy;
    net::io_context io;
    Metrics metrics;
    Gateway gateway(io, settings, metrics);
    gateway.setRoutes(CrowdedGateway::makeRoutes(0));
    std::multiset<std::string> returns;
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i) {
        Call call = CrowdedGateway::makeCall(settings, i, [] {});
        auto request = std::make_shared<HttpRequestMessage>(*call.request);
        request->set(settings.headers.requestId, "r" + std::to_string(i));
        call.request = std::move(request);
        call.answer = [&returns](const HttpResponseMessage &message) {
            EXPECT_EQ(message.result(), http::status::service_unavailable);
            returns.emplace(message[http::field::retry_after]);
        };
        gateway.handle(std::move(call));
    }
    EXPECT_EQ(returns.size(), static_cast<std::size_t>(requests));
    return returns;
}

// Guards against callers that are refused together and return together.
TEST(GatewayAdmissionTest, WithFairSharesReturnsAreSpread)
{
    const auto returns = returnsOfRefused(AdmissionPolicy::FairShares);
    const std::set<std::string> different(returns.begin(), returns.end());
    EXPECT_GT(different.size(), returns.size() / 2);
    EXPECT_GT(*different.begin(), "0.00");
}

TEST(GatewayAdmissionTest, ByImportanceAllAreToldTheTimeOfARun)
{
    const auto returns = returnsOfRefused(AdmissionPolicy::ByImportance);
    EXPECT_EQ(returns.count(*returns.begin()), returns.size());
}

// Sends a more important request after some that wait, and returns how many are sent to targets.
int sentToFullTargets(int targetQueue)
{
    CrowdedGateway crowded(4, targetQueue);
    LearnedState learned;
    learned.times.routes["views"] = {{0.1, 20}, {0.3, 20}};
    learned.times.services[CrowdedGateway::service] = {0.2, 40};
    crowded.gateway.restoreLearnedState(learned);
    crowded.sendRequests(5);
    const auto routes = crowded.gateway.routes();
    Route important = routes->routes().front();
    important.importance = 0;
    crowded.gateway.setRoutes(value(RouteTable::create(
            2, {important}, {{CrowdedGateway::service, *routes->service(CrowdedGateway::service)}},
            {})));
    crowded.sendRequests(1);
    int inFlight = 0;
    for (const auto &[hash, target] : crowded.gateway.registry().all())
        inFlight += target->inFlight;
    EXPECT_EQ(crowded.answered, 0);
    // Ends all requests: an attempt in flight would keep its request beyond the gateway.
    crowded.gateway.registry().replaceAll({}, Clock::now(), RemovalPolicy::Immediate);
    crowded.gateway.scheduleFullPasses();
    crowded.io.restart();
    while (crowded.gateway.pendingRequests() > 0 && crowded.io.run_one_for(Milliseconds(500)) > 0) {
    }
    EXPECT_EQ(crowded.gateway.pendingRequests(), 0U);
    return inFlight;
}

// Guards against important requests that wait at one instance for slots that others give to less
// important ones.
TEST(GatewayAdmissionTest, AnImportantRequestIsQueuedAtAFullTargetIfTargetsQueue)
{
    EXPECT_EQ(sentToFullTargets(20), 1);
    EXPECT_EQ(sentToFullTargets(0), 0);
}

TEST(GatewayAdmissionTest, TheSettingsNameThePolicy)
{
    const std::vector<std::string> required = {"--instance-id",
                                               "i1",
                                               "--zone",
                                               "near",
                                               "--zones",
                                               "near=here",
                                               "--caller-address",
                                               "127.0.0.1:1",
                                               "--readiness-address",
                                               "127.0.0.1:2",
                                               "--directory-address",
                                               "127.0.0.1:3",
                                               "--metrics-address",
                                               "127.0.0.1:4",
                                               "--report-address",
                                               "127.0.0.1:5",
                                               "--store-url",
                                               "http://127.0.0.1:6"};
    const auto parse = [&required](const std::string &policy) {
        std::vector<std::string> arguments = required;
        arguments.insert(arguments.end(), {"--admission", policy, "--target-queue", "27"});
        return parseGatewaySettings(arguments, [](const std::string &) { return std::nullopt; });
    };
    const auto parsed = parse("fair-shares");
    ASSERT_TRUE(std::holds_alternative<GatewaySettings>(parsed));
    EXPECT_EQ(std::get<GatewaySettings>(parsed).admission, AdmissionPolicy::FairShares);
    EXPECT_EQ(std::get<GatewaySettings>(parsed).targetQueue, 27);
    EXPECT_TRUE(std::holds_alternative<SettingErrors>(parse("random")));
}

} // namespace
} // namespace chestnutvane
