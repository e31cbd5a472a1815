#include "chestnutvane/process/gateway/directory.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using Addresses = std::vector<std::string>;

const DirectoryQuery fromTaipei{"a.example", "taipei", "tpe-a"};

std::shared_ptr<const RouteTable> tableWithHome(const std::string &home)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.shares = {{"s", 1}};
    route.homeRegions = {home};
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
    const auto table = tableWithHome("taichung");
    EXPECT_EQ(instancesFor(fromTaipei,
                           {{"1:1", "khh-a", "kaohsiung"}, {"2:1", "txg-a", "taichung"}},
                           table.get()),
              Addresses{"2:1"});
}

// Guards against callers that connect to a stopping instance, and against an empty response.
TEST(DirectoryTest, StoppingInstancesAreListedOnlyIfThereIsNoOther)
{
    EXPECT_EQ(instancesFor(fromTaipei,
                           {{"1:1", "tpe-a", "taipei", false}, {"2:1", "khh-a", "kaohsiung"}},
                           nullptr),
              Addresses{"2:1"});
    EXPECT_EQ(instancesFor(fromTaipei, {{"1:1", "tpe-a", "taipei", false}}, nullptr),
              Addresses{"1:1"});
}

} // namespace
} // namespace chestnutvane
