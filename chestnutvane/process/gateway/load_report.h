// What instances tell each other of their load, and the view that each keeps of the others.
//
// A report is absolute, so a lost or repeated one does no harm: the next replaces it. Warm objects
// and changes of what was read are the exceptions: they are sent once. A lost object costs a slower
// run at worst, a lost change a read of the store.
//
// Example:
//
//   FleetView view;
//   if (auto report = decodeReport(datagram); isOk(report))
//       view.merge(value(report), now);
//   double load = view.inFlightAt(target.hash, now);
//
// Not thread-safe: the gateway's one thread owns the view.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/crash_suspects.h"
#include "chestnutvane/process/gateway/feed_sharing.h"

namespace chestnutvane {

enum class PeerState {
    Starting, // does not know enough to serve
    Serving,
    Stopping, // serves what it has
};

inline constexpr EnumName<PeerState> peerStateNames[] = {
        {PeerState::Starting, "starting"},
        {PeerState::Serving, "serving"},
        {PeerState::Stopping, "stopping"},
};

// Where an instance is and what it is.
struct PeerIdentity
{
    std::string id;
    std::uint64_t incarnation = 0; // random for each start
    std::string zone;
    std::string callerAddress; // "IP:port" where callers connect
    std::string reportAddress; // "IP:port" for datagrams from other instances
    std::string metricsAddress; // "IP:port"; also tells other instances what this one has read

    friend bool operator==(const PeerIdentity &, const PeerIdentity &) = default;
};

// An object that a target served. Both hashes have 32 bits: two of a few hundred targets or objects
// share one in less than a fleet of 10,000, and then only an estimate is off.
struct WarmObject
{
    std::uint64_t target = 0; // hash of its id
    std::uint64_t object = 0;

    friend bool operator==(const WarmObject &, const WarmObject &) = default;
};

struct LoadReport
{
    PeerIdentity sender;
    PeerState state = PeerState::Starting;
    std::uint64_t sequence = 0; // goes up with each report of an incarnation
    std::uint64_t revision = 0; // of the configuration in force
    FeedStatus targetsFeed; // what the sender knows of the registered targets
    FeedStatus operatorFeed; // and of the operator's keys
    std::map<std::uint64_t, int> inFlight; // attempts by target hash, without those at 0
    std::map<std::uint64_t, int> queued; // waiting requests by hash of the service
    std::vector<WarmObject> warm; // since the last report to the receiver
    std::string change; // that led to the content of a status, encoded (feed_change.h); once
    std::vector<CrashCount> crashes; // news of requests that crash targets

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

struct ReportError
{
    std::string detail;
};

// Which part of the sender's identity a datagram holds. Reports are the largest part of the traffic
// between instances, and the names would be half of each.
enum class IdentityPart {
    Full,
    Incarnation, // for receivers that were told the rest
};

// Encodes a report for one datagram (CBOR).
std::string encodeReport(const LoadReport &report, IdentityPart part = IdentityPart::Full);

// Decodes a datagram; the sender has only an incarnation if no more was sent. Errors: anything that
// encodeReport() does not write.
Result<LoadReport, ReportError> decodeReport(std::string_view datagram);

// The latest report of each other instance.
class FleetView
{
public:
    struct Peer
    {
        LoadReport report;
        TimePoint receivedAt;
        bool includedInSums = false; // its attempts are part of the sums
    };

    // Takes a report unless a later one of the same incarnation is there. Returns whether it did.
    bool merge(LoadReport report, TimePoint now);

    // Who sends under an incarnation, if a report told.
    [[nodiscard]] std::optional<PeerIdentity> identityOf(std::uint64_t incarnation) const;

    // Requests of other instances at a target, by reports that are not older than reportTtl.
    // Takes constant time but for the first call after a report has lapsed, as it is asked for each
    // target of each placement.
    [[nodiscard]] double inFlightAt(std::uint64_t target, TimePoint now);

    // Waiting requests of other instances in one region for a service.
    [[nodiscard]] double queuedFor(std::uint64_t service, const std::string &region,
                                   const std::map<std::string, std::string> &zoneRegions,
                                   TimePoint now) const;

    // Age of the oldest report that counts for inFlightAt(), zero without any.
    [[nodiscard]] Duration oldestReportAge(TimePoint now) const;

    [[nodiscard]] bool isAlive(const std::string &id, TimePoint now) const;
    [[nodiscard]] const std::map<std::string, Peer> &peers() const { return peers_; }

    // Forgets instances that were not heard for a time.
    void expire(TimePoint now);

    // How long the figures of a report count: requests are shorter, and reports come more often.
    static constexpr Milliseconds reportTtl{1500};
    // An instance that was silent for longer is taken for dead. Reports come each 200 ms.
    static constexpr Milliseconds livenessTimeout{2000};

private:
    void addToSums(Peer &peer);
    void subtractFromSums(Peer &peer);
    void subtractExpired(TimePoint now);

    std::map<std::string, Peer> peers_;
    std::unordered_map<std::uint64_t, int> sums_; // attempts by target
    TimePoint nextExpiry_ = TimePoint::max(); // no counted report lapses before
};

} // namespace chestnutvane
