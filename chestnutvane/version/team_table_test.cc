#include "chestnutvane/version/team_table.h"

#include <gtest/gtest.h>

#include <limits>

namespace chestnutvane {
namespace {

TeamFault faultOf(const std::vector<TeamSpec> &specs)
{
    const auto table = TeamTable::create(specs);
    EXPECT_FALSE(isOk(table));
    return isOk(table) ? TeamFault::BadName : error(table).fault;
}

TEST(TeamTableTest, FindsTheTeamOfEachOfItsKeys)
{
    const auto table = TeamTable::create({{.name = "a", .keys = {"k1", "k2"}},
                                          {.name = "b", .keys = {"k3"}, .requestsPerSecond = 2}});
    ASSERT_TRUE(isOk(table));
    EXPECT_EQ(value(table).findByKey("k2")->name, "a");
    EXPECT_EQ(value(table).findByKey("k3")->requestsPerSecond, 2);
    EXPECT_EQ(value(table).findByKey("k4"), nullptr);
    EXPECT_EQ(value(table).findByKey(""), nullptr);
}

// Guards against a team without keys that keeps an earlier key, or makes the table look empty.
TEST(TeamTableTest, ATeamMayHaveNoKey)
{
    const auto table = TeamTable::create({{.name = "a"}});
    ASSERT_TRUE(isOk(table));
    EXPECT_FALSE(value(table).isEmpty());
    EXPECT_EQ(value(table).findByKey("k1"), nullptr);
}

TEST(TeamTableTest, FaultyTeamsAreNamed)
{
    EXPECT_EQ(faultOf({{.name = ""}}), TeamFault::BadName);
    EXPECT_EQ(faultOf({{.name = "a\r\nX: y"}}), TeamFault::BadName);
    EXPECT_EQ(faultOf({{.name = "a"}, {.name = "a"}}), TeamFault::SameName);
    EXPECT_EQ(faultOf({{.name = "a", .keys = {""}}}), TeamFault::BadKey);
    EXPECT_EQ(faultOf({{.name = "a", .keys = {"k"}}, {.name = "b", .keys = {"k"}}}),
              TeamFault::SharedKey);
    EXPECT_EQ(faultOf({{.name = "a", .requestsPerSecond = -1}}), TeamFault::BadQuota);
    EXPECT_EQ(faultOf({{.name = "a", .burst = std::numeric_limits<double>::quiet_NaN()}}),
              TeamFault::BadQuota);
}

// Guards against a refused configuration because one team lists a key twice.
TEST(TeamTableTest, ATeamMayListAKeyTwice)
{
    EXPECT_TRUE(isOk(TeamTable::create({{.name = "a", .keys = {"k", "k"}}})));
}

} // namespace
} // namespace chestnutvane
