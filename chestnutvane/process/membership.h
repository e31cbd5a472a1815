// The members (instances) of the deployment as one instance knows them from heartbeats, and the
// heartbeats that this instance sends (design page, section 7.6).
//
// Small deployments form a full mesh: every member sends to every other one in each period. Larger
// ones use a monitoring ring and gossip, so that the traffic of a member does not grow with the
// deployment (member_spread.h).
//
// Example:
//
//   MembershipTable table(ownRecord, {});
//   table.addSeed("127.0.0.1:8082");
//   for (const HeartbeatDestination &target : table.heartbeatDestinations(now))
//       send(target.peerAddress, encodeHeartbeat(table.makeHeartbeat(target, now)));
//   if (auto heartbeat = decodeHeartbeat(body); isOk(heartbeat))
//       table.receive(value(heartbeat), now);
//
// MembershipTable is not thread-safe; the daemon guards it with the membership lock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/crash_suspects.h"
#include "chestnutvane/process/headroom.h"
#include "chestnutvane/process/member_spread.h"

namespace chestnutvane {

// State that a member reports of itself.
enum class MemberState {
    Joining,
    Serving,
    Leaving,
};

inline constexpr EnumName<MemberState> memberStateNames[] = {
        {MemberState::Joining, "joining"},
        {MemberState::Serving, "serving"},
        {MemberState::Leaving, "leaving"},
};

// Status of a member in the table of another one.
enum class MemberStatus {
    Unconfirmed, // only the address is known; contacted, but never listed
    Joining,
    Serving,
    Leaving,
    Silent, // no heartbeat for silentAfter
    Expired, // no heartbeat for expireAfter, or its lease was revoked; not contacted any more
};

inline constexpr EnumName<MemberStatus> memberStatusNames[] = {
        {MemberStatus::Unconfirmed, "unheard"}, {MemberStatus::Joining, "joining"},
        {MemberStatus::Serving, "serving"},     {MemberStatus::Leaving, "leaving"},
        {MemberStatus::Silent, "silent"},       {MemberStatus::Expired, "gone"},
};

// A unit whose broker role the member holds.
struct HeldUnit
{
    std::string service;
    std::string region;
    std::uint64_t epoch = 0;

    friend bool operator==(const HeldUnit &, const HeldUnit &) = default;
};

// Headroom of a unit as measured by its broker.
struct UnitHeadroom
{
    std::string service;
    std::string region;
    std::uint64_t epoch = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t queued = 0;
    Milliseconds age{0}; // of the measurement when the record was made

    friend bool operator==(const UnitHeadroom &, const UnitHeadroom &) = default;
};

// Progress of a move: the newest step read from the store, and the step that the instance applies
// in its answers.
struct MoveReport
{
    std::string move;
    std::uint64_t seenStep = 0;
    double seenProgress = 0;
    std::uint64_t adoptedStep = 0;

    friend bool operator==(const MoveReport &, const MoveReport &) = default;
};

// All that a member publishes of itself.
struct MemberRecord
{
    std::string id;
    std::string incarnation; // 32 hexadecimal digits
    // Orders the incarnations of one id. Set from the wall clock at start. The clocks of replaced
    // machines differ, so MembershipTable::receive() raises it above the generation of any earlier
    // incarnation that peers still have a record of.
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0; // increases with every record of one incarnation
    std::string zone;
    std::string callerAddress;
    std::string operatorAddress;
    std::string peerAddress;
    MemberState state = MemberState::Joining;
    std::uint64_t revision = 0;
    std::uint64_t keyWindow = 1; // window of the one-time keys issued by look-ups
    std::vector<HeldUnit> brokers;
    std::vector<UnitHeadroom> headroom;
    std::vector<CrashCount> crashCounts;
    std::vector<MoveReport> moves;
    std::vector<LinkRate> linkRates; // of the bytes that the member itself sends and receives
    std::optional<Milliseconds> storeContactAge; // empty: no contact since the start
    double load = 0; // requests in flight divided by the connection limit

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

// A record relayed by a member other than the one it describes.
struct RelayedRecord
{
    MemberRecord record;
    Milliseconds age{0}; // since the described member made it, as estimated by the relaying members

    friend bool operator==(const RelayedRecord &, const RelayedRecord &) = default;
};

// Short form of the sender's record. Replaces it in a heartbeat when the receiver already has the
// full record.
struct MemberPulse
{
    std::string id;
    std::uint64_t key = 0; // memberKey() of the incarnation
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Joining;
    std::uint64_t revision = 0;
    std::optional<Milliseconds> storeContactAge;
    std::uint64_t memberCount = 0; // members that the sender knows and that have not expired

    friend bool operator==(const MemberPulse &, const MemberPulse &) = default;
};

// Message that one member sends to another in each period, and the reply to it.
struct Heartbeat
{
    MemberRecord sender; // not sent if pulse is set
    std::vector<RelayedRecord> relayed; // at most MembershipOptions::maxRelayed
    std::vector<std::string> knownAddresses; // peer addresses, at most maxKnownAddresses
    std::optional<MemberPulse> pulse; // sent instead of the sender's record
    std::vector<MemberEvent> events; // at most maxEvents
    bool wantsRecord = false; // requests the receiver's record, which the sender does not have
    // In a request: asks for the records of the ids that sort after this one. In a reply: the value
    // of the request.
    std::optional<std::string> syncAfter;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

enum class HeartbeatFailure {
    NotCbor,
    BadField, // a field is missing, of the wrong type or out of range
    TooLarge,
};

inline constexpr EnumName<HeartbeatFailure> heartbeatFailureNames[] = {
        {HeartbeatFailure::NotCbor, "not-cbor"},
        {HeartbeatFailure::BadField, "bad-field"},
        {HeartbeatFailure::TooLarge, "too-large"},
};

struct HeartbeatError
{
    HeartbeatFailure failure = HeartbeatFailure::NotCbor;
    std::string detail;
};

// Maximum size of an encoded heartbeat that decodeHeartbeat() accepts.
inline constexpr std::size_t maxHeartbeatBytes = 1U << 20U;

// Encodes a heartbeat as CBOR.
std::string encodeHeartbeat(const Heartbeat &heartbeat);

// Decodes a heartbeat. Never throws on malformed input.
Result<Heartbeat, HeartbeatError> decodeHeartbeat(std::string_view bytes);

struct MembershipOptions
{
    Milliseconds silentAfter{1500};
    Milliseconds expireAfter{10000};
    // How long an expired member stays in the table, so that a delayed record does not add it
    // again.
    Milliseconds tombstoneRetention{60000};
    // Up to this number of other members, every member sends to every other one in each period
    // (full mesh). With more, a member sends to its monitors in the ring and to randomPeers others.
    std::size_t meshPeers = 9;
    std::size_t randomPeers = 2;
    std::size_t maxRelayed = 1; // relayed records in one heartbeat
    std::size_t maxEvents = 6; // events in one heartbeat
    std::size_t maxSync = 8; // records in the reply to a heartbeat with syncAfter
    // Period in which the full record is sent again if only measurements have changed.
    Milliseconds meshRefresh{1000};
    Milliseconds ringRefresh{5000};
    // Minimum time between two syncs. A sync fetches missing records from a peer that reports more
    // members or an unknown one.
    Milliseconds syncPeriod{5000};
    std::size_t maxKnownAddresses = 2; // addresses of other members in one heartbeat
    std::size_t maxUnconfirmedPerPeriod = 4; // unconfirmed addresses contacted in one period
};

struct HeartbeatDestination
{
    std::string id; // empty for an unconfirmed address
    std::string peerAddress;

    friend bool operator==(const HeartbeatDestination &, const HeartbeatDestination &) = default;
};

// Effect of a received heartbeat.
struct ReceiveResult
{
    bool ownGenerationRaised = false;
    bool senderIsNew = false; // a new id or a new incarnation
    bool senderAccepted = false; // false: older incarnation, or sequence number not newer
    std::uint64_t highestRevision = 0; // among the sender and the relayed records
};

struct Member
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Unconfirmed;
    TimePoint lastSeenAt; // when the member last sent a heartbeat or made a record, as far as known
    bool direct = false; // the last update came from the member itself, not a relayed one
};

class MembershipTable
{
public:
    // Returns whether every member sends to every other one in each period.
    [[nodiscard]] bool isMesh() const { return mesh_; }

    MembershipTable(MemberRecord self, MembershipOptions options);

    // Replaces the own record. Keeps id, incarnation and generation, and increments the sequence
    // number. The state Leaving is final.
    void updateSelf(MemberRecord record);
    const MemberRecord &self() const { return self_; }

    // Adds an address from the settings. It is contacted until a member with this address is known.
    void addSeed(const std::string &peerAddress);

    // Replaces the addresses from the platform's list by those of a newer list. The list lags
    // behind the deployment, so it neither adds a live member nor removes one that sends
    // heartbeats.
    void setPlatformSeeds(std::vector<std::string> peerAddresses);

    // Applies a received heartbeat or reply.
    ReceiveResult receive(const Heartbeat &heartbeat, TimePoint now);

    // Advances the sync with the reply to an own heartbeat. receive() must be called for it as
    // well.
    void receiveReply(const Heartbeat &reply, TimePoint now);

    // Marks a member as expired, for example after its lease was revoked. Has no effect if the
    // member has another incarnation by now.
    void markExpired(const std::string &id, const std::string &incarnation, TimePoint now);

    // Returns the status of a member at a time, or nothing if the id is not known.
    std::optional<MemberStatus> statusOf(const std::string &id, TimePoint now) const;

    // Returns all known members, with their status at the time; the own record comes first. Expired
    // members are included until tombstoneRetention has passed.
    std::vector<Member> members(TimePoint now) const;

    // Returns the member with the id, or nothing.
    std::optional<Member> find(const std::string &id, TimePoint now) const;

    // Returns the destinations of the heartbeats of this period. In a full mesh these are all other
    // members; else the monitors in the ring, and randomPeers members from a random permutation of
    // all. Up to maxUnconfirmedPerPeriod unconfirmed addresses are added in rotation. Each address
    // occurs at most once. Call once in each period: marks monitored members as silent and removes
    // expired members after tombstoneRetention.
    std::vector<HeartbeatDestination> heartbeatDestinations(TimePoint now);

    // Returns the heartbeat for a destination: the own record if the destination lacks its newest
    // version, else a pulse; queued events; and records to relay.
    Heartbeat makeHeartbeat(const HeartbeatDestination &destination, TimePoint now);

    // Returns the reply to a received heartbeat, or nothing if there is nothing to send.
    std::optional<Heartbeat> makeReply(const Heartbeat &received, TimePoint now);

private:
    struct KnownMember
    {
        MemberRecord record;
        TimePoint lastSeenAt;
        bool direct = false;
        bool markedExpired = false;
        // Another process sent a record of this id with a lower generation.
        bool hasIdConflict = false;
        std::uint64_t key = 0; // memberKey() of the record
        std::uint64_t newestSequence = 0; // of any record, pulse or event of the incarnation
        // When this instance, or an event of another monitor, reported the member as silent.
        std::optional<TimePoint> reportedSilentAt;
    };

    MemberStatus statusAt(const KnownMember &known, TimePoint now) const;
    void addDiscoveredAddress(const std::string &address);
    bool acceptRecord(const MemberRecord &record, TimePoint lastSeenAt, bool direct,
                      ReceiveResult &result);
    // Handles a record of an earlier process with the own id that a peer still has: raises the own
    // generation above it.
    void raiseGenerationAbove(const MemberRecord &record, ReceiveResult &result);
    // Applies a newer record of the same incarnation; returns false if it is not newer.
    static bool acceptUpdate(KnownMember &known, const MemberRecord &record);
    // Applies a record of another incarnation; returns false if the known one supersedes it.
    static bool acceptIncarnation(KnownMember &known, const MemberRecord &record, bool direct);
    // Resets the state that belongs to the previous incarnation.
    void resetForIncarnation(KnownMember &known);
    bool acceptPulse(const MemberPulse &pulse, TimePoint now);
    void acceptEvent(const MemberEvent &event, TimePoint now);
    // Queues an event with the member's current state for gossip.
    void queueEvent(const KnownMember &known);
    // Switches between full mesh and ring when the number of members crosses meshPeers.
    void setMesh(TimePoint now);
    void removeOldTombstones(TimePoint now);
    // Returns the addresses without a live member to contact in this period. The address of an
    // expired member is contacted again while a seed list has it, so that both sides detect the end
    // of a network partition.
    std::vector<std::string> nextUnconfirmed(std::vector<std::string> confirmed);
    // Returns whether this instance must send the newest version of its record to a destination.
    bool needsRecord(const std::string &id) const;
    // Adds the own record and addresses of other members to the heartbeat.
    void addRecord(const std::string &destinationId, TimePoint now, Heartbeat &heartbeat);
    void addRelayed(const std::string &id, TimePoint now, Heartbeat &heartbeat) const;
    // Updates the neighbours in the ring and marks monitored members that are silent.
    void monitorRingNeighbours(TimePoint now);
    std::vector<std::string> nextRandomMembers(std::size_t count, TimePoint now);
    std::size_t liveCount(TimePoint now) const;

    MemberRecord self_;
    MembershipOptions options_;
    std::map<std::string, KnownMember> known_;
    std::vector<std::string> seeds_;
    std::vector<std::string> platformSeeds_;
    std::deque<std::string> discoveredAddresses_; // from heartbeats of other members, bounded
    bool mesh_ = true; // every member sends to every other one
    std::map<std::uint64_t, std::string> idOfKey_;
    GossipQueue<std::uint64_t, MemberEvent> eventQueue_;
    GossipQueue<std::string, std::string> relayQueue_; // ids whose record is relayed
    std::map<std::string, std::uint64_t> sentSequence_; // of the own record, by receiver id
    std::set<std::string> missingRecordIds_; // senders of pulses whose record is not known
    std::uint64_t recordSequence_ = 0; // of the newest own record that all receivers need
    TimePoint recordRefreshedAt_;
    TimePoint lastPeriodAt_;
    std::map<std::string, TimePoint> monitoredSince_;
    std::map<std::string, TimePoint> sendUntil_; // monitors, also former ones for a while
    std::vector<std::string> randomOrder_;
    std::uint64_t randomRound_ = 0;
    std::string randomDestination_; // gets the relayed record and the sync request
    bool syncing_ = false;
    std::string syncAfter_;
    TimePoint nextSync_;
    std::size_t unconfirmedRotation_ = 0;
    std::size_t addressRotation_ = 0;
};

} // namespace chestnutvane
