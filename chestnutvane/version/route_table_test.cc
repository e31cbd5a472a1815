#include "chestnutvane/version/route_table.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

Route route(std::string name, std::string host, std::string prefix, std::string service = "s")
{
    Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    result.shares = {{std::move(service), 1}};
    return result;
}

std::map<std::string, ServiceSpec> services()
{
    return {{"s", {.name = "s"}}, {"t", {.name = "t"}}};
}

std::shared_ptr<const RouteTable> makeTable(std::vector<Route> routes)
{
    return value(RouteTable::create(1, std::move(routes), services(), {}));
}

RouteFault faultOf(std::vector<Route> routes)
{
    return error(RouteTable::create(1, std::move(routes), services(), {})).fault;
}

// Guards against a short prefix hiding a longer one, whatever their order in the configuration.
TEST(RouteTableTest, TheLongestPrefixOfTheHostWins)
{
    const auto table =
            makeTable({route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                       route("other", "b.example", "/x/y/z/")});
    EXPECT_EQ(table->find("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(table->find("a.example", "/x/1")->name, "short");
    EXPECT_EQ(table->find("b.example", "/x/y/z/1")->name, "other");
}

// Guards against a match of a part of a path segment, of a query, or of another host.
TEST(RouteTableTest, NoRouteMatchesOutsideItsHostAndPrefix)
{
    const auto table = makeTable({route("r", "a.example", "/x/")});
    EXPECT_EQ(table->find("a.example", "/xy/"), nullptr);
    EXPECT_EQ(table->find("a.example", "/?p=/x/"), nullptr);
    EXPECT_EQ(table->find("c.example", "/x/1"), nullptr);
}

// Guards against 404 for a host that is written with its port or in capitals.
TEST(RouteTableTest, HostIgnoresCaseAndPort)
{
    const auto table = makeTable({route("r", "a.example", "/x/")});
    EXPECT_NE(table->find("A.Example:8144", "/x/1"), nullptr);
}

// Guards against a faulty configuration replacing a good one.
TEST(RouteTableTest, FaultyRoutesAreRefused)
{
    EXPECT_EQ(faultOf({route("r", "a", "x/")}), RouteFault::BadPrefix);
    EXPECT_EQ(faultOf({route("r", "a", "/x")}), RouteFault::BadPrefix);
    EXPECT_EQ(faultOf({route("r", "a", "/x/", "unknown")}), RouteFault::NoService);
    EXPECT_EQ(faultOf({route("r", "a", "/x/"), route("q", "A", "/x/")}), RouteFault::SamePlace);
    Route weightless = route("r", "a", "/x/");
    weightless.shares = {{"s", 0}, {"t", 0}};
    EXPECT_EQ(faultOf({weightless}), RouteFault::BadWeight);
    Route negative = route("r", "a", "/x/");
    negative.shares = {{"s", 3}, {"t", -1}};
    EXPECT_EQ(faultOf({negative}), RouteFault::BadWeight);
    Route noTime = route("r", "a", "/x/");
    noTime.timeLimit = Milliseconds{0};
    EXPECT_EQ(faultOf({noTime}), RouteFault::BadLimit);
}

} // namespace
} // namespace chestnutvane
