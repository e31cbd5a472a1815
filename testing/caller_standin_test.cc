#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "testing/fault_load.h"
#include "testing/run_summary.h"

namespace chestnutvane {
namespace {

constexpr std::string_view rules =
        "region north zones=n-a,n-b # asked by Ada\n"
        "service shop # asked by Ada\n"
        "class views service=shop path=/views repeat=idempotent importance=1 deadline-ms=2000 "
        "queue-ms=500 silence-ms=500 # asked by Ada\n"
        "class orders service=shop path=/orders repeat=at-most-once importance=0 deadline-ms=3000 "
        "queue-ms=500 silence-ms=500 # asked by Ada\n"
        "target t-1 service=shop zone=n-a address=127.0.1.1:9000 slots=8 connections=90 # asked by "
        "Ada\n"
        "target t-2 service=shop zone=n-b address=127.0.1.2:9000 slots=8 connections=90 # asked by "
        "Ada\n"
        "clients 0.0.0.0/0 regions=north # asked by Ada\n";
constexpr std::string_view mix =
        R"([{"name": "views", "service": "shop", "path": "/views", "work-ms": 40},
            {"name": "orders", "service": "shop", "path": "/orders", "work-ms": 40,
             "body-min": 20, "body-max": 90, "at-most-once": true}])";

// Guards against resends of callers that run an order twice, lose a request from the report, or
// never happen: an instance is killed with requests in flight.
TEST(CallerStandinTest, ResendsWhenAnInstanceDies)
{
    auto folder = (std::filesystem::temp_directory_path() / "caller-XXXXXX").string();
    ASSERT_NE(mkdtemp(folder.data()), nullptr);
    const auto made = Deployment::create(
            {.programFolder = CHESTNUTVANE_BUILD_FOLDER,
             .logFolder = folder,
             .network = 34,
             .rules = std::string(rules),
             .instances = {{"i1", "n-a"}, {"i2", "n-b"}, {"i3", "n-a"}, {"i4", "n-b"}}});
    ASSERT_TRUE(isOk(made)) << error(made).detail;
    auto &deployment = *value(made);
    ASSERT_TRUE(deployment.waitUntilServing(Milliseconds{20'000})) << deployment.describeWait();
    std::vector<std::string> arguments{std::string(CHESTNUTVANE_BUILD_FOLDER)
                                               + "/testing/caller_standin",
                                       "--name",
                                       "north",
                                       "--client-prefix",
                                       "10.1",
                                       "--seconds",
                                       "3",
                                       "--rate",
                                       "150",
                                       "--mix",
                                       std::string(mix)};
    for (const auto &instance : deployment.instances()) {
        arguments.emplace_back("--instance");
        arguments.push_back(deployment.callerAddress(instance.id));
    }
    ASSERT_TRUE(deployment.startProgram("caller", std::move(arguments)));
    ASSERT_FALSE(deployment.waitForExit("caller", Milliseconds{1500})) << "it ended early";
    const auto broker = brokerOf(deployment, "north");
    ASSERT_FALSE(broker.empty());
    // With its broker a region without a neighbour refuses until the takeover, and a view that the
    // dead instance may have sent then ends unknown. Tests of broker failures are elsewhere.
    EXPECT_TRUE(deployment.sendSignal(broker == "i2" ? "i3" : "i2", SIGKILL));
    EXPECT_EQ(deployment.waitForExit("caller", Milliseconds{30'000}), 0);
    std::ostringstream text;
    text << std::ifstream(folder + "/caller.log").rdbuf();
    RunSummary summary;
    addReports(summary, {nlohmann::json::parse(text.str(), nullptr, false)}, deployment.records(),
               {"orders"});
    EXPECT_EQ(summary.faults(), 0U) << formatSummary(summary, deployment.rules());
    EXPECT_GT(summary.unansweredSends, 0U) << "no request met the dead instance";
    for (const auto &[name, result] : summary.classes) {
        EXPECT_EQ(result.sent, result.whole + result.notRun + result.unknown) << name;
        EXPECT_GT(result.whole, result.sent / 2) << name;
    }
    EXPECT_EQ(summary.classes["views"].unknown, 0U) << "views are resent until answered";
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace chestnutvane
