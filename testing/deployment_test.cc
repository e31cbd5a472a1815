#include "testing/deployment.h"

#include <gtest/gtest.h>

#include <csignal>

namespace chestnutvane {
namespace {

constexpr Milliseconds servingTimeout{20'000};
constexpr std::string_view rules =
        "region north zones=n-a,n-b # asked by Ada\n"
        "region south zones=s-a # asked by Ada\n"
        "service shop # asked by Ada\n"
        "class views service=shop path=/views repeat=idempotent importance=1 deadline-ms=2000 "
        "queue-ms=300 silence-ms=500 # asked by Ada\n"
        "target t-1 service=shop zone=n-a address=127.0.1.1:9000 slots=2 connections=20 # asked by "
        "Ada\n"
        "target t-2 service=shop zone=s-a address=127.0.1.2:9000 slots=2 connections=20 # asked by "
        "Ada\n"
        "clients 0.0.0.0/0 regions=north # asked by Ada\n";

DeploymentOptions optionsOf(int network)
{
    return {.programFolder = CHESTNUTVANE_BUILD_FOLDER,
            .network = network,
            .rules = std::string(rules),
            .instances = {{"i1", "n-a"}, {"i2", "n-b"}, {"i3", "s-a"}}};
}

// Guards against a deployment that never serves, and against two of them in each other's way.
TEST(DeploymentTest, TwoDeploymentsServeAtOnce)
{
    const auto first = Deployment::create(optionsOf(31));
    ASSERT_TRUE(isOk(first)) << error(first).detail;
    const auto second = Deployment::create(optionsOf(32));
    ASSERT_TRUE(isOk(second)) << error(second).detail;
    for (const auto *made : {&first, &second}) {
        auto &deployment = *value(*made);
        ASSERT_TRUE(deployment.waitUntilServing(servingTimeout)) << deployment.describeWait();
        const auto answer = deployment.exchange(
                {.url = "http://" + deployment.callerAddress("i2") + "/s/shop/views?tag=one"});
        ASSERT_TRUE(isOk(answer));
        EXPECT_EQ(value(answer).status, 200);
        const auto records = deployment.records();
        EXPECT_EQ(records[0].runs + records[1].runs, 1U) << "a request of the other deployment";
        EXPECT_GT(records[0].lastEndMs + records[1].lastEndMs, 0);
    }
}

// Guards against failure tests that act on the wrong process or miss its end.
TEST(DeploymentTest, SignalsReachTheNamedProcess)
{
    const auto made = Deployment::create(optionsOf(33));
    ASSERT_TRUE(isOk(made)) << error(made).detail;
    auto &deployment = *value(made);
    ASSERT_TRUE(deployment.waitUntilServing(servingTimeout)) << deployment.describeWait();
    EXPECT_TRUE(deployment.sendSignal("i3", SIGKILL));
    EXPECT_EQ(deployment.waitForExit("i3", Milliseconds{2000}), 128 + SIGKILL);
    EXPECT_FALSE(deployment.isRunning("i3"));
    EXPECT_TRUE(deployment.isRunning("i1"));
    EXPECT_TRUE(deployment.start("i3"));
    EXPECT_FALSE(deployment.start("i3")) << "it runs already";
    EXPECT_TRUE(deployment.waitUntilServing(servingTimeout)) << deployment.describeWait();
    EXPECT_TRUE(deployment.control("t-1", {{"shed", true}}));
    EXPECT_TRUE(deployment.control("store", {{"delay-ms", 1}}));
    EXPECT_TRUE(deployment.sendSignal("t-2", SIGTERM));
    EXPECT_EQ(deployment.waitForExit("t-2", Milliseconds{2000}), 0);
    EXPECT_FALSE(deployment.records()[1].reachable);
    EXPECT_FALSE(deployment.sendSignal("no-such-process", SIGTERM));
}

} // namespace
} // namespace chestnutvane
