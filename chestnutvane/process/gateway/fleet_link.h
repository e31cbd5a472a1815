// Sends and receives load reports as datagrams.
//
// Instances of the own region get a report soon after each change, the others at a fixed period: a
// change in the own region decides the next placement, and traffic between regions is dear.
//
// Example:
//
//   auto link = FleetLink::create(io, identity, regionOf, gateway);
//   value(link)->addPeer(identityFromStore);
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/base/result.h"
#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/gateway/load_report.h"

namespace chestnutvane {

// How often reports are sent.
struct ReportIntervals
{
    Milliseconds coalescing{0}; // changes within this time go out in one report to the own region
    Milliseconds sameRegion{0}; // the longest time between two reports to an instance of the region
    Milliseconds otherRegions{0}; // and to one of another region
};

// Reports that one instance sends in a second, at most about. At 600 bytes, several times the usual
// length, they take an eighth of a link of 10 Mbit/s, the narrowest of the platform; without a
// bound, 27 instances in a region sent 13 Mbit/s each.
inline constexpr int reportsPerSecondSameRegion = 250;
inline constexpr int reportsPerSecondOtherRegions = 100;
// A change is news for requests that come after it, so it need not go out faster than this.
inline constexpr Milliseconds minCoalescing{4};
inline constexpr Milliseconds minReportInterval{200};
// Below half of FleetView::livenessTimeout, so that one lost report declares no instance dead.
inline constexpr Milliseconds maxReportInterval{900};

// The pace for a number of other instances in the own region and elsewhere.
ReportIntervals reportIntervals(std::size_t sameRegion, std::size_t otherRegions);

class FleetLink
{
public:
    static Result<std::unique_ptr<FleetLink>, ListenError> create(net::io_context &io,
                                                                  PeerIdentity self,
                                                                  const GatewaySettings &settings,
                                                                  Gateway &gateway);

    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

    // Makes an instance known that the store lists.
    void addPeer(const PeerIdentity &peer);

    // Keeps only the instances listed and those that were heard lately.
    void setListedPeers(const std::vector<PeerIdentity> &peers);

    // The instances that the store listed last.
    [[nodiscard]] const std::map<std::string, PeerIdentity> &listedPeers() const
    {
        return listedPeers_;
    }

    // Sets the functions that give and take what instances know of the store.
    void setFeedCallbacks(std::function<void(LoadReport &)> fillStatus,
                          std::function<void(const LoadReport &)> onReport)
    {
        fillFeedStatus_ = std::move(fillStatus);
        onFeedReport_ = std::move(onReport);
    }

    // Sends a report to the own region, because what this instance knows of the store has changed,
    // with the encoded change.
    void sendFeedChange(const std::string &change);

    // Tells all other instances of a new state at once.
    void setState(PeerState state);
    [[nodiscard]] PeerState state() const { return state_; }

private:
    struct Receiver
    {
        net::ip::udp::endpoint endpoint;
        bool ownRegion = false;
        std::vector<WarmObject> unsentWarm; // not sent yet
        TimePoint lastSent;
        TimePoint identitySentAt; // when the sender's names went with a report
        PeerState lastStateSent = PeerState::Starting;
        TimePoint lastSeen;
    };

    FleetLink(net::io_context &io, PeerIdentity self, const GatewaySettings &settings,
              Gateway &gateway);

    void receive();
    void onDatagram(std::size_t bytes);
    void onLoadChange(const WarmObject *warmObject);
    void sendTo(Receiver &receiver, const std::string &change = {});
    void tick();
    void scheduleReport();
    [[nodiscard]] ReportIntervals intervals() const;

    PeerIdentity self_;
    const GatewaySettings &settings_;
    Gateway &gateway_;
    net::ip::udp::socket socket_;
    net::steady_timer tickTimer_;
    net::steady_timer coalescingTimer_;
    bool reportScheduled_ = false;
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
