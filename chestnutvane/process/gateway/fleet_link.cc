#include "chestnutvane/process/gateway/fleet_link.h"

#include <algorithm>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

using Udp = net::ip::udp;
using Error = boost::system::error_code;

// Notes above this number would not fit into one datagram of an Ethernet frame; the oldest go
// first.
constexpr std::size_t maxWarmNotes = 50;
// The names of the sender go with one report in this time, so that an instance that lost one knows
// the sender before it would be taken for dead.
constexpr Milliseconds namesPeriod{900};
// An instance that is neither listed nor heard for this long gets no more reports.
constexpr std::chrono::seconds forgottenAfter{30};

std::optional<Udp::endpoint> toUdp(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        return std::nullopt;
    return Udp::endpoint(endpoint->address(), endpoint->port());
}

} // namespace

ReportPace reportPace(std::size_t inRegion, std::size_t elsewhere)
{
    const auto spread = [](std::size_t receivers, int perSecond) {
        return Milliseconds(static_cast<Milliseconds::rep>(receivers) * 1000 / perSecond);
    };
    ReportPace pace;
    pace.gather =
            std::clamp(spread(inRegion, reportsPerSecondInRegion), shortestGather, shortestPeriod);
    pace.inRegion =
            std::clamp(spread(inRegion, reportsPerSecondInRegion), shortestPeriod, longestPeriod);
    pace.elsewhere =
            std::clamp(spread(elsewhere, reportsPerSecondElsewhere), shortestPeriod, longestPeriod);
    return pace;
}

FleetLink::FleetLink(net::io_context &io, PeerIdentity self, const GatewaySettings &settings,
                     Gateway &gateway)
    : self_(std::move(self)), settings_(settings), gateway_(gateway), socket_(io), tickTimer_(io),
      soonTimer_(io)
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
        return ListenError{address, "not IP:port"};
    Error failure;
    link->socket_.open(endpoint->protocol(), failure);
    if (!failure)
        link->socket_.bind(*endpoint, failure);
    if (failure)
        return ListenError{address, failure.message()};
    link->socket_.non_blocking(true, failure);
    gateway.setOnChange([raw = link.get()](const WarmNote *note) { raw->onChange(note); });
    link->receive();
    link->tick();
    return link;
}

void FleetLink::addPeer(const PeerIdentity &peer)
{
    if (peer.id == self_.id)
        return;
    const auto endpoint = toUdp(peer.reportAddress);
    if (!endpoint)
        return;
    Receiver &receiver = receivers_[peer.id];
    receiver.endpoint = *endpoint;
    receiver.ownRegion = settings_.regionOf(peer.zone) == settings_.regionOf(self_.zone);
    receiver.heard = Clock::now();
}

void FleetLink::keepOnly(const std::vector<PeerIdentity> &listed)
{
    listed_.clear();
    for (const PeerIdentity &peer : listed) {
        if (peer.id == self_.id)
            continue;
        listed_[peer.id] = peer;
        if (!receivers_.contains(peer.id)
            || receivers_[peer.id].endpoint != toUdp(peer.reportAddress))
            addPeer(peer);
    }
    const TimePoint now = Clock::now();
    std::erase_if(receivers_, [this, now](const auto &entry) {
        return !listed_.contains(entry.first) && now - entry.second.heard > forgottenAfter;
    });
}

void FleetLink::receive()
{
    socket_.async_receive_from(net::buffer(buffer_), from_,
                               [this](const Error &failure, std::size_t bytes) {
                                   if (failure == net::error::operation_aborted)
                                       return;
                                   if (!failure) // other failures belong to earlier sends
                                       onDatagram(bytes);
                                   receive();
                               });
}

void FleetLink::onDatagram(std::size_t bytes)
{
    auto report = decodeReport({buffer_.data(), bytes});
    if (!isOk(report)) {
        logEvent(Event::ReportIgnored,
                 {{"from", from_.address().to_string()}, {"reason", error(report).detail}});
        return;
    }
    LoadReport &load = value(report);
    if (load.sender.incarnation == self_.incarnation)
        return;
    if (load.sender.id.empty()) {
        const auto identity = gateway_.fleet().identityOf(load.sender.incarnation);
        if (!identity)
            return; // the report with its names was lost; they are sent again within a second
        load.sender = *identity;
    }
    const TimePoint now = Clock::now();
    const auto known = gateway_.fleet().peers().find(load.sender.id);
    const bool isNew = known == gateway_.fleet().peers().end()
            || known->second.report.sender.incarnation != load.sender.incarnation;
    const bool stateChanged = isNew || known->second.report.state != load.state;
    if (stateChanged)
        logEvent(Event::MemberChanged,
                 {{"instance", load.sender.id},
                  {"state", enumName(peerStateNames, load.state)},
                  {"new", isNew ? 1 : 0}});
    if (takeFeed_ && settings_.regionOf(load.sender.zone) == settings_.regionOf(self_.zone)
        && !stall_.mayBeOld(BootClock::now()))
        takeFeed_(load);
    const PeerIdentity sender = load.sender;
    const auto warm = load.warm;
    gateway_.applyWarmNotes(warm);
    gateway_.applyCrashCounts(load.crashes);
    if (gateway_.fleet().merge(std::move(load), now)) {
        addPeer(sender);
        if (isNew)
            receivers_[sender.id].namesSent = {}; // it does not know this instance's names
        gateway_.scheduleThrottledPasses();
    }
}

void FleetLink::onChange(const WarmNote *note)
{
    if (note != nullptr) {
        for (auto &[id, receiver] : receivers_) {
            receiver.warm.push_back(*note);
            if (receiver.warm.size() > maxWarmNotes)
                receiver.warm.erase(receiver.warm.begin());
        }
    }
    arrangeSoon();
}

void FleetLink::arrangeSoon()
{
    if (std::exchange(soonArranged_, true))
        return;
    soonTimer_.expires_after(pace().gather);
    soonTimer_.async_wait([this](const Error &ended) {
        soonArranged_ = false;
        if (ended)
            return;
        for (auto &[id, receiver] : receivers_) {
            if (receiver.ownRegion)
                sendTo(receiver);
        }
    });
}

void FleetLink::sendTo(Receiver &receiver, const std::string &change)
{
    LoadReport report;
    report.sender = self_;
    report.state = state_;
    report.sequence = ++sequence_;
    gateway_.fillReport(report);
    if (fillFeed_)
        fillFeed_(report);
    report.warm = std::exchange(receiver.warm, {});
    report.change = change;
    const TimePoint now = Clock::now();
    const bool withNames = now - receiver.namesSent >= namesPeriod || state_ != receiver.stateSent;
    if (withNames)
        report.crashes = gateway_.crashCountsToReport();
    const std::string datagram =
            encodeReport(report, withNames ? IdentityPart::Full : IdentityPart::Incarnation);
    if (withNames)
        receiver.namesSent = now;
    receiver.stateSent = state_;
    Error ignored; // a report that is lost is replaced by the next
    socket_.send_to(net::buffer(datagram), receiver.endpoint, 0, ignored);
    receiver.sent = now;
}

ReportPace FleetLink::pace() const
{
    const auto inRegion = static_cast<std::size_t>(
            std::count_if(receivers_.begin(), receivers_.end(),
                          [](const auto &entry) { return entry.second.ownRegion; }));
    return reportPace(inRegion, receivers_.size() - inRegion);
}

void FleetLink::sendNews(const std::string &change)
{
    for (auto &[id, receiver] : receivers_) {
        if (receiver.ownRegion)
            sendTo(receiver, change);
    }
}

void FleetLink::setState(PeerState state)
{
    state_ = state;
    for (auto &[id, receiver] : receivers_)
        sendTo(receiver);
}

void FleetLink::tick()
{
    stall_.onTick(BootClock::now());
    const TimePoint now = Clock::now();
    const ReportPace current = pace();
    for (auto &[id, receiver] : receivers_) {
        if (now - receiver.sent >= (receiver.ownRegion ? current.inRegion : current.elsewhere))
            sendTo(receiver);
    }
    constexpr int ticksPerPeriod = 2;
    tickTimer_.expires_after(shortestPeriod / ticksPerPeriod);
    tickTimer_.async_wait([this](const Error &ended) {
        if (!ended)
            tick();
    });
}

} // namespace chestnutvane
