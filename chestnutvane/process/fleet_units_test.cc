#include "chestnutvane/process/fleet_units.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

const TimePoint now{std::chrono::hours{1}};

const std::string rules = "region north zones=n1 # asked by Mei\n"
                          "region south zones=s1 # asked by Mei\n"
                          "service s # asked by Lin\n"
                          "service empty # asked by Lin\n"
                          "target t-1 service=s zone=n1 address=127.0.0.1:1 slots=4 "
                          "connections=9 # asked by Lin\n"
                          "target t-2 service=s zone=s1 address=127.0.0.1:2 slots=4 "
                          "connections=9 # asked by Lin\n";

Member member(const std::string &id, MemberStatus status, std::vector<HeldUnit> brokers)
{
    Member result;
    result.record.id = id;
    result.record.brokers = std::move(brokers);
    result.status = status;
    return result;
}

class FleetUnitsTest : public testing::Test
{
protected:
    std::vector<FleetUnit> units(const std::vector<Member> &members) const
    {
        return fleetUnits(version_.get(), members, headroom_, now);
    }

    std::shared_ptr<const Version> version_ = value(compileVersion(1, rules));
    HeadroomTable headroom_;
};

// Guards against a list that omits units whose broker runs on another instance, and against a unit
// without a broker that is omitted or shown with the report of a previous broker.
TEST_F(FleetUnitsTest, ShowsEachConfiguredUnit)
{
    headroom_.report("s", "north", {2, 3, 4, 1}, now - Milliseconds{300});
    headroom_.report("s", "south", {7, 4, 4, 0}, now - Milliseconds{900});
    const auto list = units({member("i1", MemberStatus::Serving, {}),
                             member("i2", MemberStatus::Silent, {{"s", "north", 2}}),
                             member("i3", MemberStatus::Expired, {{"s", "south", 7}})});
    ASSERT_EQ(list.size(), 2U) << "a service without targets has no units";
    const FleetUnit north{.service = "s",
                          .region = "north",
                          .broker = FleetUnit::Broker{"i2", 2, MemberStatus::Silent},
                          .report = FleetUnit::Report{3, 4, 1, 0.5, Milliseconds{300}}};
    EXPECT_EQ(list[0], north);
    EXPECT_EQ(list[1], (FleetUnit{.service = "s", .region = "south"}));
}

// Guards against showing a previous broker that still claims the role because it does not know its
// successor, and against showing its headroom as that of the successor.
TEST_F(FleetUnitsTest, HighestEpochHasTheRole)
{
    headroom_.report("s", "north", {2, 3, 4, 0}, now);
    const auto list = units({member("i1", MemberStatus::Serving, {{"s", "north", 3}}),
                             member("i2", MemberStatus::Serving, {{"s", "north", 2}})});
    EXPECT_EQ(list[0].broker, (FleetUnit::Broker{"i1", 3, MemberStatus::Serving}));
    EXPECT_FALSE(list[0].report);
}

// Guards against a list that omits a broker because its instance has another revision.
TEST_F(FleetUnitsTest, ShowsHeldUnitsOutsideOfTheConfiguration)
{
    const std::vector<Member> members{member("i1", MemberStatus::Leaving, {{"new", "north", 1}})};
    const auto list = units(members);
    ASSERT_EQ(list.size(), 3U);
    EXPECT_EQ(list[2].service, "new");
    EXPECT_FALSE(list[2].configured);
    EXPECT_EQ(fleetUnits(nullptr, members, headroom_, now).size(), 1U);
}

} // namespace
} // namespace chestnutvane
