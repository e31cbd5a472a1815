#include "chestnutvane/process/gateway/directory.h"

#include <gtest/gtest.h>

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

// Guards against an instance without routes that directs callers to regions that are no homes.
TEST(DirectoryTest, WithoutRoutesNoOtherRegionIsNamed)
{
    const DirectoryInstance starting{"1:1", "tpe-a", "taipei", false};
    const DirectoryInstance elsewhere{"2:1", "khh-a", "kaohsiung"};
    EXPECT_EQ(instancesFor(fromTaipei, {starting, elsewhere}, nullptr), Addresses{"1:1"});
    EXPECT_EQ(instancesFor(fromTaipei, {elsewhere}, nullptr), Addresses{});
}

} // namespace
} // namespace chestnutvane
