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

// Guards against callers that are sent across a region link while their region serves.
TEST(DirectoryTest, TheCallersRegionComesFirst)
{
    EXPECT_EQ(instancesFor(fromTaipei, {{"1:1", "khh-a", "kaohsiung"}, {"2:1", "tpe-b", "taipei"}},
                           nullptr),
              Addresses{"2:1"});
}

// Guards against bodies of routes with homes at instances outside the homes.
TEST(DirectoryTest, WithoutInstancesInTheRegionTheHomesOfTheHostComeFirst)
{
    const auto table = tableWithHome("taichung");
    EXPECT_EQ(instancesFor(fromTaipei,
                           {{"1:1", "khh-a", "kaohsiung"}, {"2:1", "txg-a", "taichung"}},
                           table.get()),
              Addresses{"2:1"});
}

// Guards against callers at an instance that is about to stop, and against an empty answer.
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
