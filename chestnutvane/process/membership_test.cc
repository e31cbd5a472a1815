#include "chestnutvane/process/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace chestnutvane {
namespace {

MemberRecord makeRecord(const std::string &id, const std::string &zone = "z0")
{
    MemberRecord record;
    record.id = id;
    record.incarnation = "0123456789abcdef0123456789abcdef";
    record.generation = 1;
    record.sequence = 1;
    record.zone = zone;
    record.callerAddress = id + ":8080";
    record.operatorAddress = id + ":8081";
    record.peerAddress = id + ":8082";
    record.state = MemberState::Serving;
    record.brokers = {{"box-office", "taipei", 3}};
    record.headroom = {{"box-office", "taipei", 3, 5, 48, 0, Milliseconds{20}}};
    record.crashCounts = {{0x123456789abcdef0ULL, 1}};
    record.moves = {{"south", 4, 0.25, 3}};
    record.storeContactAge = Milliseconds{150};
    record.load = 0.5;
    return record;
}

const TimePoint start{std::chrono::hours{1}};

// Guards against malformed input that throws, crashes or is read as a record with other fields.
RC_GTEST_PROP(MembershipTest, DecodeSurvivesAnyChange, (const std::string &noise))
{
    Heartbeat heartbeat{makeRecord("a"), {{makeRecord("b"), Milliseconds{3}}}, {"c:1", "d:1"}};
    const std::string bytes = encodeHeartbeat(heartbeat);
    RC_ASSERT(value(decodeHeartbeat(bytes)) == heartbeat);
    RC_ASSERT(!isOk(decodeHeartbeat(noise)));
    RC_ASSERT(!isOk(
            decodeHeartbeat(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size())))));
    std::string changed = bytes;
    changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    static_cast<void>(decodeHeartbeat(changed));
}

// Guards against a short message whose nesting overflows the stack of the reader.
TEST(MembershipTest, DecodeRefusesDeepNesting)
{
    for (const char opener : {'\x81', '\x9f', '\xa1', '\x7f', '\x5f', '\xc1'})
        EXPECT_FALSE(isOk(decodeHeartbeat(std::string(maxHeartbeatBytes, opener)))) << int(opener);
    EXPECT_EQ(error(decodeHeartbeat(std::string(maxHeartbeatBytes + 1, '\0'))).failure,
              HeartbeatFailure::TooLarge);
}

// Guards against a late, repeated or reordered record that undoes a newer one: compares the table
// with a scan over all records received.
RC_GTEST_PROP(MembershipTest, NewestRecordWinsInAnyOrder, ())
{
    MembershipTable table(makeRecord("self"), {});
    std::vector<MemberRecord> received;
    for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
        MemberRecord record = makeRecord("a");
        record.generation = *rc::gen::inRange(1, 4);
        record.incarnation = std::to_string(record.generation);
        record.sequence = *rc::gen::inRange(1, 8);
        const std::uint64_t leavesAt = 6; // a process that leaves does so for good
        record.state = record.sequence >= leavesAt ? MemberState::Leaving : MemberState::Serving;
        received.push_back(record);
        if (*rc::gen::arbitrary<bool>())
            table.receive({record, {}, {}}, start);
        else
            table.receive({makeRecord("b"), {{record, Milliseconds{100}}}, {}}, start);
    }
    const auto newest
            = std::max_element(received.begin(), received.end(), [](const auto &x, const auto &y) {
                  return std::tie(x.generation, x.sequence) < std::tie(y.generation, y.sequence);
              });
    const auto member = table.find("a", start);
    RC_ASSERT(member->record == *newest);
    RC_ASSERT(member->status
              == (newest->state == MemberState::Leaving ? MemberStatus::Leaving
                                                        : MemberStatus::Serving));
}

// Guards against a member that stays listed when it is silent or leaving.
TEST(MembershipTest, StatusFollowsSilenceAndLeaving)
{
    MembershipTable table(makeRecord("self"), {});
    MemberRecord record = makeRecord("a");
    table.receive({record, {}, {}}, start);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{1499}), MemberStatus::Serving);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{1500}), MemberStatus::Silent);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{10000}), MemberStatus::Gone);
    record.sequence = 9;
    record.state = MemberState::Leaving;
    table.receive({record, {}, {}}, start);
    record.sequence = 10; // a faulty process that serves again
    record.state = MemberState::Serving;
    table.receive({record, {}, {}}, start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Leaving);
    table.markGone("a", "another incarnation", start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Leaving);
    table.markGone("a", record.incarnation, start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Gone);
    table.heartbeatTargets(start + Milliseconds{80000});
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{80000}), std::nullopt);

    MemberRecord self = table.self();
    self.state = MemberState::Leaving;
    table.updateSelf(self);
    self.state = MemberState::Serving;
    table.updateSelf(self);
    EXPECT_EQ(table.members(start).front().status, MemberStatus::Leaving);
}

// Guards against a restarted process that is ignored because its clock is behind.
TEST(MembershipTest, RestartedProcessSupersedesItsPredecessor)
{
    MemberRecord old = makeRecord("a");
    old.generation = 1000;
    MembershipTable peer(makeRecord("self"), {});
    peer.receive({old, {}, {}}, start);
    MemberRecord restarted = makeRecord("a");
    restarted.incarnation = "new";
    restarted.peerAddress = "elsewhere:1";
    MembershipTable process(restarted, {});
    EXPECT_FALSE(peer.receive({process.self(), {}, {}}, start).senderAccepted);
    bool raised = false;
    for (const HeartbeatTarget &target : peer.heartbeatTargets(start)) {
        if (target.peerAddress == "elsewhere:1")
            raised = process.receive(peer.makeHeartbeat(target, start), start).ownGenerationRaised;
    }
    EXPECT_TRUE(raised);
    EXPECT_TRUE(peer.receive({process.self(), {}, {}}, start).senderAccepted);
    EXPECT_EQ(peer.find("a", start)->record.incarnation, "new");
}

// Guards against an address that is listed as a live member before it was heard, or never tried.
TEST(MembershipTest, SeedsAndLearnedAddressesAreContactedButNotLive)
{
    MembershipTable table(makeRecord("self"), {});
    table.addSeed("seed:1");
    table.setPlatformSeeds({"platform:1", "a:8082"});
    table.receive({makeRecord("a"), {}, {"learned:1"}}, start);
    EXPECT_EQ(table.members(start).size(), 2U);
    std::set<std::string> contacted;
    for (const HeartbeatTarget &target : table.heartbeatTargets(start))
        contacted.insert(target.peerAddress);
    EXPECT_EQ(contacted, (std::set<std::string>{"a:8082", "seed:1", "platform:1", "learned:1"}));
}

// Guards against a control load that grows with the fleet. Prints bytes sent per second.
TEST(MembershipTest, HeartbeatsPerPeriodAreBounded)
{
    const MembershipOptions options;
    for (const auto &[size, zones] : {std::pair{10, 6}, std::pair{830, 16}}) {
        MembershipTable table(makeRecord("self"), options);
        std::size_t zoneMates = 0;
        for (int i = 1; i < size; ++i) {
            const std::string zone = "z" + std::to_string(i % zones);
            zoneMates += zone == "z0";
            table.receive({makeRecord("instance-" + std::to_string(i), zone), {}, {}}, start);
        }
        std::set<std::string> reached;
        std::size_t bytes = 0;
        const std::size_t others = size - 1 - zoneMates;
        const std::size_t periods = (others + options.otherZonePeers - 1) / options.otherZonePeers;
        for (std::size_t period = 0; period < periods; ++period) {
            const auto targets = table.heartbeatTargets(start);
            EXPECT_LE(targets.size(), zoneMates + options.otherZonePeers);
            for (const HeartbeatTarget &target : targets) {
                const Heartbeat heartbeat = table.makeHeartbeat(target, start);
                EXPECT_LE(heartbeat.relayed.size(), options.maxRelayed);
                EXPECT_LE(heartbeat.knownAddresses.size(), options.maxKnownAddresses);
                reached.insert(target.id);
                bytes += encodeHeartbeat(heartbeat).size();
            }
        }
        EXPECT_EQ(reached.size(), static_cast<std::size_t>(size - 1)); // the rotation skips nobody
        RecordProperty("bytes_per_second_" + std::to_string(size),
                       std::to_string(bytes * 5 / periods));
    }
}

} // namespace
} // namespace chestnutvane
