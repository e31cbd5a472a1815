// The instances of the deployment as one instance knows them (design page, section 7.6).
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
// MembershipTable is not thread-safe; the daemon guards it by the membership lock.
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

// What an instance says about itself.
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

// What the table makes of a member.
enum class MemberStatus {
    Unconfirmed, // known by address only; contacted, but never listed
    Joining,
    Serving,
    Leaving,
    Silent, // not heard for silentAfter
    Expired, // not heard for expireAfter, or left; not contacted again
};

inline constexpr EnumName<MemberStatus> memberStatusNames[] = {
        {MemberStatus::Unconfirmed, "unheard"}, {MemberStatus::Joining, "joining"},
        {MemberStatus::Serving, "serving"},     {MemberStatus::Leaving, "leaving"},
        {MemberStatus::Silent, "silent"},       {MemberStatus::Expired, "gone"},
};

struct HeldUnit
{
    std::string service;
    std::string region;
    std::uint64_t epoch = 0;

    friend bool operator==(const HeldUnit &, const HeldUnit &) = default;
};

// Headroom of a unit as its broker measured it.
struct UnitHeadroom
{
    std::string service;
    std::string region;
    std::uint64_t epoch = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t queued = 0;
    Milliseconds age{0}; // at the time the record was made

    friend bool operator==(const UnitHeadroom &, const UnitHeadroom &) = default;
};

// Progress of a move as an instance has seen it in the store and uses it in its answers.
struct MoveReport
{
    std::string move;
    std::uint64_t seenStep = 0;
    double seenProgress = 0;
    std::uint64_t adoptedStep = 0;

    friend bool operator==(const MoveReport &, const MoveReport &) = default;
};

struct MemberRecord
{
    std::string id;
    std::string incarnation; // 32 hexadecimal digits
    // Orders the incarnations of one id. Set from the wall clock at start and raised by
    // MembershipTable::receive() above any older incarnation that peers still remember, because
    // clocks of replaced machines differ.
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0; // goes up with every record of one incarnation
    std::string zone;
    std::string callerAddress;
    std::string operatorAddress;
    std::string peerAddress;
    MemberState state = MemberState::Joining;
    std::uint64_t revision = 0;
    std::uint64_t keyWindow = 1; // window of the one-time keys that look-ups hand out
    std::vector<HeldUnit> brokers;
    std::vector<UnitHeadroom> headroom;
    std::vector<CrashCount> crashCounts;
    std::vector<MoveReport> moves;
    std::vector<LinkRate> linkRates; // of this instance's own bytes
    std::optional<Milliseconds> storeContactAge; // nothing: never had contact
    double load = 0; // requests in flight over the connection limit

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

// A record passed on by an instance that is not its subject.
struct RelayedRecord
{
    MemberRecord record;
    Milliseconds age{0}; // since the subject made it, as far as the relays know

    friend bool operator==(const RelayedRecord &, const RelayedRecord &) = default;
};

// What a heartbeat says about its sender when the receiver has the sender's record.
struct MemberPulse
{
    std::string id;
    std::uint64_t key = 0; // memberKey() of the incarnation
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Joining;
    std::uint64_t revision = 0;
    std::optional<Milliseconds> storeContactAge;
    std::uint64_t memberCount = 0; // members that the sender knows and that are not gone

    friend bool operator==(const MemberPulse &, const MemberPulse &) = default;
};

// What one instance sends to another in each period.
struct Heartbeat
{
    MemberRecord sender; // not sent with a pulse
    std::vector<RelayedRecord> relayed; // at most MembershipOptions::maxRelayed
    std::vector<std::string> knownAddresses; // peer addresses, at most maxKnownAddresses
    std::optional<MemberPulse> pulse; // in place of the sender's record
    std::vector<MemberEvent> events; // at most maxEvents
    bool wantsRecord = false; // the sender does not have the receiver's record
    // In a request: asks for the records of the next ids. In a reply: repeats the request's.
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

inline constexpr std::size_t maxHeartbeatBytes = 1U << 20U;

std::string encodeHeartbeat(const Heartbeat &heartbeat);

// Reads a heartbeat. Never throws on malformed input.
Result<Heartbeat, HeartbeatError> decodeHeartbeat(std::string_view bytes);

struct MembershipOptions
{
    Milliseconds silentAfter{1500};
    Milliseconds expireAfter{10000};
    // How long a gone member is remembered, so that a late record does not bring it back.
    Milliseconds tombstoneRetention{60000};
    // Up to this number of other members everybody sends to everybody in each period. With more, a
    // member sends to its watchers and to randomPeers others.
    std::size_t meshPeers = 9;
    std::size_t randomPeers = 2;
    std::size_t maxRelayed = 1; // records relayed in one heartbeat
    std::size_t maxEvents = 6; // events in one heartbeat
    std::size_t maxSync = 8; // records in the reply to a heartbeat with syncAfter
    // Period of the full record where nothing but measurements changed.
    Milliseconds meshRefresh{1000};
    Milliseconds ringRefresh{5000};
    // Period of the comparison of member counts that finds records lost on the way.
    Milliseconds syncPeriod{5000};
    std::size_t maxKnownAddresses = 2; // addresses passed on in one heartbeat
    std::size_t maxUnconfirmedPerPeriod =
            4; // addresses without a known member contacted in a period
};

struct HeartbeatDestination
{
    std::string id; // empty for an address whose member is not known yet
    std::string peerAddress;

    friend bool operator==(const HeartbeatDestination &, const HeartbeatDestination &) = default;
};

// What a received heartbeat changed.
struct ReceiveResult
{
    bool ownGenerationRaised = false;
    bool senderIsNew = false; // a new id or a new incarnation
    bool senderAccepted = false; // false: older incarnation or not a newer sequence number
    std::uint64_t highestRevision = 0; // among the sender and the relayed records
};

struct Member
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Unconfirmed;
    TimePoint lastSeenAt; // the time the record was made, as far as known
    bool direct = false; // the last news came from the member itself
};

class MembershipTable
{
public:
    // Whether every member sends to every other one in each period.
    [[nodiscard]] bool isMesh() const { return mesh_; }

    MembershipTable(MemberRecord self, MembershipOptions options);

    // Replaces the own record. Keeps id, incarnation and generation, raises the sequence number,
    // and keeps the state leaving once it was set.
    void updateSelf(MemberRecord record);
    const MemberRecord &self() const { return self_; }

    // Adds an address from the settings or the platform's list. It is contacted until it is heard.
    void addSeed(const std::string &peerAddress);

    // Replaces the addresses from the platform's list by a newer list. The list lags, so it neither
    // makes a member live nor removes one that is heard.
    void setPlatformSeeds(std::vector<std::string> peerAddresses);

    ReceiveResult receive(const Heartbeat &heartbeat, TimePoint now);

    // Notes what a reply to an own heartbeat says beyond receive(), which must be called as well.
    void receiveReply(const Heartbeat &reply, TimePoint now);

    // Marks a member as gone, for example after its lease was seen to be revoked. Has no effect if
    // the incarnation is no longer the member's.
    void markExpired(const std::string &id, const std::string &incarnation, TimePoint now);

    // Status of a member at a time; nothing if the id is not known.
    std::optional<MemberStatus> statusOf(const std::string &id, TimePoint now) const;

    // All members heard of and not forgotten, with their status at the time; the own record first.
    std::vector<Member> members(TimePoint now) const;

    // Returns the member with the id, or nothing.
    std::optional<Member> find(const std::string &id, TimePoint now) const;

    // The addresses that get a heartbeat in this period, at most one each, with
    // maxUnconfirmedPerPeriod unheard addresses in rotation. Up to meshPeers members: all. With
    // more: the watchers in the ring, and randomPeers members of a random order that skips nobody.
    // Call once in each period; marks watched members as silent and forgets members gone for long.
    std::vector<HeartbeatDestination> heartbeatDestinations(TimePoint now);

    // The heartbeat for a target: the own record where the target lacks its newest version, else a
    // pulse; news; and a record to pass on.
    Heartbeat makeHeartbeat(const HeartbeatDestination &destination, TimePoint now);

    // The reply to a received heartbeat; nothing if the sender lacks nothing.
    std::optional<Heartbeat> makeReply(const Heartbeat &received, TimePoint now);

private:
    struct KnownMember
    {
        MemberRecord record;
        TimePoint lastSeenAt;
        bool direct = false;
        bool markedExpired = false;
        bool hasIdConflict =
                false; // another process sent a record of this id with a lower generation
        std::uint64_t key = 0; // memberKey() of the record
        std::uint64_t newestSequence = 0; // of the newest news of any kind
        std::optional<TimePoint> reportedSilentAt; // when a watcher's verdict was learned
    };

    MemberStatus statusAt(const KnownMember &known, TimePoint now) const;
    void addDiscoveredAddress(const std::string &address);
    bool accept(const MemberRecord &record, TimePoint lastSeenAt, bool direct,
                ReceiveResult &result);
    // A peer remembers an earlier process with the own id; raises the own generation above it.
    void raiseGenerationAbove(const MemberRecord &record, ReceiveResult &result);
    // Takes a newer record of the incarnation that is known; false if it is not newer.
    static bool acceptUpdate(KnownMember &known, const MemberRecord &record);
    // Takes a record of another incarnation; false if the known one supersedes it.
    static bool acceptIncarnation(KnownMember &known, const MemberRecord &record, bool direct);
    // Drops what was known of the incarnation before.
    void resetForIncarnation(KnownMember &known);
    bool acceptPulse(const MemberPulse &pulse, TimePoint now);
    void acceptEvent(const MemberEvent &event, TimePoint now);
    void queueEvent(const KnownMember &known);
    void setMesh(TimePoint now);
    void removeOldTombstones(TimePoint now);
    // Addresses to contact in this period at which no member is heard. A gone member's address is
    // contacted again while a seed list names it: a cut-off that ends must be noticed by both
    // sides.
    std::vector<std::string> nextUnconfirmed(std::vector<std::string> confirmed);
    // Whether a target lacks the newest version of the own record and gets it from here.
    bool needsRecord(const std::string &id) const;
    // Adds the own record and addresses of other members.
    void addRecord(const std::string &destinationId, TimePoint now, Heartbeat &heartbeat);
    void addRelayed(const std::string &id, TimePoint now, Heartbeat &heartbeat) const;
    void monitorRingNeighbours(TimePoint now);
    std::vector<std::string> nextRandom(std::size_t count, TimePoint now);
    std::size_t liveCount(TimePoint now) const;

    MemberRecord self_;
    MembershipOptions options_;
    std::map<std::string, KnownMember> known_;
    std::vector<std::string> seeds_;
    std::vector<std::string> platformSeeds_;
    std::deque<std::string>
            discoveredAddresses_; // addresses from other members' heartbeats, bounded
    bool mesh_ = true; // everybody sends to everybody
    std::map<std::uint64_t, std::string> idOfKey_;
    GossipQueue<std::uint64_t, MemberEvent> eventQueue_;
    GossipQueue<std::string, std::string> relayQueue_; // ids whose record is passed on
    std::map<std::string, std::uint64_t> sentSequence_; // of the own record, by receiver
    std::set<std::string> missingRecordIds_; // members whose record is missing
    std::uint64_t recordSequence_ = 0; // of the own record's newest version
    TimePoint recordRefreshedAt_;
    TimePoint lastPeriodAt_;
    std::map<std::string, TimePoint> monitoredSince_;
    std::map<std::string, TimePoint> sendUntil_; // watchers, also former ones for a while
    std::vector<std::string> randomOrder_;
    std::uint64_t randomRound_ = 0;
    std::string randomDestination_; // the one that gets a relayed record and the sync request
    bool syncing_ = false;
    std::string syncAfter_;
    TimePoint nextSync_;
    std::size_t unconfirmedRotation_ = 0;
    std::size_t addressRotation_ = 0;
};

} // namespace chestnutvane
