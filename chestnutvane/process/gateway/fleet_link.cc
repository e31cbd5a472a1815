#include "chestnutvane/process/gateway/fleet_link.h"

#include <algorithm>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

using Udp = net::ip::udp;
using Error = boost::system::error_code;

// More warm objects would not fit into a datagram of one Ethernet frame. The oldest are dropped.
constexpr std::size_t maxUnsentWarmObjects = 50;
// The full identity of the sender is sent once in this time, so that a peer that missed it receives
// it before it considers the sender dead.
constexpr Milliseconds identityPeriod{900};
// Datagrams that are processed before other work goes on: about as many as 80 instances send in
// half a second.
constexpr int maxDatagramsPerTurn = 256;
// Reports are no longer sent to a peer that is not listed and has not been heard from for this
// time.
constexpr std::chrono::seconds receiverRetention{30};

std::optional<Udp::endpoint> toUdp(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        return std::nullopt;
    return Udp::endpoint(endpoint->address(), endpoint->port());
}

} // namespace

ReportIntervals reportIntervals(std::size_t sameRegion, std::size_t otherRegions)
{
    const auto intervalFor = [](std::size_t receivers, int reportsPerSecond) {
        return Milliseconds(static_cast<Milliseconds::rep>(receivers) * 1000 / reportsPerSecond);
    };
    ReportIntervals intervals;
    intervals.coalescing = std::clamp(intervalFor(sameRegion, reportsPerSecondSameRegion),
                                      minCoalescing, minReportInterval);
    intervals.sameRegion = std::clamp(intervalFor(sameRegion, reportsPerSecondSameRegion),
                                      minReportInterval, maxReportInterval);
    intervals.otherRegions = std::clamp(intervalFor(otherRegions, reportsPerSecondOtherRegions),
                                        minReportInterval, maxReportInterval);
    return intervals;
}

FleetLink::FleetLink(net::io_context &io, PeerIdentity self, const GatewaySettings &settings,
                     Gateway &gateway)
    : self_(std::move(self)), settings_(settings), gateway_(gateway), socket_(io), tickTimer_(io),
      coalescingTimer_(io), crashTimer_(io), flushTimer_(io),
      relay_({self_.id, self_.zone, settings.regionOf(self_.zone), self_.coreShare},
             self_.incarnation, [this](const std::string &id) { return mayRelay(id); })
{ }

bool FleetLink::mayRelay(const std::string &id) const
{
    const auto peer = gateway_.fleet().peers().find(id);
    return peer == gateway_.fleet().peers().end() // it may be starting at the same time
            || (gateway_.fleet().isAlive(id, Clock::now())
                && peer->second.report.state != PeerState::Stopping);
}

Result<std::unique_ptr<FleetLink>, ListenError> FleetLink::create(net::io_context &io,
                                                                  PeerIdentity self,
                                                                  const GatewaySettings &settings,
                                                                  Gateway &gateway)
{
    std::unique_ptr<FleetLink> link(new FleetLink(io, std::move(self), settings, gateway));
    const std::string &address = link->self_.reportAddress;
    const auto endpoint = toUdp(address);
    if (!endpoint)
        return ListenError{address, "report address is not of the form IP:port"};
    Error failure;
    link->socket_.open(endpoint->protocol(), failure);
    if (!failure)
        link->socket_.bind(*endpoint, failure);
    if (failure)
        return ListenError{address, failure.message()};
    link->socket_.non_blocking(true, failure);
    gateway.setOnLoadChange(
            [raw = link.get()](const WarmObject *warmObject) { raw->onLoadChange(warmObject); });
    gateway.setOnCrashCharged([raw = link.get()] { raw->reportCrashes(); });
    link->receive();
    link->tick();
    return link;
}

void FleetLink::addPeer(const PeerIdentity &peer)
{
    if (peer.id == self_.id)
        return;
    if (const auto known = receivers_.find(peer.id);
        known != receivers_.end() && known->second.reportAddress == peer.reportAddress) {
        known->second.lastSeen = Clock::now();
        return;
    }
    const auto endpoint = toUdp(peer.reportAddress);
    if (!endpoint)
        return;
    Receiver &receiver = receivers_[peer.id];
    receiver.reportAddress = peer.reportAddress;
    receiver.endpoint = *endpoint;
    receiver.inSameRegion = settings_.regionOf(peer.zone) == settings_.regionOf(self_.zone);
    relay_.setPeer({peer.id, peer.zone, settings_.regionOf(peer.zone), peer.coreShare});
    receiver.lastSeen = Clock::now();
}

void FleetLink::setListedPeers(const std::vector<PeerIdentity> &peers)
{
    listedPeers_.clear();
    for (const PeerIdentity &peer : peers) {
        if (peer.id == self_.id)
            continue;
        listedPeers_[peer.id] = peer;
        if (!receivers_.contains(peer.id)
            || receivers_[peer.id].reportAddress != peer.reportAddress)
            addPeer(peer);
    }
    const TimePoint now = Clock::now();
    std::erase_if(receivers_, [this, now](const auto &entry) {
        const bool isGone = !listedPeers_.contains(entry.first)
                && now - entry.second.lastSeen > receiverRetention;
        if (isGone)
            relay_.removePeer(entry.first);
        return isGone;
    });
    relay_.expire(now);
}

template <class Condition>
void FleetLink::sendWhere(Condition condition, const std::string &change)
{
    std::optional<ReportRound> round;
    for (auto &[id, receiver] : receivers_) {
        if (!condition(receiver))
            continue;
        if (!round)
            round = startRound(change);
        Error ignored; // the next report replaces a lost one
        socket_.send_to(net::buffer(nextDatagram(receiver.outbox, *round)), receiver.endpoint, 0,
                        ignored);
    }
}

void FleetLink::sendReport(Audience audience, const std::string &change)
{
    if (relay_.isNeeded())
        return sendThroughRelays(audience, change);
    const bool sameRegion = audience == Audience::SameRegion;
    sendWhere(
            [sameRegion](const Receiver &receiver) { return receiver.inSameRegion == sameRegion; },
            change);
}

void FleetLink::sendThroughRelays(Audience audience, const std::string &change)
{
    ReportRound round = startRound(change);
    RelayFrame frame;
    frame.incarnation = self_.incarnation;
    frame.sequence = round.report.sequence;
    frame.audience = audience;
    frame.report = nextDatagram(outboxFor(audience), round);
    sendBatches(relay_.submit(std::move(frame), Clock::now()));
    scheduleFlush(); // this instance may be a relay itself
}

void FleetLink::sendBatches(const std::vector<OutgoingBatches> &batches)
{
    for (const auto &[receivers, datagrams] : batches) {
        for (const std::string &id : receivers) {
            const auto receiver = receivers_.find(id);
            for (const std::string &datagram : datagrams) {
                Error ignored; // the next report replaces a lost one
                if (receiver != receivers_.end())
                    socket_.send_to(net::buffer(datagram), receiver->second.endpoint, 0, ignored);
            }
        }
    }
}

void FleetLink::scheduleFlush()
{
    if (!relay_.hasWaitingFrames() || std::exchange(flushScheduled_, true))
        return;
    flushTimer_.expires_after(ReportRelay::flushInterval);
    flushTimer_.async_wait([this](const Error &cancelled) {
        flushScheduled_ = false;
        if (!cancelled)
            sendBatches(relay_.flush(stallDetector_.datagramsMayBeStale(BootClock::now()),
                                     Clock::now()));
    });
}

void FleetLink::receive()
{
    socket_.async_receive_from(net::buffer(buffer_), senderEndpoint_,
                               [this](const Error &failure, std::size_t bytes) {
                                   if (failure == net::error::operation_aborted)
                                       return;
                                   if (!failure) // other failures are those of earlier sends
                                       onDatagram({buffer_.data(), bytes});
                                   receiveWaiting();
                                   receive();
                               });
}

// Processes the datagrams that have arrived already. One for each turn of the event loop would let
// a busy instance fall seconds behind, and old reports would look new.
void FleetLink::receiveWaiting()
{
    for (int i = 0; i < maxDatagramsPerTurn; ++i) {
        Error failure;
        const std::size_t bytes =
                socket_.receive_from(net::buffer(buffer_), senderEndpoint_, 0, failure);
        if (failure == net::error::would_block)
            return;
        if (!failure)
            onDatagram({buffer_.data(), bytes});
    }
}

void FleetLink::onDatagram(std::string_view datagram)
{
    if (isBatch(datagram))
        return onBatch(datagram);
    onReport(datagram, Milliseconds{0}, stallDetector_.datagramsMayBeStale(BootClock::now()));
}

void FleetLink::onBatch(std::string_view datagram)
{
    auto batch = decodeBatch(datagram);
    if (!isOk(batch)) {
        logEvent(
                Event::ReportIgnored,
                {{"from", senderEndpoint_.address().to_string()}, {"reason", error(batch).detail}});
        return;
    }
    const bool mayBeStale = stallDetector_.datagramsMayBeStale(BootClock::now());
    for (const RelayFrame &frame :
         relay_.onBatch(value(std::move(batch)), mayBeStale, Clock::now()))
        onReport(frame.report, frame.held + frame.relays * maxReportTransit, frame.agesUnknown);
    scheduleFlush();
}

void FleetLink::onReport(std::string_view bytes, Milliseconds transit, bool agesUnknown)
{
    auto report = decodeReport(bytes);
    if (!isOk(report)) {
        logEvent(Event::ReportIgnored,
                 {{"from", senderEndpoint_.address().to_string()},
                  {"reason", error(report).detail}});
        return;
    }
    LoadReport &loadReport = value(report);
    if (loadReport.sender.incarnation == self_.incarnation)
        return;
    if (loadReport.sender.id.empty()) {
        const auto identity = gateway_.fleet().identityOf(loadReport.sender.incarnation);
        if (!identity)
            return; // the full report was lost; the identity is sent again within identityPeriod
        loadReport.sender = *identity;
    }
    loadReport.targetsFeed.age += transit;
    loadReport.operatorFeed.age += transit;
    const TimePoint now = Clock::now();
    const auto knownPeer = gateway_.fleet().peers().find(loadReport.sender.id);
    const bool isNew = knownPeer == gateway_.fleet().peers().end()
            || knownPeer->second.report.sender.incarnation != loadReport.sender.incarnation;
    const bool stateChanged = isNew || knownPeer->second.report.state != loadReport.state;
    if (stateChanged)
        logEvent(Event::MemberChanged,
                 {{"instance", loadReport.sender.id},
                  {"state", enumName(peerStateNames, loadReport.state)},
                  {"new", isNew ? 1 : 0}});
    if (onFeedReport_
        && settings_.regionOf(loadReport.sender.zone) == settings_.regionOf(self_.zone)
        && !agesUnknown)
        onFeedReport_(loadReport);
    const PeerIdentity sender = loadReport.sender;
    const auto warmObjects = loadReport.warmObjects;
    const auto teamUses = loadReport.teamUses;
    gateway_.applyWarmObjects(warmObjects);
    gateway_.applyCrashCounts(loadReport.crashCounts);
    const auto quotaUsage = loadReport.quotaUsage;
    const int quotaHeard = loadReport.quotaHeard;
    gateway_.applyStatedSpeeds(loadReport.statedSpeeds);
    if (gateway_.fleet().merge(std::move(loadReport), now)) {
        gateway_.applyQuotaUsage(sender, quotaUsage, quotaHeard, transit);
        gateway_.applyTeamUses(sender.incarnation, teamUses);
        addPeer(sender);
        if (isNew) // it does not have this instance's identity yet
            receivers_[sender.id].outbox.identitySentAt = {};
        gateway_.scheduleThrottledPasses();
    }
}

void FleetLink::onLoadChange(const WarmObject *warmObject)
{
    const auto addTo = [warmObject](Outbox &outbox) {
        outbox.unsentWarmObjects.push_back(*warmObject);
        if (outbox.unsentWarmObjects.size() > maxUnsentWarmObjects)
            outbox.unsentWarmObjects.erase(outbox.unsentWarmObjects.begin());
    };
    if (warmObject != nullptr && relay_.isNeeded()) {
        for (Outbox &outbox : outboxes_)
            addTo(outbox);
    } else if (warmObject != nullptr) {
        for (auto &[id, receiver] : receivers_)
            addTo(receiver.outbox);
    }
    scheduleReport();
}

void FleetLink::scheduleReport()
{
    if (std::exchange(reportScheduled_, true))
        return;
    coalescingTimer_.expires_after(intervals().coalescing);
    coalescingTimer_.async_wait([this](const Error &cancelled) {
        reportScheduled_ = false;
        if (cancelled)
            return;
        sendReport(Audience::SameRegion);
    });
}

FleetLink::ReportRound FleetLink::startRound(const std::string &change)
{
    ReportRound round;
    round.report.sender = self_;
    round.report.state = state_;
    round.report.sequence = ++sequence_;
    gateway_.fillReport(round.report);
    if (fillFeedStatus_)
        fillFeedStatus_(round.report);
    round.report.feedChange = change;
    return round;
}

const std::string &FleetLink::datagramFor(ReportRound &round, IdentityPart part,
                                          const std::vector<WarmObject> &warmObjects,
                                          bool withQuotas)
{
    for (const ReportRound::Datagram &datagram : round.datagrams) {
        if (datagram.part == part && datagram.warmObjects == warmObjects
            && datagram.withQuotas == withQuotas)
            return datagram.bytes;
    }
    LoadReport &report = round.report;
    report.warmObjects = warmObjects;
    report.quotaUsage.clear();
    report.quotaHeard = 0;
    if (withQuotas)
        gateway_.fillQuotaReport(report);
    if (part == IdentityPart::Full)
        report.crashCounts = gateway_.crashCountsToReport();
    else
        report.crashCounts.clear();
    round.datagrams.push_back({part, withQuotas, warmObjects, encodeReport(report, part)});
    return round.datagrams.back().bytes;
}

const std::string &FleetLink::nextDatagram(Outbox &outbox, ReportRound &round)
{
    const TimePoint now = Clock::now();
    const bool withIdentity =
            now - outbox.identitySentAt >= identityPeriod || state_ != outbox.lastStateSent;
    const auto warmObjects = std::exchange(outbox.unsentWarmObjects, {});
    if (withIdentity)
        outbox.identitySentAt = now;
    const bool withQuotas = now - outbox.quotasSentAt >= quotaReportInterval;
    if (withQuotas)
        outbox.quotasSentAt = now;
    outbox.lastStateSent = state_;
    outbox.lastSent = now;
    return datagramFor(round, withIdentity ? IdentityPart::Full : IdentityPart::Incarnation,
                       warmObjects, withQuotas);
}

ReportIntervals FleetLink::intervals() const
{
    if (relay_.isNeeded())
        return relayedIntervals;
    const auto sameRegion = static_cast<std::size_t>(
            std::count_if(receivers_.begin(), receivers_.end(),
                          [](const auto &entry) { return entry.second.inSameRegion; }));
    return reportIntervals(sameRegion, receivers_.size() - sameRegion);
}

void FleetLink::sendFeedChange(const std::string &change)
{
    sendReport(Audience::SameRegion, change);
}

void FleetLink::reportContentRead()
{
    if (relay_.isNeeded())
        sendReport(Audience::SameRegion);
}

void FleetLink::reportCrashes()
{
    if (std::exchange(crashReportScheduled_, true))
        return;
    constexpr Milliseconds gatheringTime{50};
    crashTimer_.expires_after(gatheringTime);
    crashTimer_.async_wait([this](const Error &cancelled) {
        crashReportScheduled_ = false;
        if (cancelled)
            return;
        // Crash counts go with the full identity.
        for (auto &[id, receiver] : receivers_)
            receiver.outbox.identitySentAt = {};
        for (Outbox &outbox : outboxes_)
            outbox.identitySentAt = {};
        sendReport(Audience::SameRegion);
        sendReport(Audience::OtherRegions);
    });
}

void FleetLink::setState(PeerState state)
{
    state_ = state;
    sendReport(Audience::SameRegion);
    sendReport(Audience::OtherRegions);
}

void FleetLink::sendDueReports()
{
    const TimePoint now = Clock::now();
    const ReportIntervals current = intervals();
    const auto isDue = [now, &current](const Outbox &outbox, bool inSameRegion) {
        return now - outbox.lastSent >= (inSameRegion ? current.sameRegion : current.otherRegions);
    };
    if (relay_.isNeeded()) {
        for (const Audience audience : {Audience::SameRegion, Audience::OtherRegions}) {
            if (isDue(outboxFor(audience), audience == Audience::SameRegion))
                sendThroughRelays(audience, {});
        }
        return;
    }
    sendWhere([&isDue](const Receiver &receiver) {
        return isDue(receiver.outbox, receiver.inSameRegion);
    });
}

void FleetLink::tick()
{
    stallDetector_.onTick(BootClock::now());
    sendDueReports();
    constexpr int ticksPerPeriod = 2;
    tickTimer_.expires_after(minReportInterval / ticksPerPeriod);
    tickTimer_.async_wait([this](const Error &cancelled) {
        if (!cancelled)
            tick();
    });
}

} // namespace chestnutvane
