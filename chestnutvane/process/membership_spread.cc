// The part of MembershipTable for deployments that are too large for a full mesh: ring monitoring,
// gossip of events, and syncs.
#include <algorithm>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/membership.h"

namespace chestnutvane {

namespace {

// A former monitor still gets heartbeats for this time, because it may not know yet that another
// member replaced it in the ring.
constexpr Milliseconds formerMonitorTime{3000};

// A new monitor waits this long for the first heartbeat, because the monitored member may discover
// it later.
constexpr Milliseconds newMonitorTime{3000};

// Above this gap between two periods the process was paused, so it cannot tell which members were
// silent.
constexpr Milliseconds pauseLimit{600};

// Bounds the ids whose record is missing, because malformed heartbeats could name any number of
// ids.
constexpr std::size_t maxMissingRecords = 4096;

} // namespace

bool MembershipTable::acceptPulse(const MemberPulse &pulse, TimePoint now)
{
    const auto entry = known_.find(pulse.id);
    if (entry == known_.end() || entry->second.key != pulse.key) {
        if (missingRecordIds_.size() >= maxMissingRecords)
            missingRecordIds_.clear();
        missingRecordIds_.insert(pulse.id);
        return false;
    }
    KnownMember &known = entry->second;
    if (pulse.sequence < known.newestSequence
        || (pulse.sequence == known.newestSequence && known.reportedSilentAt))
        return false;
    MemberRecord &record = known.record;
    const MemberState state =
            record.state == MemberState::Leaving ? MemberState::Leaving : pulse.state;
    const bool isChanged =
            known.reportedSilentAt || record.state != state || record.revision < pulse.revision;
    known.newestSequence = pulse.sequence;
    known.reportedSilentAt.reset();
    known.lastSeenAt = std::max(known.lastSeenAt, now);
    known.direct = true;
    record.state = state;
    record.revision = std::max(record.revision, pulse.revision);
    record.storeContactAge = pulse.storeContactAge;
    if (isChanged)
        queueEvent(known);
    return true;
}

void MembershipTable::acceptEvent(const MemberEvent &event, TimePoint now)
{
    if (event.key == memberKey(self_.id, self_.incarnation)) {
        // Refutes the report: the own sequence number is above any that a monitor has received.
        if (event.reportedState == ReportedState::Silent)
            eventQueue_.add(event.key,
                            {event.key, self_.sequence, static_cast<ReportedState>(self_.state),
                             self_.revision});
        return;
    }
    const auto id = idOfKey_.find(event.key);
    if (id == idOfKey_.end()) {
        syncing_ = syncing_ || now >= nextSync_;
        return;
    }
    KnownMember &known = known_.at(id->second);
    const bool isSilent = event.reportedState == ReportedState::Silent;
    if (event.sequence < known.newestSequence
        || (event.sequence == known.newestSequence && (known.reportedSilentAt || !isSilent)))
        return;
    MemberRecord &record = known.record;
    const MemberState state = isSilent || record.state == MemberState::Leaving
            ? record.state
            : static_cast<MemberState>(event.reportedState);
    const bool isChanged = isSilent != known.reportedSilentAt.has_value() || state != record.state
            || record.revision < event.revision;
    known.newestSequence = event.sequence;
    if (!isSilent)
        known.reportedSilentAt.reset();
    else if (!known.reportedSilentAt)
        known.reportedSilentAt = now;
    record.state = state;
    record.revision = std::max(record.revision, event.revision);
    if (isChanged)
        queueEvent(known);
}

void MembershipTable::queueEvent(const KnownMember &known)
{
    if (mesh_)
        return;
    const auto reportedState = known.reportedSilentAt
            ? ReportedState::Silent
            : static_cast<ReportedState>(known.record.state);
    eventQueue_.add(known.key,
                    {known.key, known.newestSequence, reportedState, known.record.revision});
}

std::size_t MembershipTable::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(known_.begin(), known_.end(), [&](const auto &entry) {
                return statusAt(entry.second, now) != MemberStatus::Expired;
            }));
}

void MembershipTable::setMesh(TimePoint now)
{
    const bool mesh = liveCount(now) <= options_.meshPeers;
    if (mesh == mesh_)
        return;
    // Silence is detected differently with and without a mesh, so the time-outs of all members that
    // are not silent start again.
    for (auto &[id, known] : known_) {
        const MemberStatus status = statusAt(known, now);
        if (status == MemberStatus::Expired || status == MemberStatus::Silent)
            known.reportedSilentAt = known.reportedSilentAt.value_or(now);
        else if (mesh)
            known.lastSeenAt = now;
    }
    mesh_ = mesh;
    sendUntil_.clear();
    monitoredSince_.clear();
    eventQueue_.clear();
    relayQueue_.clear();
}

// Sets the monitors that get heartbeats, and marks the monitored members that are silent.
void MembershipTable::monitorRingNeighbours(TimePoint now)
{
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    for (const auto &[id, known] : known_) {
        const MemberStatus status = statusAt(known, now);
        if (status != MemberStatus::Expired && status != MemberStatus::Silent)
            ring.emplace_back(ringHash(id), id);
    }
    std::sort(ring.begin(), ring.end());
    const RingNeighbours neighbours = ringNeighbours(ring, {ringHash(self_.id), self_.id});
    std::erase_if(sendUntil_, [&](const auto &entry) { return entry.second <= now; });
    for (const std::string &id : neighbours.monitors)
        sendUntil_[id] = now + formerMonitorTime;

    const bool wasPaused = now - lastPeriodAt_ > pauseLimit;
    std::map<std::string, TimePoint> since;
    for (const std::string &id : neighbours.monitored) {
        const auto before = monitoredSince_.find(id);
        const bool isNew = before == monitoredSince_.end() || wasPaused;
        since[id] = isNew ? now + newMonitorTime - options_.silentAfter : before->second;
        KnownMember &known = known_.at(id);
        if (now - std::max(known.lastSeenAt, since[id]) < options_.silentAfter)
            continue;
        known.reportedSilentAt = now;
        queueEvent(known);
    }
    monitoredSince_ = std::move(since);
}

// Returns the next members of a random permutation of all members. Each round uses a new one.
std::vector<std::string> MembershipTable::nextRandomMembers(std::size_t count, TimePoint now)
{
    std::vector<std::string> chosen;
    for (int refills = 0; chosen.size() < count && refills < 2;) {
        if (randomOrder_.empty()) {
            ++refills;
            const std::uint64_t seed = hash64(self_.id, ++randomRound_);
            std::vector<std::pair<std::uint64_t, std::string>> order;
            order.reserve(known_.size());
            for (const auto &[id, known] : known_)
                order.emplace_back(hash64(id, seed), id);
            std::sort(order.begin(), order.end());
            for (auto &[hash, id] : order)
                randomOrder_.push_back(std::move(id));
            continue;
        }
        const auto known = known_.find(randomOrder_.back());
        if (known != known_.end() && statusAt(known->second, now) != MemberStatus::Expired
            && std::find(chosen.begin(), chosen.end(), known->first) == chosen.end())
            chosen.push_back(known->first);
        randomOrder_.pop_back();
    }
    return chosen;
}

std::optional<Heartbeat> MembershipTable::makeReply(const Heartbeat &received, TimePoint now)
{
    const std::string &id = received.pulse ? received.pulse->id : received.sender.id;
    const auto known = known_.find(id);
    const bool isKnown = known != known_.end() && !known->second.hasIdConflict;
    Heartbeat reply;
    if (!isKnown || received.wantsRecord || !received.pulse) {
        reply = makeHeartbeat({isKnown && !received.wantsRecord ? id : std::string(), {}}, now);
    } else if (!received.syncAfter && !missingRecordIds_.contains(id)) {
        return std::nullopt;
    } else {
        reply.pulse = MemberPulse{self_.id,       memberKey(self_.id, self_.incarnation),
                                  self_.sequence, self_.state,
                                  self_.revision, self_.storeContactAge,
                                  liveCount(now)};
    }
    reply.wantsRecord = missingRecordIds_.contains(id);
    if (received.syncAfter) {
        reply.syncAfter = received.syncAfter;
        for (auto next = known_.upper_bound(*received.syncAfter);
             next != known_.end() && reply.relayed.size() < options_.maxSync; ++next) {
            if (next->first != id && statusAt(next->second, now) != MemberStatus::Expired)
                reply.relayed.push_back(
                        {next->second.record,
                         std::chrono::ceil<Milliseconds>(now - next->second.lastSeenAt)});
        }
    }
    return reply;
}

void MembershipTable::receiveReply(const Heartbeat &reply, TimePoint now)
{
    if (!reply.syncAfter || !syncing_ || *reply.syncAfter != syncAfter_)
        return;
    if (reply.relayed.size() < options_.maxSync) {
        syncing_ = false;
        syncAfter_.clear();
        nextSync_ = now + options_.syncPeriod;
    } else {
        syncAfter_ = reply.relayed.back().record.id;
    }
}

} // namespace chestnutvane
