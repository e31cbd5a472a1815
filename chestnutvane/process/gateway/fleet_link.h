// Sends and receives load reports as datagrams.
//
// Peers in the same region receive a report soon after each change, peers in other regions at a
// fixed interval: changes in the same region affect the next placement, and traffic between regions
// is expensive. In large regions the reports go through relays (report_relay.h).
//
// Example:
//
//   auto link = FleetLink::create(io, identity, settings, gateway);
//   value(link)->addPeer(identityFromStore);
//
// Not thread-safe: everything runs on the single thread of the io_context.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/base/result.h"
#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/process/gateway/fleet/load_report.h"
#include "chestnutvane/process/gateway/fleet/report_relay.h"
#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

// Intervals between reports.
struct ReportIntervals
{
    Milliseconds coalescing{0}; // changes within this time are sent to the region in one report
    Milliseconds sameRegion{0}; // longest time between two reports to a peer in the region
    Milliseconds otherRegions{0}; // longest time between two reports to a peer elsewhere
};

// Approximate upper bounds of the reports that one instance sends per second. At 600 bytes, several
// times the usual size, they take an eighth of a link of 10 Mbit/s, the slowest of the platform.
// Without a bound, 27 instances in a region sent 13 Mbit/s each.
inline constexpr int reportsPerSecondSameRegion = 250;
inline constexpr int reportsPerSecondOtherRegions = 100;
// Bounds of the intervals. A change only affects requests that arrive after it, so it need not be
// sent sooner than minCoalescing.
inline constexpr Milliseconds minCoalescing{4};
inline constexpr Milliseconds minReportInterval{200};
// Less than half of FleetView::livenessTimeout, so that an instance is not considered dead after
// one lost report.
inline constexpr Milliseconds maxReportInterval{900};

// Returns the intervals for the numbers of peers in the same region and in other regions.
ReportIntervals reportIntervals(std::size_t sameRegion, std::size_t otherRegions);

// Least time between two reports to a receiver that hold the usage of quotas, which is as long as
// the rest of a report. With the interval of reports it stays below livenessTimeout / 2.
inline constexpr Milliseconds quotaReportInterval{500};

// The intervals of reports that go through relays. Each reaches the whole region, so the number of
// reports is what an instance of the region has to decode.
inline constexpr ReportIntervals relayedIntervals{Milliseconds{150}, Milliseconds{300},
                                                  maxReportInterval};

class FleetLink
{
public:
    static Result<std::unique_ptr<FleetLink>, ListenError> create(net::io_context &io,
                                                                  PeerIdentity self,
                                                                  const GatewaySettings &settings,
                                                                  Gateway &gateway);

    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

    // Adds a peer to the receivers of reports, or updates its address.
    void addPeer(const PeerIdentity &peer);

    // Sets the instances that the store lists. Removes peers that are not listed and that have not
    // been heard from for 30 s.
    void setListedPeers(const std::vector<PeerIdentity> &peers);

    // The other instances in the last list from the store, by instance id.
    [[nodiscard]] const std::map<std::string, PeerIdentity> &listedPeers() const
    {
        return listedPeers_;
    }

    // Sets the function that fills the feed status into outgoing reports, and the one that
    // processes incoming reports of the same region.
    void setFeedCallbacks(std::function<void(LoadReport &)> fillStatus,
                          std::function<void(const LoadReport &)> onReport)
    {
        fillFeedStatus_ = std::move(fillStatus);
        onFeedReport_ = std::move(onReport);
    }

    // Sends a report with the encoded feed change to the peers in the same region.
    void sendFeedChange(const std::string &change);

    // Reports a read of the store to the region at once if reports go through relays, whose batches
    // already take a part of the time within which the others must hear of it.
    void reportContentRead();

    // Reports the crash counts of requests to all peers after a short time, in which further ones
    // are gathered.
    void reportCrashes();

    // Sets the state of this instance and reports it to all peers at once.
    void setState(PeerState state);
    [[nodiscard]] PeerState state() const { return state_; }

private:
    // What was sent to a receiver, or through relays to an audience.
    struct Outbox
    {
        std::vector<WarmObject> unsentWarmObjects; // since the last report
        TimePoint lastSent;
        TimePoint quotasSentAt; // when a report last held the usage of quotas
        TimePoint identitySentAt; // when a report last held the sender's full identity
        PeerState lastStateSent = PeerState::Starting;
    };

    struct Receiver
    {
        std::string reportAddress; // "IP:port", as in the peer's identity
        net::ip::udp::endpoint endpoint;
        bool inSameRegion = false;
        Outbox outbox;
        TimePoint lastSeen; // when a report arrived or the peer was added from the list
    };

    // Reports that are sent at the same time. Most receivers get the same one, which is encoded
    // once: encoding one for each of 80 receivers took a fifth of an instance's processor time.
    struct ReportRound
    {
        struct Datagram
        {
            IdentityPart part = IdentityPart::Full;
            bool withQuotas = false;
            std::vector<WarmObject> warmObjects;
            std::string bytes;
        };
        LoadReport report;
        std::vector<Datagram> datagrams;
    };

    FleetLink(net::io_context &io, PeerIdentity self, const GatewaySettings &settings,
              Gateway &gateway);

    void receive();
    void receiveWaiting();
    void onDatagram(std::string_view datagram);
    void onBatch(std::string_view datagram);
    // Processes an encoded report. `transit` is the time that it spent at relays; its ages are not
    // known at all if `agesUnknown`.
    void onReport(std::string_view bytes, Milliseconds transit, bool agesUnknown);
    // Schedules a report, with the warm object of a new attempt unless that is null.
    void onLoadChange(const WarmObject *warmObject);
    // Whether a peer is not known to be dead or stopping.
    [[nodiscard]] bool mayRelay(const std::string &id) const;
    // Sends a report to an audience, or to the receivers that did not get one for an interval.
    void sendReport(Audience audience, const std::string &change = {});
    void sendDueReports();
    // Sends a report to all receivers that meet the condition, without relays.
    template <class Condition>
    void sendWhere(Condition condition, const std::string &change = {});
    void sendThroughRelays(Audience audience, const std::string &change);
    void sendBatches(const std::vector<OutgoingBatches> &batches);
    // Passes on the reports of others after the interval of the relay.
    void scheduleFlush();
    [[nodiscard]] ReportRound startRound(const std::string &change);
    // Returns the encoded report, from the round if an equal one was sent in it.
    const std::string &datagramFor(ReportRound &round, IdentityPart part,
                                   const std::vector<WarmObject> &warmObjects, bool withQuotas);
    // Returns the encoded report for a receiver or an audience and records that it was sent.
    const std::string &nextDatagram(Outbox &outbox, ReportRound &round);
    [[nodiscard]] Outbox &outboxFor(Audience audience)
    {
        return outboxes_.at(static_cast<std::size_t>(audience));
    }
    // Sends the reports that are due by the intervals.
    void tick();
    // Schedules a report to the peers in the same region after the coalescing interval.
    void scheduleReport();
    // The intervals for the current receivers.
    [[nodiscard]] ReportIntervals intervals() const;

    PeerIdentity self_;
    const GatewaySettings &settings_;
    Gateway &gateway_;
    net::ip::udp::socket socket_;
    net::steady_timer tickTimer_;
    net::steady_timer coalescingTimer_;
    bool reportScheduled_ = false;
    net::steady_timer crashTimer_;
    bool crashReportScheduled_ = false;
    net::steady_timer flushTimer_;
    bool flushScheduled_ = false;
    ReportRelay relay_;
    std::array<Outbox, 2> outboxes_; // for the audiences of relayed reports
    StallDetector stallDetector_;
    std::map<std::string, Receiver> receivers_; // by instance id
    std::map<std::string, PeerIdentity> listedPeers_;
    std::function<void(LoadReport &)> fillFeedStatus_;
    std::function<void(const LoadReport &)> onFeedReport_;
    PeerState state_ = PeerState::Starting;
    std::uint64_t sequence_ = 0;
    std::array<char, 65536> buffer_{};
    net::ip::udp::endpoint senderEndpoint_;
};

} // namespace chestnutvane
