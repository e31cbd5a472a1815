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
      coalescingTimer_(io)
{ }

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
        return !listedPeers_.contains(entry.first)
                && now - entry.second.lastSeen > receiverRetention;
    });
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
        sendTo(receiver, *round);
    }
}

void FleetLink::receive()
{
    socket_.async_receive_from(net::buffer(buffer_), senderEndpoint_,
                               [this](const Error &failure, std::size_t bytes) {
                                   if (failure == net::error::operation_aborted)
                                       return;
                                   if (!failure) // other failures are those of earlier sends
                                       onDatagram(bytes);
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
            onDatagram(bytes);
    }
}

void FleetLink::onDatagram(std::size_t bytes)
{
    auto report = decodeReport({buffer_.data(), bytes});
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
        && !stallDetector_.datagramsMayBeStale(BootClock::now()))
        onFeedReport_(loadReport);
    const PeerIdentity sender = loadReport.sender;
    const auto warmObjects = loadReport.warmObjects;
    gateway_.applyWarmObjects(warmObjects);
    gateway_.applyCrashCounts(loadReport.crashCounts);
    if (gateway_.fleet().merge(std::move(loadReport), now)) {
        addPeer(sender);
        if (isNew) // it does not have this instance's identity yet
            receivers_[sender.id].identitySentAt = {};
        gateway_.scheduleThrottledPasses();
    }
}

void FleetLink::onLoadChange(const WarmObject *warmObject)
{
    if (warmObject != nullptr) {
        for (auto &[id, receiver] : receivers_) {
            receiver.unsentWarmObjects.push_back(*warmObject);
            if (receiver.unsentWarmObjects.size() > maxUnsentWarmObjects)
                receiver.unsentWarmObjects.erase(receiver.unsentWarmObjects.begin());
        }
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
        sendWhere([](const Receiver &receiver) { return receiver.inSameRegion; });
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
                                          const std::vector<WarmObject> &warmObjects)
{
    for (const ReportRound::Datagram &datagram : round.datagrams) {
        if (datagram.part == part && datagram.warmObjects == warmObjects)
            return datagram.bytes;
    }
    LoadReport &report = round.report;
    report.warmObjects = warmObjects;
    if (part == IdentityPart::Full)
        report.crashCounts = gateway_.crashCountsToReport();
    else
        report.crashCounts.clear();
    round.datagrams.push_back({part, warmObjects, encodeReport(report, part)});
    return round.datagrams.back().bytes;
}

void FleetLink::sendTo(Receiver &receiver, ReportRound &round)
{
    const TimePoint now = Clock::now();
    const bool withIdentity =
            now - receiver.identitySentAt >= identityPeriod || state_ != receiver.lastStateSent;
    const auto warmObjects = std::exchange(receiver.unsentWarmObjects, {});
    const std::string &datagram = datagramFor(
            round, withIdentity ? IdentityPart::Full : IdentityPart::Incarnation, warmObjects);
    if (withIdentity)
        receiver.identitySentAt = now;
    receiver.lastStateSent = state_;
    Error ignored; // the next report replaces a lost one
    socket_.send_to(net::buffer(datagram), receiver.endpoint, 0, ignored);
    receiver.lastSent = now;
}

ReportIntervals FleetLink::intervals() const
{
    const auto sameRegion = static_cast<std::size_t>(
            std::count_if(receivers_.begin(), receivers_.end(),
                          [](const auto &entry) { return entry.second.inSameRegion; }));
    return reportIntervals(sameRegion, receivers_.size() - sameRegion);
}

void FleetLink::sendFeedChange(const std::string &change)
{
    sendWhere([](const Receiver &receiver) { return receiver.inSameRegion; }, change);
}

void FleetLink::setState(PeerState state)
{
    state_ = state;
    sendWhere([](const Receiver &) { return true; });
}

void FleetLink::tick()
{
    stallDetector_.onTick(BootClock::now());
    const TimePoint now = Clock::now();
    const ReportIntervals current = intervals();
    sendWhere([now, &current](const Receiver &receiver) {
        return now - receiver.lastSent
                >= (receiver.inSameRegion ? current.sameRegion : current.otherRegions);
    });
    constexpr int ticksPerPeriod = 2;
    tickTimer_.expires_after(minReportInterval / ticksPerPeriod);
    tickTimer_.async_wait([this](const Error &cancelled) {
        if (!cancelled)
            tick();
    });
}

} // namespace chestnutvane
