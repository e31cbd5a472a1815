#include "chestnutvane/version/team_access.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using Homes = std::vector<std::string>;

std::shared_ptr<const RouteTable> makeTable(const std::vector<TeamSpec> &teams)
{
    Route closed{.name = "closed", .host = "a.example", .pathPrefix = "/", .shares = {{"s", 1}}};
    Route open = closed;
    open.name = "open";
    open.pathPrefix = "/open/";
    open.openToAll = true;
    auto table = TeamTable::create(teams);
    return value(RouteTable::create(1, {closed, open}, {{"s", {.name = "s"}}}, {},
                                    value(std::move(table))));
}

AccessVerdict verdictOf(const RouteTable &table, std::string_view path,
                        std::string_view credentials)
{
    return accessOf(table, *table.find("a.example", path), credentials, "Bearer").verdict;
}

TEST(TeamAccessTest, ARequestNeedsAKeyOfATeam)
{
    const auto table = makeTable({{.name = "t", .keys = {"k"}}});
    EXPECT_EQ(verdictOf(*table, "/", "Bearer k"), AccessVerdict::Team);
    EXPECT_EQ(verdictOf(*table, "/", "bearer  k "), AccessVerdict::Team);
    EXPECT_EQ(verdictOf(*table, "/", "Bearer x"), AccessVerdict::UnknownKey);
    for (const char *credentials : {"", "k", "Bearer", "Bearer ", "Basic k"})
        EXPECT_EQ(verdictOf(*table, "/", credentials), AccessVerdict::NoKey) << credentials;
}

TEST(TeamAccessTest, AnOpenRouteNeedsNoKeyAndStillNamesTheTeam)
{
    const auto table = makeTable({{.name = "t", .keys = {"k"}}});
    const Route &open = *table->find("a.example", "/open/1");
    EXPECT_EQ(accessOf(*table, open, "", "Bearer").verdict, AccessVerdict::Open);
    EXPECT_EQ(accessOf(*table, open, "Bearer x", "Bearer").team, nullptr);
    EXPECT_EQ(accessOf(*table, open, "Bearer k", "Bearer").team->name, "t");
}

// Guards against a deployment without teams whose callers send credentials of their own.
TEST(TeamAccessTest, WithoutTeamsEveryRequestIsAllowed)
{
    EXPECT_EQ(verdictOf(*makeTable({}), "/", "Bearer x"), AccessVerdict::Open);
}

TEST(TeamAccessTest, TheTeamsImportanceReplacesTheRoutes)
{
    const Route route{.importance = 3};
    EXPECT_EQ(importanceOf(route, nullptr), 3);
    const Team plain{.name = "a"};
    EXPECT_EQ(importanceOf(route, &plain), 3);
    const Team urgent{.name = "a", .importance = 0};
    EXPECT_EQ(importanceOf(route, &urgent), 0);
}

// Guards against a request that may go anywhere because its route and its team have no home in
// common.
TEST(TeamAccessTest, HomesOfRouteAndTeamBothBind)
{
    const Route anywhere;
    const Route inAB{.homeRegions = {"a", "b"}};
    const Team nomad{.name = "n"};
    const Team inBC{.name = "t", .homeRegions = {"b", "c"}};
    const Team inC{.name = "t", .homeRegions = {"c"}};
    EXPECT_EQ(homesOf(anywhere, nullptr), std::nullopt);
    EXPECT_EQ(homesOf(anywhere, &nomad), std::nullopt);
    EXPECT_EQ(homesOf(inAB, &nomad), (Homes{"a", "b"}));
    EXPECT_EQ(homesOf(anywhere, &inBC), (Homes{"b", "c"}));
    EXPECT_EQ(homesOf(inAB, &inBC), (Homes{"b"}));
    EXPECT_EQ(homesOf(inAB, &inC), Homes{});
}

} // namespace
} // namespace chestnutvane
