#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

#include "testing/fault_load.h"

namespace chestnutvane {
namespace {

using nlohmann::json;
using std::this_thread::sleep_for;

std::uint64_t revisionOf(Deployment &deployment, const std::string &id)
{
    return deployment.status(id).value("revision", std::uint64_t{0});
}

// Waits until every instance has the revision.
bool allReach(Deployment &deployment, std::uint64_t revision, Milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    for (;;) {
        const auto &all = deployment.instances();
        if (std::all_of(all.begin(), all.end(), [&](const InstanceSpec &instance) {
                return revisionOf(deployment, instance.id) == revision;
            }))
            return true;
        if (Clock::now() >= end)
            return false;
        sleep_for(Milliseconds(50));
    }
}

std::string withDrain(const Deployment &deployment, const std::string &target)
{
    return deployment.rulesText() + "drain target=" + target + " # asked by Ada\n";
}

// Sends a change with a base of its own; Deployment::apply() would read the base anew.
json applyOn(Deployment &deployment, const std::string &instance, std::uint64_t base,
             const std::string &changeId, const std::string &rules)
{
    const json change{
            {"rules", rules}, {"base-revision", base}, {"change-id", changeId}, {"author", "Ada"}};
    const auto answer = deployment.exchange(
            {.method = "POST",
             .url = "http://" + deployment.operatorAddress(instance) + "/v1/apply",
             .body = std::make_shared<const std::string>(change.dump()),
             .timeout = Milliseconds(20'000)});
    return isOk(answer) ? json::parse(value(answer).body, nullptr, false) : json::object();
}

// Guards against requests that need the store, a change that is accepted without it, a start with
// an old configuration during an outage, and instances that miss the first change after it.
TEST(ConfigFaultTest, StoreOutageStopsChangesOnly)
{
    FaultWorld world(63);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    ASSERT_TRUE(deployment.sendSignal("i4", SIGTERM));
    ASSERT_EQ(deployment.waitForExit("i4", Milliseconds(30'000)), 0);
    const auto second = deployment.apply(withDrain(deployment, "t-6"), "i1");
    ASSERT_EQ(second.outcome, "accepted") << second.reason;
    ASSERT_TRUE(deployment.waitUntilServing(Milliseconds(20'000))) << deployment.describeWait();

    ASSERT_TRUE(deployment.control("store", {{"down", true}}));
    const auto downAt = Clock::now();
    Load load(deployment, {});
    ASSERT_TRUE(deployment.start("i4"));
    const auto refused = deployment.apply(withDrain(deployment, "t-5"), "i1");
    EXPECT_NE(refused.outcome, "accepted");
    EXPECT_NE(refused.outcome, "unreachable");
    EXPECT_TRUE(allReach(deployment, second.revision, Milliseconds(5000)))
            << "i4 has revision " << revisionOf(deployment, "i4");
    std::this_thread::sleep_until(downAt + Milliseconds(10'000));
    const auto calls = load.stop();
    const auto failed = std::count_if(calls.begin(), calls.end(),
                                      [](const CallRecord &call) { return call.outcome != "ran"; });
    EXPECT_EQ(failed, 0) << summary(calls);
    EXPECT_GT(calls.size(), 500U) << "the load did not run";
    EXPECT_EQ(deployment.status("i1").value("store-reachable", true), false);

    ASSERT_TRUE(deployment.control("store", {{"down", false}}));
    const auto upAt = Clock::now();
    ApplyAnswer third;
    do {
        third = deployment.apply(withDrain(deployment, "t-4"), "i2");
    } while (third.outcome != "accepted" && Clock::now() < upAt + Milliseconds(5000));
    EXPECT_EQ(third.outcome, "accepted") << third.reason;
    EXPECT_EQ(third.revision, second.revision + 1) << "the refused change took effect";
    const auto left = upAt + Milliseconds(5000) - Clock::now();
    EXPECT_TRUE(
            allReach(deployment, third.revision, std::chrono::duration_cast<Milliseconds>(left)));
    std::cout << calls.size() << " calls, " << failed << " failed; refused as " << refused.outcome
              << "\n";
}

// Guards against two changes that are both accepted on one base, so that one is lost, and against
// a verdict that does not match the store when the answer to the write was lost.
TEST(ConfigFaultTest, OneOfTwoRacingChangesIsAccepted)
{
    constexpr int rounds = 10;
    FaultWorld world(64);
    ASSERT_TRUE(world.start()) << world.problem();
    auto &deployment = world.deployment();
    int accepted = 0;
    int conflicts = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto base = revisionOf(deployment, "i1");
        ASSERT_TRUE(allReach(deployment, base, Milliseconds(5000)));
        ASSERT_TRUE(deployment.control("store", {{"lose-answers", round % 3}}));
        const std::string targets[] = {"t-1", "t-2"};
        std::future<json> answers[2];
        for (int i = 0; i < 2; ++i)
            answers[i] = std::async(std::launch::async, [&, i] {
                return applyOn(deployment, i == 0 ? "i1" : "i3", base,
                               "race-" + std::to_string(round) + "-" + std::to_string(i),
                               withDrain(deployment, targets[i]));
            });
        std::string winner;
        for (auto &future : answers) {
            const auto answer = future.get();
            const auto outcome = answer.value("outcome", "");
            accepted += outcome == "accepted" ? 1 : 0;
            conflicts += outcome == "conflict" ? 1 : 0;
            if (outcome == "accepted")
                winner = answer.value("change-id", "");
        }
        ASSERT_TRUE(allReach(deployment, base + 1, Milliseconds(5000))) << "round " << round;
        EXPECT_EQ(deployment.status("i2").value("change-id", ""), winner) << "round " << round;
    }
    EXPECT_EQ(accepted, rounds);
    EXPECT_EQ(conflicts, rounds);
    EXPECT_GT(deployment.storeCounters().value("lost-answers", 0), 0);
    std::cout << rounds << " races: " << accepted << " accepted, " << conflicts << " conflicts\n";
}

} // namespace
} // namespace chestnutvane
