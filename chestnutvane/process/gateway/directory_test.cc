#include "chestnutvane/process/gateway/directory.h"

#include <gtest/gtest.h>

#include <map>

namespace chestnutvane {
namespace {

using Addresses = std::vector<std::string>;

const DirectoryQuery fromTaipei{"a.example", "taipei", "tpe-a"};

std::shared_ptr<const RouteTable> tableWithHomes(const std::vector<std::string> &homes)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.shares = {{"s", 1}};
    route.homeRegions = homes;
    return value(RouteTable::create(1, {route}, {{"s", {.name = "s"}}}, {}));
}

// Guards against callers that connect to another region while instances of their region serve.
TEST(DirectoryTest, TheCallersRegionComesFirst)
{
    EXPECT_EQ(instancesFor(fromTaipei, {{"1:1", "khh-a", "kaohsiung"}, {"2:1", "tpe-b", "taipei"}},
                           nullptr),
              Addresses{"2:1"});
}

// Guards against request bodies of routes with home regions that reach instances in other regions.
TEST(DirectoryTest, WithoutInstancesInTheRegionTheHomesOfTheHostComeFirst)
{
    const auto table = tableWithHomes({"taichung"});
    EXPECT_EQ(instancesFor(fromTaipei,
                           {{"1:1", "khh-a", "kaohsiung"}, {"2:1", "txg-a", "taichung"}},
                           table.get()),
              Addresses{"2:1"});
}

// Guards against callers that connect to a stopping instance, and against an empty response.
TEST(DirectoryTest, StoppingInstancesAreListedOnlyIfThereIsNoOther)
{
    const auto table = tableWithHomes({});
    EXPECT_EQ(instancesFor(fromTaipei,
                           {{"1:1", "tpe-a", "taipei", false}, {"2:1", "khh-a", "kaohsiung"}},
                           table.get()),
              Addresses{"2:1"});
    EXPECT_EQ(instancesFor(fromTaipei, {{"1:1", "tpe-a", "taipei", false}}, table.get()),
              Addresses{"1:1"});
}

// Guards against callers that are directed to an instance whose death the store's list does not
// show yet, and against leaving out the living while no newer list can be had.
TEST(DirectoryTest, ASilentInstanceIsNamedUntilTheListShouldHaveShownItsDeath)
{
    using namespace std::chrono_literals;
    const InstanceSigns lately{.sinceReport = 2500ms, .sinceListed = 100ms};
    EXPECT_TRUE(mayNameSilentInstance(lately));
    const InstanceSigns listedAgain{.sinceReport = 10s, .sinceListed = 800ms};
    EXPECT_TRUE(mayNameSilentInstance(listedAgain)); // its reports are lost, its lease is not
    const InstanceSigns oldList{.sinceReport = 10s, .sinceListed = 3s};
    EXPECT_FALSE(mayNameSilentInstance(oldList));
    const InstanceSigns staleList{
            .sinceReport = 10s, .sinceListed = 100ms, .hasCurrentLease = false};
    EXPECT_FALSE(mayNameSilentInstance(staleList));
    const InstanceSigns neverHeard{.sinceListed = 100ms, .hasCurrentLease = false};
    EXPECT_TRUE(mayNameSilentInstance(neverHeard));
    const InstanceSigns storeAway{.sinceReport = 60s, .sinceListed = 60s, .canReadList = false};
    EXPECT_TRUE(mayNameSilentInstance(storeAway));
}

// Guards against an instance without routes that directs callers to regions that are no homes.
TEST(DirectoryTest, WithoutRoutesNoOtherRegionIsNamed)
{
    const DirectoryInstance starting{"1:1", "tpe-a", "taipei", false};
    const DirectoryInstance elsewhere{"2:1", "khh-a", "kaohsiung"};
    EXPECT_EQ(instancesFor(fromTaipei, {starting, elsewhere}, nullptr), Addresses{"1:1"});
    EXPECT_EQ(instancesFor(fromTaipei, {elsewhere}, nullptr), Addresses{});
}

// A region of the second grown site: 6 instances of 0.5 cores and 16 of 0.1.
std::vector<DirectoryInstance> mixedRegion()
{
    constexpr int size = 22;
    std::vector<DirectoryInstance> instances;
    instances.reserve(size);
    for (int i = 0; i < size; ++i)
        instances.push_back({"10.0.0." + std::to_string(i) + ":80", "tpe-a", "taipei", true,
                             i < 6 ? 0.5 : 0.1});
    return instances;
}

DirectoryQuery queryOf(int caller)
{
    return {"a.example", "taipei", "tpe-a",
            "10.1." + std::to_string(caller / 250) + "." + std::to_string(caller % 250)};
}

// Guards against small instances without processor time to spare because callers are directed to
// all instances alike. Callers send the same number of requests to each instance they are told of.
TEST(DirectoryTest, CallersAreDirectedInProportionToCores)
{
    constexpr int callers = 4000;
    const auto instances = mixedRegion();
    std::map<std::string, double> load;
    for (int caller = 0; caller < callers; ++caller) {
        const auto named = instancesFor(queryOf(caller), instances, nullptr);
        EXPECT_GE(named.size(), minDirectoryAddresses);
        for (const std::string &address : named)
            load[address] += 1.0 / static_cast<double>(named.size());
    }
    constexpr double cores = 6 * 0.5 + 16 * 0.1;
    for (const DirectoryInstance &instance : instances) {
        const double even = callers * instance.coreShare / cores;
        EXPECT_NEAR(load[instance.callerAddress], even, even * 0.25) << instance.callerAddress;
    }
}

// Guards against callers that close connections at each look-up because they are told of others.
TEST(DirectoryTest, ACallerKeepsItsInstancesWhileAnotherLeaves)
{
    constexpr int callers = 100;
    auto fewer = mixedRegion();
    const std::string gone = fewer.front().callerAddress;
    fewer.front().serving = false;
    for (int caller = 0; caller < callers; ++caller) {
        auto before = instancesFor(queryOf(caller), mixedRegion(), nullptr);
        std::erase(before, gone);
        EXPECT_EQ(instancesFor(queryOf(caller), fewer, nullptr), before);
    }
}

} // namespace
} // namespace chestnutvane
