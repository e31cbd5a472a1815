#include <gtest/gtest.h>

#include "chestnutvane/process/gateway/crowded_gateway.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {
namespace {

std::shared_ptr<const RouteTable> tableWith(std::uint64_t revision,
                                            const std::vector<TeamSpec> &specs)
{
    const auto routes = CrowdedGateway::makeRoutes(0);
    auto teams = TeamTable::create(specs);
    return value(RouteTable::create(
            revision, routes->routes(),
            {{CrowdedGateway::service, *routes->service(CrowdedGateway::service)}}, {},
            value(std::move(teams))));
}

// Requests of the team "a" that wait because all slots are in use.
class GatewayTeamTest : public ::testing::Test
{
protected:
    GatewayTeamTest()
    {
        crowded_.gateway.setRoutes(tableWith(2, {{.name = "a", .keys = {"key-1"}}}));
    }

    void send(const std::string &credentials)
    {
        Call call = CrowdedGateway::makeCall(settings_, 0, [] {});
        auto request = std::make_shared<HttpRequestMessage>(*call.request);
        request->set(http::field::authorization, credentials);
        call.request = std::move(request);
        call.answer = [this](const HttpResponseMessage &message) {
            statuses_.push_back(message.result_int());
        };
        crowded_.gateway.handle(std::move(call));
    }

    void pass()
    {
        crowded_.gateway.scheduleFullPasses();
        crowded_.io.restart();
        crowded_.io.poll();
    }

    GatewaySettings settings_;
    CrowdedGateway crowded_{4};
    std::vector<unsigned> statuses_;
};

// Guards against a request that runs after its key was taken away while it waited.
TEST_F(GatewayTeamTest, AWaitingRequestEndsWithItsKey)
{
    send("Bearer key-1");
    pass();
    EXPECT_TRUE(statuses_.empty());
    crowded_.gateway.setRoutes(tableWith(3, {{.name = "a", .keys = {"key-2"}}}));
    pass();
    EXPECT_EQ(statuses_, std::vector<unsigned>{401});
    EXPECT_EQ(crowded_.gateway.pendingRequests(), 0U);
}

// Guards against a request that ends because its key moved to another team.
TEST_F(GatewayTeamTest, AWaitingRequestFollowsItsKeyToAnotherTeam)
{
    send("Bearer key-1");
    pass();
    crowded_.gateway.setRoutes(tableWith(3, {{.name = "a"}, {.name = "b", .keys = {"key-1"}}}));
    pass();
    EXPECT_TRUE(statuses_.empty());
    EXPECT_EQ(crowded_.gateway.pendingRequests(), 1U);
}

// Guards against a wrong key that is called wrong before the configuration was confirmed again.
TEST_F(GatewayTeamTest, AnUnknownKeyIsWrongOnceTheConfigurationIsConfirmed)
{
    Milliseconds age{500};
    crowded_.gateway.setConfigurationAge([&age] { return age; });
    send("Bearer key-9");
    send("");
    EXPECT_EQ(statuses_, (std::vector<unsigned>{503, 503}));
    age = Milliseconds{0};
    send("Bearer key-9");
    send("");
    EXPECT_EQ(statuses_, (std::vector<unsigned>{503, 503, 401, 401}));
}

} // namespace
} // namespace chestnutvane
