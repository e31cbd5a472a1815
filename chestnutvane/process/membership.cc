#include "chestnutvane/process/membership.h"

#include <algorithm>
#include <tuple>

namespace chestnutvane {

namespace {

constexpr std::size_t maxDiscoveredAddresses = 4096;

// A member that requests the own record and is no monitor gets heartbeats for this time.
constexpr Milliseconds recordRequesterTime{300};

// Returns up to "count" entries from index "rotation" on, cyclically, and advances the index.
template <class T>
std::vector<T> nextInRotation(const std::vector<T> &entries, std::size_t count,
                              std::size_t &rotation)
{
    std::vector<T> chosen;
    count = std::min(count, entries.size());
    chosen.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(entries[(rotation + i) % entries.size()]);
    rotation = entries.empty() ? 0 : (rotation + count) % entries.size();
    return chosen;
}

bool contains(const std::vector<std::string> &texts, const std::string &text)
{
    return std::find(texts.begin(), texts.end(), text) != texts.end();
}

ReportedState reportedStateOf(MemberState state)
{
    return static_cast<ReportedState>(state);
}

// Returns whether two records differ in more than measurements and counters.
bool differs(const MemberRecord &a, const MemberRecord &b)
{
    const auto crashes = [](const MemberRecord &record) {
        std::vector<CrashCount> counts = record.crashCounts;
        for (CrashCount &count : counts)
            count.age = {};
        return counts;
    };
    const auto fixed = [](const MemberRecord &r) {
        return std::tie(r.incarnation, r.generation, r.zone, r.callerAddress, r.operatorAddress,
                        r.peerAddress, r.state, r.revision, r.keyWindow, r.brokers, r.moves);
    };
    return fixed(a) != fixed(b) || crashes(a) != crashes(b);
}

} // namespace

MembershipTable::MembershipTable(MemberRecord self, MembershipOptions options)
    : self_(std::move(self)), options_(options)
{ }

void MembershipTable::updateSelf(MemberRecord record)
{
    record.id = self_.id;
    record.incarnation = self_.incarnation;
    record.generation = self_.generation;
    record.sequence = self_.sequence + 1;
    if (self_.state == MemberState::Leaving)
        record.state = MemberState::Leaving;
    const bool changed = differs(record, self_);
    self_ = std::move(record);
    if (!changed)
        return;
    recordSequence_ = self_.sequence;
    if (!mesh_) {
        eventQueue_.add(memberKey(self_.id, self_.incarnation),
                        {memberKey(self_.id, self_.incarnation), self_.sequence,
                         reportedStateOf(self_.state), self_.revision});
        relayQueue_.add(self_.id, self_.id);
    }
}

void MembershipTable::addSeed(const std::string &peerAddress)
{
    if (!contains(seeds_, peerAddress))
        seeds_.push_back(peerAddress);
}

void MembershipTable::setPlatformSeeds(std::vector<std::string> peerAddresses)
{
    platformSeeds_ = std::move(peerAddresses);
}

void MembershipTable::raiseGenerationAbove(const MemberRecord &record, ReceiveResult &result)
{
    if (record.incarnation == self_.incarnation || record.generation < self_.generation)
        return;
    self_.generation = record.generation + 1;
    recordSequence_ = ++self_.sequence;
    result.ownGenerationRaised = true;
}

bool MembershipTable::acceptUpdate(KnownMember &known, const MemberRecord &record)
{
    if (record.sequence <= known.record.sequence)
        return false;
    const MemberState state = known.record.state;
    const std::uint64_t revision = known.record.revision;
    known.record = record;
    if (state == MemberState::Leaving || record.sequence < known.newestSequence)
        known.record.state = state;
    known.record.revision = std::max(revision, record.revision);
    return true;
}

bool MembershipTable::acceptIncarnation(KnownMember &known, const MemberRecord &record, bool direct)
{
    if (std::tie(record.generation, record.incarnation)
        < std::tie(known.record.generation, known.record.incarnation)) {
        known.hasIdConflict = known.hasIdConflict || direct;
        return false;
    }
    known.record = record;
    known.markedExpired = false;
    known.hasIdConflict = false;
    return true;
}

void MembershipTable::resetForIncarnation(KnownMember &known)
{
    idOfKey_.erase(known.key);
    known.key = memberKey(known.record.id, known.record.incarnation);
    idOfKey_[known.key] = known.record.id;
    known.newestSequence = 0;
    known.reportedSilentAt.reset();
    sentSequence_.erase(known.record.id);
}

bool MembershipTable::acceptRecord(const MemberRecord &record, TimePoint lastSeenAt, bool direct,
                                   ReceiveResult &result)
{
    if (record.id == self_.id) {
        raiseGenerationAbove(record, result);
        return false;
    }
    const auto [entry, isNewId] = known_.try_emplace(record.id);
    KnownMember &known = entry->second;
    const bool isSame = !isNewId && known.record.incarnation == record.incarnation;
    const bool isChanged = !isSame || differs(known.record, record) || !record.headroom.empty();
    if (isNewId)
        known.record = record;
    else if (isSame ? !acceptUpdate(known, record) : !acceptIncarnation(known, record, direct))
        return false;
    known.lastSeenAt = isSame ? std::max(known.lastSeenAt, lastSeenAt) : lastSeenAt;
    known.direct = direct;
    if (!isSame)
        resetForIncarnation(known);
    if (record.sequence > known.newestSequence) {
        known.newestSequence = record.sequence;
        known.reportedSilentAt.reset();
    }
    missingRecordIds_.erase(record.id);
    if (isChanged && !mesh_)
        relayQueue_.add(record.id, record.id);
    result.senderIsNew |= direct && !isSame;
    return true;
}

ReceiveResult MembershipTable::receive(const Heartbeat &heartbeat, TimePoint now)
{
    ReceiveResult result;
    const std::string &sender = heartbeat.pulse ? heartbeat.pulse->id : heartbeat.sender.id;
    if (heartbeat.pulse) {
        result.senderAccepted = acceptPulse(*heartbeat.pulse, now);
        result.highestRevision = heartbeat.pulse->revision;
        if (heartbeat.pulse->memberCount > liveCount(now) && now >= nextSync_)
            syncing_ = true;
    } else {
        result.senderAccepted = acceptRecord(heartbeat.sender, now, true, result);
        result.highestRevision = heartbeat.sender.revision;
        if (!result.senderAccepted)
            addDiscoveredAddress(heartbeat.sender.peerAddress);
    }
    if (heartbeat.wantsRecord) {
        sentSequence_.erase(sender);
        if (!mesh_)
            sendUntil_.try_emplace(sender, now + recordRequesterTime);
    }
    for (const RelayedRecord &relayed : heartbeat.relayed) {
        acceptRecord(relayed.record, now - relayed.age, false, result);
        result.highestRevision = std::max(result.highestRevision, relayed.record.revision);
    }
    for (const MemberEvent &event : heartbeat.events) {
        acceptEvent(event, now);
        result.highestRevision = std::max(result.highestRevision, event.revision);
    }
    for (const std::string &address : heartbeat.knownAddresses)
        addDiscoveredAddress(address);
    setMesh(now);
    return result;
}

void MembershipTable::addDiscoveredAddress(const std::string &address)
{
    if (std::find(discoveredAddresses_.begin(), discoveredAddresses_.end(), address)
        != discoveredAddresses_.end())
        return;
    discoveredAddresses_.push_back(address);
    if (discoveredAddresses_.size() > maxDiscoveredAddresses)
        discoveredAddresses_.pop_front();
}

void MembershipTable::markExpired(const std::string &id, const std::string &incarnation,
                                  TimePoint now)
{
    const auto found = known_.find(id);
    if (found == known_.end() || found->second.record.incarnation != incarnation)
        return;
    found->second.markedExpired = true;
    found->second.lastSeenAt = std::max(found->second.lastSeenAt, now - options_.expireAfter);
}

MemberStatus MembershipTable::statusAt(const KnownMember &known, TimePoint now) const
{
    // Without a full mesh only monitors detect silence; the others receive their events.
    const auto silence = mesh_       ? now - known.lastSeenAt
            : known.reportedSilentAt ? now - *known.reportedSilentAt + options_.silentAfter
                                     : Duration{0};
    if (known.markedExpired || silence >= options_.expireAfter)
        return MemberStatus::Expired;
    if (known.record.state == MemberState::Leaving)
        return MemberStatus::Leaving;
    if (silence >= options_.silentAfter)
        return MemberStatus::Silent;
    return known.record.state == MemberState::Serving ? MemberStatus::Serving
                                                      : MemberStatus::Joining;
}

std::optional<MemberStatus> MembershipTable::statusOf(const std::string &id, TimePoint now) const
{
    if (const auto member = find(id, now))
        return member->status;
    return std::nullopt;
}

std::optional<Member> MembershipTable::find(const std::string &id, TimePoint now) const
{
    if (id == self_.id)
        return members(now).front();
    const auto found = known_.find(id);
    if (found == known_.end())
        return std::nullopt;
    const KnownMember &known = found->second;
    return Member{known.record, statusAt(known, now), known.lastSeenAt, known.direct};
}

std::vector<Member> MembershipTable::members(TimePoint now) const
{
    std::vector<Member> members;
    members.reserve(known_.size() + 1);
    members.push_back({self_, statusAt({self_, now, true, false, false}, now), now, true});
    for (const auto &[id, known] : known_)
        members.push_back({known.record, statusAt(known, now), known.lastSeenAt, known.direct});
    return members;
}

void MembershipTable::removeOldTombstones(TimePoint now)
{
    std::erase_if(known_, [&](const auto &entry) {
        const auto &[id, known] = entry;
        const bool forget = statusAt(known, now) == MemberStatus::Expired
                && now
                                - std::max(known.lastSeenAt,
                                           known.reportedSilentAt.value_or(known.lastSeenAt))
                        >= options_.expireAfter + options_.tombstoneRetention;
        if (forget)
            idOfKey_.erase(known.key);
        return forget;
    });
}

std::vector<HeartbeatDestination> MembershipTable::heartbeatDestinations(TimePoint now)
{
    removeOldTombstones(now);
    setMesh(now);
    if (now - recordRefreshedAt_ >= (mesh_ ? options_.meshRefresh : options_.ringRefresh)) {
        recordRefreshedAt_ = now;
        recordSequence_ = self_.sequence;
        if (!mesh_ && !self_.headroom.empty())
            relayQueue_.add(self_.id, self_.id);
    }
    if (!mesh_)
        monitorRingNeighbours(now);
    lastPeriodAt_ = now;

    std::set<std::string> ids;
    std::vector<std::string> confirmed = {self_.peerAddress};
    for (const auto &[id, known] : known_) {
        if (statusAt(known, now) == MemberStatus::Expired)
            continue;
        confirmed.push_back(known.record.peerAddress);
        if (mesh_ || sendUntil_.contains(id))
            ids.insert(id);
    }
    auto random = nextRandomMembers(options_.randomPeers, now);
    randomDestination_ = random.empty() ? std::string() : random.front();
    ids.insert(random.begin(), random.end());
    std::vector<HeartbeatDestination> destinations;
    destinations.reserve(ids.size() + options_.maxUnconfirmedPerPeriod);
    for (const std::string &id : ids)
        destinations.push_back({id, known_.at(id).record.peerAddress});
    for (std::string &address : nextUnconfirmed(std::move(confirmed)))
        destinations.push_back({{}, std::move(address)});
    return destinations;
}

std::vector<std::string> MembershipTable::nextUnconfirmed(std::vector<std::string> confirmed)
{
    std::sort(confirmed.begin(), confirmed.end());
    std::vector<std::string> unconfirmed;
    const auto addUnconfirmed = [&](const auto &addresses) {
        for (const std::string &address : addresses) {
            if (!std::binary_search(confirmed.begin(), confirmed.end(), address))
                unconfirmed.push_back(address);
        }
    };
    addUnconfirmed(seeds_);
    addUnconfirmed(platformSeeds_);
    addUnconfirmed(discoveredAddresses_);
    std::sort(unconfirmed.begin(), unconfirmed.end());
    unconfirmed.erase(std::unique(unconfirmed.begin(), unconfirmed.end()), unconfirmed.end());
    return nextInRotation(unconfirmed, options_.maxUnconfirmedPerPeriod, unconfirmedRotation_);
}

bool MembershipTable::needsRecord(const std::string &id) const
{
    if (id.empty())
        return true;
    const auto sent = sentSequence_.find(id);
    const bool isRing = sendUntil_.contains(id);
    // A random member has the record from others, or requests it.
    return (mesh_ || isRing) && (sent == sentSequence_.end() || sent->second < recordSequence_);
}

void MembershipTable::addRecord(const std::string &destinationId, TimePoint now,
                                Heartbeat &heartbeat)
{
    heartbeat.sender = self_;
    sentSequence_[destinationId] = self_.sequence;
    std::vector<std::string> addresses;
    for (const auto &[id, known] : known_) {
        if (id != destinationId && statusAt(known, now) != MemberStatus::Expired)
            addresses.push_back(known.record.peerAddress);
    }
    heartbeat.knownAddresses =
            nextInRotation(addresses, options_.maxKnownAddresses, addressRotation_);
}

void MembershipTable::addRelayed(const std::string &id, TimePoint now, Heartbeat &heartbeat) const
{
    if (id == self_.id) {
        heartbeat.relayed.push_back({self_, Milliseconds{0}});
    } else if (const auto known = known_.find(id); known != known_.end()) {
        // Rounded up, so that a record never gets younger by being relayed many times.
        heartbeat.relayed.push_back(
                {known->second.record,
                 std::chrono::ceil<Milliseconds>(now - known->second.lastSeenAt)});
    }
}

Heartbeat MembershipTable::makeHeartbeat(const HeartbeatDestination &destination, TimePoint now)
{
    Heartbeat heartbeat;
    if (needsRecord(destination.id))
        addRecord(destination.id, now, heartbeat);
    else
        heartbeat.pulse = MemberPulse{self_.id,       memberKey(self_.id, self_.incarnation),
                                      self_.sequence, self_.state,
                                      self_.revision, self_.storeContactAge,
                                      liveCount(now)};
    heartbeat.wantsRecord = missingRecordIds_.contains(destination.id);
    if (!mesh_)
        heartbeat.events = eventQueue_.next(options_.maxEvents, maxGossipSends);
    if (!destination.id.empty() && destination.id == randomDestination_) {
        if (!mesh_) {
            for (const std::string &id : relayQueue_.next(options_.maxRelayed, maxGossipSends / 2))
                addRelayed(id, now, heartbeat);
        }
        if (syncing_)
            heartbeat.syncAfter = syncAfter_;
    }
    // Tells a process whose record was rejected which generation it has to supersede.
    for (const auto &[id, known] : known_) {
        if (known.hasIdConflict && (destination.id == id || destination.id.empty()))
            addRelayed(id, now, heartbeat);
    }
    return heartbeat;
}

} // namespace chestnutvane
