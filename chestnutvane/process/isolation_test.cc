#include "chestnutvane/process/isolation.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using Decide = std::function<GrantAuthority(std::optional<Duration>, const ContactView &)>;

GrantAuthority decide(std::optional<Duration> renewalAge, const ContactView &view)
{
    return mayGrant(renewalAge, view, {});
}

struct SimulationResult
{
    int takeovers = 0;
    int doubleGrants = 0; // ticks in which a replaced broker still granted
    // Ticks of a store outage without a takeover, with the broker running and reaching its peers.
    int outageTicks = 0;
    int outageGrants = 0; // outage ticks in which the broker granted
};

// Simulates a broker and two peers for 60 s in ticks of 100 ms. The store has outages, and the
// broker loses its connection to the store or the peers, or is paused. A peer acquires the role
// once the broker's lease has expired.
SimulationResult simulate(const Decide &mayGrantNow, int schedules)
{
    SimulationResult result;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        bool storeUp = true, brokerReachesStore = true, brokerReachesPeers = true, paused = false;
        int renewedAt = 0, lastTick = 0, stalledAt = -1000, takenOverAt = -1;
        int peerContact[2] = {0, 0}, lastHeartbeat[2] = {0, 0}, reportedStoreAge[2] = {0, 0};
        for (int now = 1; now <= 600; ++now) {
            for (bool *state : {&storeUp, &brokerReachesStore, &brokerReachesPeers, &paused})
                *state = random() % 60 == 0 ? !*state : *state;
            if (takenOverAt < 0 && !paused && storeUp && brokerReachesStore && now - renewedAt <= 50
                && now % 15 == 0)
                renewedAt = now;
            for (int peer = 0; peer < 2; ++peer) {
                if (storeUp && (now + peer * 7) % 15 == 0)
                    peerContact[peer] = now;
                if (takenOverAt < 0 && peerContact[peer] == now && now - renewedAt > 50) {
                    takenOverAt = now;
                    ++result.takeovers;
                }
                if (brokerReachesPeers && !paused && (now + peer) % 2 == 0) {
                    lastHeartbeat[peer] = now;
                    reportedStoreAge[peer] = now - peerContact[peer];
                }
            }
            if (paused)
                continue;
            if (now - lastTick > 4 || (now - lastHeartbeat[0] >= 6 && now - lastHeartbeat[1] >= 6))
                stalledAt = now;
            lastTick = now;
            const auto ticks = [](int count) { return Milliseconds{100 * count}; };
            const ContactView view{
                    .storeContactAge = ticks(now - renewedAt),
                    .everKnewPeer = true,
                    .peers = {{ticks(now - lastHeartbeat[0]), ticks(reportedStoreAge[0])},
                              {ticks(now - lastHeartbeat[1]), ticks(reportedStoreAge[1])}},
                    .stallAge = ticks(now - stalledAt)};
            const bool grants = isGranting(mayGrantNow(ticks(now - renewedAt), view));
            // The broker may miss a takeover for three heartbeat periods. The rebuild of the new
            // broker accounts for grants issued in that time.
            result.doubleGrants += takenOverAt >= 0 && now - takenOverAt > 6 && grants ? 1 : 0;
            const bool brokerShouldGrant = !storeUp && takenOverAt < 0 && brokerReachesPeers
                    && now - stalledAt > 15 && now - lastHeartbeat[0] < 15
                    && now - lastHeartbeat[1] < 15;
            result.outageTicks += brokerShouldGrant ? 1 : 0;
            result.outageGrants += brokerShouldGrant && grants ? 1 : 0;
        }
    }
    std::cout << "schedules " << schedules << ", takeovers " << result.takeovers
              << ", double grants " << result.doubleGrants << ", granting in "
              << result.outageGrants << " of " << result.outageTicks << " outage ticks\n";
    return result;
}

// Guards against two brokers that grant for one unit at the same time, and against a unit without
// a granting broker while the store is down.
TEST(GrantModelTest, ReplacedBrokerDoesNotGrant)
{
    const SimulationResult result = simulate(decide, 2000);
    EXPECT_EQ(result.doubleGrants, 0);
    EXPECT_GT(result.takeovers, 1000);
    EXPECT_GT(result.outageGrants, result.outageTicks * 9 / 10);
}

// The Finds... tests check that the simulation detects faults: each runs a faulty rule and expects
// it to fail. This rule grants without contact with any peer.
TEST(GrantModelTest, FindsGrantsWithoutAnyPeer)
{
    const Decide naive = [](auto renewalAge, const ContactView &view) {
        const auto authority = decide(renewalAge, view);
        const bool noContact =
                authority == GrantAuthority::NoPeer || authority == GrantAuthority::Stalled;
        return noContact ? GrantAuthority::StoreDown : authority;
    };
    EXPECT_GT(simulate(naive, 200).doubleGrants, 100);
}

// The daemon had this rule before it used mayGrant(): it takes silent peers for a store outage.
TEST(GrantModelTest, FindsRuleThatMistakesSilenceForOutage)
{
    const Decide naive = [](auto renewalAge, const ContactView &view) {
        if (*renewalAge < Milliseconds{4000})
            return GrantAuthority::LeaseHeld;
        const IsolationLimits limits;
        const bool peerReachesStore = std::any_of(
                view.peers.begin(), view.peers.end(), [&limits](const PeerContact &peer) {
                    return peer.heartbeatAge <= limits.peerTimeout && peer.storeContactAge
                            && *peer.storeContactAge <= limits.recentContactAge;
                });
        const bool isolated = mayAcceptWork(view, limits) == WorkDecision::Isolated;
        return peerReachesStore || isolated ? GrantAuthority::PeerReachesStore
                                            : GrantAuthority::StoreDown;
    };
    EXPECT_GT(simulate(naive, 200).doubleGrants, 100);
}

// This rule ignores that a peer reached the store after the lease expired.
TEST(GrantModelTest, FindsRuleThatIgnoresEarlierContact)
{
    const Decide naive = [](auto renewalAge, const ContactView &view) {
        const auto authority = decide(renewalAge, view);
        return authority == GrantAuthority::PeerReachedStore ? GrantAuthority::StoreDown
                                                             : authority;
    };
    EXPECT_GT(simulate(naive, 200).doubleGrants, 100);
}

// This rule never grants without a lease.
TEST(GrantModelTest, FindsUnitWithoutBrokerDuringOutage)
{
    const Decide naive = [](auto renewalAge, const ContactView &) {
        return *renewalAge < Milliseconds{4000} ? GrantAuthority::LeaseHeld
                                                : GrantAuthority::NoPeer;
    };
    const SimulationResult result = simulate(naive, 200);
    EXPECT_LT(result.outageGrants, result.outageTicks * 9 / 10);
}

// Guards against an isolated instance that accepts work although it may lack a configuration
// change, and against an instance that refuses work while it still has contact.
TEST(IsolationTest, RefusesWorkOnlyWithoutAnyContact)
{
    const auto decision = [](std::optional<Duration> store, bool knewPeer,
                             std::vector<PeerContact> peers) {
        return mayAcceptWork({store, knewPeer, std::move(peers), {}}, {});
    };
    const Milliseconds young{3999}, old{4000};
    EXPECT_EQ(decision(old, true, {{old, {}}, {old, {}}}), WorkDecision::Isolated);
    EXPECT_EQ(decision({}, true, {}), WorkDecision::Isolated);
    EXPECT_EQ(decision(young, true, {{old, {}}}), WorkDecision::Allowed);
    EXPECT_EQ(decision(old, true, {{old, {}}, {young, {}}}), WorkDecision::Allowed);
    EXPECT_EQ(decision({}, false, {}), WorkDecision::Allowed);
}

// Guards against a configuration fetch from a peer that is unreachable or that does not reach the
// store itself.
TEST(IsolationTest, ConfigurationComesFromThePeerWithYoungestContact)
{
    const auto ms = [](int count) { return Milliseconds{count}; };
    ContactView view{
            ms(3000), true, {{ms(1600), ms(0)}, {ms(200), ms(900)}, {ms(100), ms(500)}}, {}};
    EXPECT_EQ(selectConfigurationPeer(view, {}), 2U);
    view.storeContactAge = ms(1000);
    EXPECT_EQ(selectConfigurationPeer(view, {}), std::nullopt);
    view = {ms(3000), true, {{ms(200), ms(1900)}, {ms(200), {}}}, {}};
    EXPECT_EQ(selectConfigurationPeer(view, {}), std::nullopt);
}

} // namespace
} // namespace chestnutvane
