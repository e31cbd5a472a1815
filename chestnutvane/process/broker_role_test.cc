#include "chestnutvane/process/broker_role.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

constexpr HolderId self{1, 1};
constexpr HolderId other{1, 2};

class BrokerRoleTest : public testing::Test
{
protected:
    BrokerRoleTest()
    {
        input.unit = 7;
        input.selfIncarnation = self;
        input.members = members;
        input.entry = RoleEntry{3, {{}, "", 4}};
        input.storeReachable = true;
        input.storeReachableSince = TimePoint::min();
        input.freeSince = now;
        input.leaseRenewalStart = now - Milliseconds(500);
        input.leaseEverHeld = true;
        input.selfId = preferredBroker(7, members);
    }

    RoleAction action() const { return decideBrokerRole(input, now).action; }

    TimePoint now{std::chrono::hours(1)};
    std::vector<RoleMember> members{{"a", self, true, false}, {"b", other, true, false}};
    RoleInput input;
};

// Guards against two acquisitions with the same epoch, and against an instance that acquires the
// role without waiting although it is not the preferred broker.
TEST_F(BrokerRoleTest, FreeRoleIsAcquiredWithNextEpoch)
{
    const RoleDecision decision = decideBrokerRole(input, now);
    EXPECT_EQ(decision.action, RoleAction::Acquire);
    EXPECT_EQ(decision.expectedVersion, 3U);
    EXPECT_EQ(decision.record.epoch, 5U);
    input.selfId = input.selfId == "a" ? "b" : "a";
    EXPECT_EQ(action(), RoleAction::None);
    input.freeSince = now - nonPreferredDelay;
    EXPECT_EQ(action(), RoleAction::Acquire);
}

// Guards against an instance that acquires the role although it can lose the role at once, because
// its lease is old, or cannot know whether the role is free.
TEST_F(BrokerRoleTest, RoleIsNotAcquiredWithoutStoreOrLease)
{
    input.leaseRenewalStart = now - maxGrantLeaseAge;
    EXPECT_EQ(action(), RoleAction::None);
    input.leaseRenewalStart = now;
    input.storeReachable = false;
    EXPECT_EQ(action(), RoleAction::None);
    input.storeReachable = true;
    input.entry->record.incarnation = other;
    EXPECT_EQ(action(), RoleAction::None);
    input.holderLeaseEnded = true;
    EXPECT_EQ(action(), RoleAction::Acquire);
    input.storeReachableSince = now - Milliseconds(1000); // the holder may still issue grants
    EXPECT_EQ(action(), RoleAction::None);
}

// Guards against grants that a broker issues after another instance may have acquired its role.
TEST_F(BrokerRoleTest, GrantsEndWithTheLease)
{
    input.entry->record = {self, input.selfId, 5};
    EXPECT_EQ(decideBrokerRole(input, now).grantUntil, input.leaseRenewalStart + maxGrantLeaseAge);
    input.storeReachable = false;
    now += std::chrono::minutes(1);
    input.contacts = {.everKnewPeer = true, .peers = {{Milliseconds(200), Milliseconds(60'000)}}};
    EXPECT_EQ(decideBrokerRole(input, now).grantUntil, now + outageGrantTime);
    input.contacts.peers[0].storeContactAge = Milliseconds(1000);
    EXPECT_LT(decideBrokerRole(input, now).grantUntil, now);
    input.contacts.peers[0].storeContactAge = Milliseconds(60'000);
    input.isolated = true;
    EXPECT_LT(decideBrokerRole(input, now).grantUntil, now);
    input.isolated = false;
    input.leaseLost = true;
    const RoleDecision decision = decideBrokerRole(input, now);
    EXPECT_EQ(decision.action, RoleAction::Relinquish);
    EXPECT_EQ(decision.record, (BrokerRecord{{}, "", 5}));
}

// Guards against a broker that resumes from a process pause during a store outage and issues grants
// before it has received heartbeats from all peers. The store may have been reachable meanwhile,
// and another instance may have acquired the role.
TEST_F(BrokerRoleTest, ResumedBrokerWaitsForPeerHeartbeats)
{
    input.entry->record = {self, input.selfId, 5};
    input.storeReachable = false;
    input.leaseRenewalStart = now - Milliseconds(8000);
    input.contacts = {.everKnewPeer = true,
                      .peers = {{Milliseconds(2500), Milliseconds(5000)}},
                      .stallAge = Milliseconds(10)};
    EXPECT_LT(decideBrokerRole(input, now).grantUntil, now);
    input.contacts.peers[0] = {Milliseconds(100), Milliseconds(8000)};
    EXPECT_LT(decideBrokerRole(input, now).grantUntil, now)
            << "the pause is too recent for a heartbeat from each peer";
    input.contacts.stallAge = Milliseconds(1500);
    EXPECT_EQ(decideBrokerRole(input, now).grantUntil, now + outageGrantTime);
}

// Guards against records that do not survive encoding and decoding, and against exceptions on
// malformed records.
TEST(BrokerRecordTest, RoundTripsAndRejectsMalformedInput)
{
    const BrokerRecord record{self, "bo-1", 9};
    EXPECT_EQ(value(decodeBrokerRecord(encode(record))), record);
    EXPECT_FALSE(isOk(decodeBrokerRecord("{\"incarnation\":3}")));
    EXPECT_FALSE(isOk(decodeBrokerRecord("nonsense")));
}

} // namespace
} // namespace chestnutvane
