#include "chestnutvane/process/gateway/fleet/report_relay.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Two, so that the loss of one delays no report.
constexpr std::size_t relaysPerZone = 2;
// Sequences of instances that were not heard from for this time are forgotten.
constexpr std::chrono::seconds sequenceRetention{30};

auto choiceOrder(const RelayPeer &peer)
{
    return std::tuple(-peer.coreShare, hash64(peer.id), peer.id);
}

} // namespace

ReportRelay::ReportRelay(RelayPeer self, std::uint64_t incarnation,
                         std::function<bool(const std::string &id)> isUsable)
    : self_(std::move(self)), selfHash_(hash64(self_.id)), incarnation_(incarnation),
      isUsable_(std::move(isUsable))
{
    zones_[self_.zone].push_back(self_.id);
}

void ReportRelay::setPeer(const RelayPeer &peer)
{
    if (peer.id == self_.id)
        return;
    removePeer(peer.id);
    peers_[peer.id] = peer;
    idsByHash_[hash64(peer.id)] = peer.id;
    peersInRegion_ += peer.region == self_.region ? 1 : 0;
    auto &zone = zones_[peer.zone];
    const auto orderOf = [this](const std::string &id) {
        return choiceOrder(id == self_.id ? self_ : peers_.at(id));
    };
    const auto position = std::find_if(zone.begin(), zone.end(), [&](const std::string &other) {
        return orderOf(other) > choiceOrder(peer);
    });
    zone.insert(position, peer.id);
}

void ReportRelay::removePeer(const std::string &id)
{
    const auto found = peers_.find(id);
    if (found == peers_.end())
        return;
    peersInRegion_ -= found->second.region == self_.region ? 1 : 0;
    const auto zone = zones_.find(found->second.zone);
    std::erase(zone->second, id);
    if (zone->second.empty())
        zones_.erase(zone);
    idsByHash_.erase(hash64(id));
    health_.erase(id);
    peers_.erase(found);
}

bool ReportRelay::isAnswering(const RelayPeer &peer, TimePoint now)
{
    Health &health = health_[peer.id];
    if (now < health.pausedUntil)
        return false;
    const Milliseconds timeout = peer.zone == self_.zone ? relayTimeout : zoneRelayTimeout;
    if (health.lastAsked == TimePoint{} || now - health.lastAsked > relayTimeout)
        return true; // not asked lately
    if (now - std::max(health.askedSince, health.lastAnswer) <= timeout)
        return true;
    health.pausedUntil = now + relayPause;
    health.lastAsked = {};
    logEvent(Event::RelayAvoided,
             {{"instance", peer.id}, {"zone", peer.zone}, {"for-ms", relayPause.count()}});
    return false;
}

void ReportRelay::onAsked(const std::string &id, TimePoint now)
{
    Health &health = health_[id];
    if (now - health.lastAsked > relayTimeout)
        health.askedSince = now;
    health.lastAsked = now;
}

std::vector<std::string> ReportRelay::relaysOf(const std::string &zone, TimePoint now)
{
    std::vector<std::string> relays;
    const auto found = zones_.find(zone);
    if (found == zones_.end())
        return relays;
    for (const std::string &id : found->second) {
        if (relays.size() == relaysPerZone)
            break;
        if (id == self_.id || (isUsable_(id) && isAnswering(peers_.at(id), now)))
            relays.push_back(id);
    }
    if (!relays.empty())
        return relays;
    // Nobody answers, or each zone takes the other one for dead because neither is sent anything.
    // Trying one after the other finds an instance that lives.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / relayTimeout);
    return {found->second[turn % found->second.size()]};
}

std::vector<std::string> ReportRelay::datagramsFor(Hop hop, std::vector<RelayFrame> frames) const
{
    return encodeBatches({selfHash_, hop, std::move(frames)}, maxBatchBytes);
}

std::vector<OutgoingBatches> ReportRelay::submit(RelayFrame frame, TimePoint now)
{
    std::vector<std::string> relays = relaysOf(self_.zone, now);
    if (std::erase(relays, self_.id) > 0)
        queue(frame, true, now);
    if (relays.empty())
        return {};
    for (const std::string &id : relays)
        onAsked(id, now);
    return {{std::move(relays), datagramsFor(Hop::ToRelay, {std::move(frame)})}};
}

bool ReportRelay::isNewFrame(const RelayFrame &frame, TimePoint now)
{
    auto &last = lastSequences_[{frame.incarnation, frame.audience}];
    if (frame.sequence <= last.sequence)
        return false;
    last = {frame.sequence, now};
    return true;
}

void ReportRelay::queue(const RelayFrame &frame, bool fromOwnZone, TimePoint now)
{
    const bool isForRegion = frame.audience == Audience::SameRegion;
    if (isForRegion || !fromOwnZone)
        forMembers_.push_back({frame, now});
    if (fromOwnZone)
        (isForRegion ? forRegion_ : forOtherRegions_).push_back({frame, now});
}

std::vector<RelayFrame> ReportRelay::onBatch(RelayBatch batch, bool agesUnknown, TimePoint now)
{
    const auto sender = idsByHash_.find(batch.sender);
    if (sender != idsByHash_.end() && batch.hop == Hop::BetweenZones) {
        Health &health = health_[sender->second];
        health.lastAnswer = now;
        if (!batch.frames.empty())
            health.isAnswerDue = isAnswerDue_ = true;
    }
    std::vector<RelayFrame> toProcess;
    for (RelayFrame &frame : batch.frames) {
        if (frame.incarnation == incarnation_) { // the relay works
            if (sender != idsByHash_.end())
                health_[sender->second].lastAnswer = now;
            continue;
        }
        if (!isNewFrame(frame, now))
            continue;
        frame.agesUnknown = frame.agesUnknown || agesUnknown;
        const bool fromOwnZone = batch.hop == Hop::ToRelay;
        if (batch.hop != Hop::ToMembers)
            queue(frame, fromOwnZone, now);
        if (!fromOwnZone || frame.audience == Audience::SameRegion)
            toProcess.push_back(std::move(frame));
    }
    return toProcess;
}

bool ReportRelay::hasWaitingFrames() const
{
    return !forMembers_.empty() || !forRegion_.empty() || !forOtherRegions_.empty() || isAnswerDue_;
}

std::vector<RelayFrame> ReportRelay::take(std::vector<Waiting> &queue, bool agesUnknown,
                                          TimePoint now)
{
    std::vector<RelayFrame> frames;
    frames.reserve(queue.size());
    for (Waiting &waiting : queue) {
        waiting.frame.held += std::chrono::ceil<Milliseconds>(now - waiting.since);
        waiting.frame.agesUnknown = waiting.frame.agesUnknown || agesUnknown;
        ++waiting.frame.relays;
        frames.push_back(std::move(waiting.frame));
    }
    queue.clear();
    return frames;
}

void ReportRelay::addZoneBatches(std::vector<OutgoingBatches> &batches,
                                 std::vector<RelayFrame> frames, bool inOwnRegion, TimePoint now)
{
    if (frames.empty())
        return;
    // The first relay of this zone sends to the first one of each other zone, the second to the
    // second, so that the two ways share no relay.
    const auto own = relaysOf(self_.zone, now);
    const auto position =
            static_cast<std::size_t>(std::find(own.begin(), own.end(), self_.id) - own.begin());
    OutgoingBatches batch;
    for (const auto &[zone, ids] : zones_) {
        if (zone == self_.zone || (peers_.at(ids.front()).region == self_.region) != inOwnRegion)
            continue;
        const auto relays = relaysOf(zone, now);
        if (relays.empty())
            continue;
        batch.receivers.push_back(relays[position % relays.size()]);
        onAsked(batch.receivers.back(), now);
        health_[batch.receivers.back()].answeredAt = now;
    }
    if (batch.receivers.empty())
        return;
    batch.datagrams = datagramsFor(Hop::BetweenZones, std::move(frames));
    batches.push_back(std::move(batch));
}

std::vector<OutgoingBatches> ReportRelay::flush(bool agesUnknown, TimePoint now)
{
    std::vector<OutgoingBatches> batches;
    if (auto frames = take(forMembers_, agesUnknown, now); !frames.empty()) {
        OutgoingBatches batch;
        for (const std::string &id : zones_.at(self_.zone)) {
            if (id != self_.id)
                batch.receivers.push_back(id);
        }
        batch.datagrams = datagramsFor(Hop::ToMembers, std::move(frames));
        batches.push_back(std::move(batch));
    }
    addZoneBatches(batches, take(forRegion_, agesUnknown, now), true, now);
    addZoneBatches(batches, take(forOtherRegions_, agesUnknown, now), false, now);
    addAnswers(batches, now);
    return batches;
}

void ReportRelay::addAnswers(std::vector<OutgoingBatches> &batches, TimePoint now)
{
    if (!std::exchange(isAnswerDue_, false))
        return;
    OutgoingBatches answers;
    for (auto &[id, health] : health_) {
        if (!std::exchange(health.isAnswerDue, false) || now - health.answeredAt < answerInterval)
            continue;
        health.answeredAt = now;
        answers.receivers.push_back(id);
    }
    if (answers.receivers.empty())
        return;
    answers.datagrams = datagramsFor(Hop::BetweenZones, {});
    batches.push_back(std::move(answers));
}

void ReportRelay::expire(TimePoint now)
{
    std::erase_if(lastSequences_, [now](const auto &entry) {
        return now - entry.second.receivedAt > sequenceRetention;
    });
}

} // namespace chestnutvane
