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
    record.crashCounts = {{{1, 2}, "taipei", 0x123456789abcdef0ULL, 1, 0, Milliseconds{40}, 3}};
    record.moves = {{"south", 4, 0.25, 3}};
    record.linkRates = {{"taipei", "taichung", 4200}};
    record.storeContactAge = Milliseconds{150};
    record.load = 0.5;
    return record;
}

const TimePoint start{std::chrono::hours{1}};

// Guards against malformed input that throws, crashes or decodes to a record with other fields.
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

// Guards against a short message whose nesting overflows the stack of the decoder.
TEST(MembershipTest, DecodeRefusesDeepNesting)
{
    for (const char opener : {'\x81', '\x9f', '\xa1', '\x7f', '\x5f', '\xc1'})
        EXPECT_FALSE(isOk(decodeHeartbeat(std::string(maxHeartbeatBytes, opener)))) << int(opener);
    EXPECT_EQ(error(decodeHeartbeat(std::string(maxHeartbeatBytes + 1, '\0'))).failure,
              HeartbeatFailure::TooLarge);
}

// Guards against a delayed, repeated or reordered record that overwrites a newer one. Compares the
// table with the newest of all received records.
RC_GTEST_PROP(MembershipTest, NewestRecordWinsInAnyOrder, ())
{
    MembershipTable table(makeRecord("self"), {});
    std::vector<MemberRecord> received;
    for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
        MemberRecord record = makeRecord("a");
        record.generation = *rc::gen::inRange(1, 4);
        record.incarnation = std::to_string(record.generation);
        record.sequence = *rc::gen::inRange(1, 8);
        const std::uint64_t leavesAt = 6; // Leaving is final: later records keep it
        record.state = record.sequence >= leavesAt ? MemberState::Leaving : MemberState::Serving;
        received.push_back(record);
        if (*rc::gen::arbitrary<bool>())
            table.receive({record, {}, {}}, start);
        else
            table.receive({makeRecord("b"), {{record, Milliseconds{100}}}, {}}, start);
    }
    const auto newest =
            std::max_element(received.begin(), received.end(), [](const auto &x, const auto &y) {
                return std::tie(x.generation, x.sequence) < std::tie(y.generation, y.sequence);
            });
    const auto member = table.find("a", start);
    RC_ASSERT(member->record == *newest);
    RC_ASSERT(member->status
              == (newest->state == MemberState::Leaving ? MemberStatus::Leaving
                                                        : MemberStatus::Serving));
}

// Guards against a silent or leaving member that is still listed as serving.
TEST(MembershipTest, StatusFollowsSilenceAndLeaving)
{
    MembershipTable table(makeRecord("self"), {});
    MemberRecord record = makeRecord("a");
    table.receive({record, {}, {}}, start);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{1499}), MemberStatus::Serving);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{1500}), MemberStatus::Silent);
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{10000}), MemberStatus::Expired);
    record.sequence = 9;
    record.state = MemberState::Leaving;
    table.receive({record, {}, {}}, start);
    record.sequence = 10; // a faulty process that serves again
    record.state = MemberState::Serving;
    table.receive({record, {}, {}}, start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Leaving);
    table.markExpired("a", "another incarnation", start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Leaving);
    table.markExpired("a", record.incarnation, start);
    EXPECT_EQ(table.statusOf("a", start), MemberStatus::Expired);
    table.heartbeatDestinations(start + Milliseconds{80000});
    EXPECT_EQ(table.statusOf("a", start + Milliseconds{80000}), std::nullopt);

    MemberRecord self = table.self();
    self.state = MemberState::Leaving;
    table.updateSelf(self);
    self.state = MemberState::Serving;
    table.updateSelf(self);
    EXPECT_EQ(table.members(start).front().status, MemberStatus::Leaving);
}

// Guards against a restarted process whose records are ignored because its clock is behind that of
// its predecessor.
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
    for (const HeartbeatDestination &destination : peer.heartbeatDestinations(start)) {
        if (destination.peerAddress == "elsewhere:1")
            raised = process.receive(peer.makeHeartbeat(destination, start), start)
                             .ownGenerationRaised;
    }
    EXPECT_TRUE(raised);
    EXPECT_TRUE(peer.receive({process.self(), {}, {}}, start).senderAccepted);
    EXPECT_EQ(peer.find("a", start)->record.incarnation, "new");
}

// Guards against an address that is listed as a live member before a heartbeat was received from
// it, and against an address that is never contacted.
TEST(MembershipTest, SeedsAndDiscoveredAddressesAreContactedButNotLive)
{
    MembershipTable table(makeRecord("self"), {});
    table.addSeed("seed:1");
    table.setPlatformSeeds({"platform:1", "a:8082"});
    table.receive({makeRecord("a"), {}, {"learned:1"}}, start);
    EXPECT_EQ(table.members(start).size(), 2U);
    std::set<std::string> contacted;
    for (const HeartbeatDestination &destination : table.heartbeatDestinations(start))
        contacted.insert(destination.peerAddress);
    EXPECT_EQ(contacted, (std::set<std::string>{"a:8082", "seed:1", "platform:1", "learned:1"}));
}

// A simulated deployment that delivers heartbeats and replies without delay.
class Deployment
{
public:
    Deployment(int size, int zones)
    {
        for (int i = 0; i < size; ++i) {
            tables_.emplace_back(makeRecord(idOf(i), "z" + std::to_string(i % zones)),
                                 MembershipOptions{});
            tables_.back().addSeed(idOf(0) + ":8082");
            indexOf_[idOf(i) + ":8082"] = i;
        }
        sent.resize(size);
        received.resize(size);
        stopped.resize(size);
        isolated.resize(size);
    }

    static std::string idOf(int i) { return "instance-" + std::to_string(i); }
    MembershipTable &table(int i) { return tables_[i]; }

    // Runs one heartbeat period of all instances.
    void period()
    {
        now += Milliseconds{200};
        for (int i = 0; i < static_cast<int>(tables_.size()); ++i) {
            if (!stopped[i])
                beat(i);
        }
    }

    void periods(int count)
    {
        for (int i = 0; i < count; ++i)
            period();
    }

    void beat(int i)
    {
        auto record = tables_[i].self();
        record.load += 0.001;
        tables_[i].updateSelf(record);
        for (const HeartbeatDestination &destination : tables_[i].heartbeatDestinations(now)) {
            const int peer = indexOf_.at(destination.peerAddress);
            if (peer == i)
                continue;
            const auto request = tables_[i].makeHeartbeat(destination, now);
            sent[i] += encodeHeartbeat(request).size();
            if (stopped[peer] || isolated[i] || isolated[peer])
                continue;
            received[peer] += encodeHeartbeat(request).size();
            tables_[peer].receive(request, now);
            const auto reply = tables_[peer].makeReply(request, now);
            if (!reply)
                continue;
            sent[peer] += encodeHeartbeat(*reply).size();
            received[i] += encodeHeartbeat(*reply).size();
            tables_[i].receive(*reply, now);
            tables_[i].receiveReply(*reply, now);
        }
    }

    // Returns the number of running instances that see a member in a status.
    int countOf(int member, MemberStatus status)
    {
        int count = 0;
        for (std::size_t i = 0; i < tables_.size(); ++i)
            count += !stopped[i] && tables_[i].statusOf(idOf(member), now) == status;
        return count;
    }

    TimePoint now = start;
    std::vector<std::size_t> sent;
    std::vector<std::size_t> received;
    std::vector<bool> stopped;
    std::vector<bool> isolated; // whether messages from and to the instance are dropped

private:
    std::vector<MembershipTable> tables_;
    std::map<std::string, int> indexOf_;
};

// Bound of the bytes that one instance sends and receives in a second. The budget of a node for all
// control traffic is 17 KB/s.
constexpr std::size_t maxBytesPerSecond = 12000;

// Guards against a member that another one never discovers, against control traffic that grows with
// the size of the deployment, and against a member that is marked silent while it sends.
TEST(MembershipTest, TrafficStaysInBounds)
{
    for (const int size : {2, 10, 11, 100}) {
        Deployment deployment(size, 6);
        deployment.periods(150);
        std::fill(deployment.sent.begin(), deployment.sent.end(), 0);
        std::fill(deployment.received.begin(), deployment.received.end(), 0);
        constexpr int seconds = 20;
        for (int second = 0; second < seconds; ++second) {
            deployment.periods(5);
            for (int i = 0; i < size; ++i)
                ASSERT_EQ(deployment.countOf(i, MemberStatus::Serving), size) << size;
        }
        std::size_t most = 0;
        for (int i = 0; i < size; ++i)
            most = std::max(most, (deployment.sent[i] + deployment.received[i]) / seconds);
        EXPECT_LT(most, maxBytesPerSecond) << size;
        RecordProperty("bytes_per_second_" + std::to_string(size), std::to_string(most));
    }
}

// Guards against changes that raise the traffic in a large deployment above the bound: a table of
// 830 members that has a change of every member to send. The received bytes are taken to equal the
// sent ones.
TEST(MembershipTest, TrafficStaysInBoundsWithChangesOfAllMembers)
{
    constexpr int size = 830;
    MembershipTable table(makeRecord("self"), {});
    for (int i = 1; i < size; ++i)
        table.receive({makeRecord(Deployment::idOf(i), "z" + std::to_string(i % 16)), {}, {}},
                      start);
    TimePoint now = start;
    std::size_t bytes = 0;
    constexpr std::uint64_t seconds = 5;
    std::set<std::string> reached;
    for (std::uint64_t period = 0; period < 5 * seconds; ++period) {
        now += Milliseconds{200};
        for (int i = 1; i < size; ++i) {
            auto record = makeRecord(Deployment::idOf(i), "z" + std::to_string(i % 16));
            record.sequence = 2 + 2 * period;
            record.revision = 2 * period;
            table.receive({record, {}, {}}, now);
            Heartbeat heartbeat;
            heartbeat.pulse =
                    MemberPulse{record.id, memberKey(record.id, record.incarnation),
                                record.sequence + 1, MemberState::Serving, record.revision + 1};
            ASSERT_TRUE(table.receive(heartbeat, now).senderAccepted);
        }
        for (const HeartbeatDestination &destination : table.heartbeatDestinations(now)) {
            bytes += encodeHeartbeat(table.makeHeartbeat(destination, now)).size();
            reached.insert(destination.id);
        }
    }
    EXPECT_LT(2 * bytes / seconds, maxBytesPerSecond);
    RecordProperty("bytes_per_second", std::to_string(2 * bytes / seconds));
    for (int period = 0; period < size / 2; ++period) {
        for (const HeartbeatDestination &destination : table.heartbeatDestinations(now))
            reached.insert(destination.id);
    }
    EXPECT_EQ(reached.size(), size - 1U); // the random permutation has all members
}

// Guards against a silent or leaving member that others still list as serving. In a full mesh
// silence is detected after 1.5 s and leaving at once; in a larger deployment within 4 s.
TEST(MembershipTest, SilentAndLeavingMembersAreNoticed)
{
    for (const auto &[size, silentPeriods, leavingPeriods] :
         {std::tuple{10, 8, 0}, std::tuple{100, 20, 10}}) {
        Deployment deployment(size, 6);
        deployment.periods(150);
        deployment.stopped[3] = true;
        int periods = 0;
        while (deployment.countOf(3, MemberStatus::Serving) > 0 && periods < 100) {
            deployment.period();
            ++periods;
        }
        EXPECT_LE(periods, silentPeriods) << size;
        RecordProperty("silent_ms_" + std::to_string(size), 200 * periods);

        auto record = deployment.table(4).self();
        record.state = MemberState::Leaving;
        deployment.table(4).updateSelf(record);
        deployment.beat(4);
        periods = 0;
        while (deployment.countOf(4, MemberStatus::Serving) > 0 && periods < 100) {
            deployment.period();
            ++periods;
        }
        EXPECT_LE(periods, leavingPeriods) << size;
        RecordProperty("leaving_ms_" + std::to_string(size), 200 * periods);
    }
}

// Guards against a member that is still listed as silent after a temporary network partition, and
// against one that lists the others as silent for ever.
TEST(MembershipTest, CutOffMemberRecovers)
{
    for (const int size : {10, 60}) {
        Deployment deployment(size, 6);
        deployment.periods(150);
        deployment.isolated[5] = true;
        deployment.periods(20);
        EXPECT_EQ(deployment.countOf(5, MemberStatus::Serving), 1) << size; // itself
        deployment.isolated[5] = false;
        deployment.periods(30);
        for (int i = 0; i < size; ++i)
            EXPECT_EQ(deployment.countOf(i, MemberStatus::Serving), size) << size << " " << i;
    }
}

} // namespace
} // namespace chestnutvane
