// Load reports that instances exchange, and the view that an instance has of its peers.
//
// A report holds absolute figures, so a lost or duplicate one does no harm: the next replaces it.
// Warm objects and feed changes are the exceptions, as they are sent only once. A lost warm object
// costs a slower run at worst, a lost change a read of the store.
//
// Example:
//
//   FleetView view;
//   if (auto report = decodeReport(datagram); isOk(report))
//       view.merge(value(report), now);
//   double load = view.inFlightAt(target.hash, now);
//
// Not thread-safe: FleetView belongs to the gateway's single thread.
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
#include "chestnutvane/process/gateway/admission/team_usage.h"
#include "chestnutvane/process/gateway/admission/team_use.h"
#include "chestnutvane/process/gateway/fleet/feed_sharing.h"

namespace chestnutvane {

enum class PeerState {
    Starting, // has no routes or no targets yet
    Serving,
    Stopping, // completes pending requests
};

inline constexpr EnumName<PeerState> peerStateNames[] = {
        {PeerState::Starting, "starting"},
        {PeerState::Serving, "serving"},
        {PeerState::Stopping, "stopping"},
};

// Identity and addresses of an instance.
struct PeerIdentity
{
    std::string id;
    std::uint64_t incarnation = 0; // chosen at random at each start
    std::string zone;
    std::string callerAddress; // "IP:port" where callers connect
    std::string reportAddress; // "IP:port" for datagrams from other instances
    std::string metricsAddress; // "IP:port"; also serves the feed content to peers
    double coreShare = 1; // processor cores that the instance may use

    friend bool operator==(const PeerIdentity &, const PeerIdentity &) = default;
};

// An object that a target served, and therefore holds. Both hashes have 32 bits: among a few
// hundred targets or objects, two share a hash in fewer than one of 10,000 fleets, and then only an
// estimate is wrong.
struct WarmObject
{
    std::uint64_t target = 0; // hash of its id
    std::uint64_t object = 0;

    friend bool operator==(const WarmObject &, const WarmObject &) = default;
};

// The speed that a target stated to an instance. Targets that work at their usual speed are left
// out of reports.
struct StatedSpeed
{
    std::uint64_t target = 0; // hash of its id
    int percent = 0; // run time in percent of the usual
    Milliseconds age{0}; // since the target stated it

    friend bool operator==(const StatedSpeed &, const StatedSpeed &) = default;
};

struct LoadReport
{
    PeerIdentity sender;
    PeerState state = PeerState::Starting;
    std::uint64_t sequence = 0; // increases with each report of an incarnation
    std::uint64_t revision = 0; // of the configuration in force at the sender
    FeedStatus targetsFeed; // the sender's content of the registered targets
    FeedStatus operatorFeed; // the sender's content of the operator's keys
    std::map<std::uint64_t, int> inFlight; // attempts by target hash; counts of 0 are omitted
    std::map<std::uint64_t, int> queued; // waiting requests by service hash
    std::vector<WarmObject> warmObjects; // since the last report to the receiver
    std::string feedChange; // encoded (feed_change.h); sent once, otherwise empty
    std::vector<CrashCount> crashCounts; // target crashes charged to requests
    std::vector<TeamUsage> quotaUsage; // of teams with a quota that asked lately
    int quotaHeard = 0; // instances that the sender hears, itself included; 0: it has no quotas
    std::vector<TeamUse> teamUses; // of teams above their share; empty unless slots are short
    std::vector<StatedSpeed> statedSpeeds; // at most maxReportedSpeeds

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

// Limit of the stated speeds in a report, so that it fits into a datagram.
inline constexpr std::size_t maxReportedSpeeds = 16;

struct ReportError
{
    std::string detail;
};

// Which part of the sender's identity a datagram holds. Reports are the largest part of the traffic
// between instances, and the full identity would be half of each report.
enum class IdentityPart {
    Full,
    Incarnation, // for receivers that already have the rest
};

// Encodes a report for one datagram (CBOR).
std::string encodeReport(const LoadReport &report, IdentityPart part = IdentityPart::Full);

// Decodes a datagram. The sender has only an incarnation if the report was encoded with
// IdentityPart::Incarnation. Errors: anything that encodeReport() does not write.
Result<LoadReport, ReportError> decodeReport(std::string_view datagram);

// The latest report of each peer.
class FleetView
{
public:
    struct Peer
    {
        LoadReport report;
        TimePoint receivedAt;
        bool includedInSums = false; // its attempts are included in sums_
    };

    // Stores a report unless one of the same incarnation with the same or a higher sequence number
    // is stored. Returns whether it was stored.
    bool merge(LoadReport report, TimePoint now);

    // The identity of the sender with this incarnation, if a full report of it was received.
    [[nodiscard]] std::optional<PeerIdentity> identityOf(std::uint64_t incarnation) const;

    // Attempts of peers in flight at a target, from reports that are not older than reportTtl.
    // Takes constant time except for the first call after a report has expired, as each placement
    // calls it for each target.
    [[nodiscard]] double inFlightAt(std::uint64_t target, TimePoint now);

    // Requests for a service that wait at peers in the region given.
    [[nodiscard]] double queuedFor(std::uint64_t service, const std::string &region,
                                   const std::map<std::string, std::string> &zoneRegions,
                                   TimePoint now) const;

    // Age of the oldest report that inFlightAt() includes, zero if there is none.
    [[nodiscard]] Duration oldestReportAge(TimePoint now) const;

    [[nodiscard]] bool isAlive(const std::string &id, TimePoint now) const;
    [[nodiscard]] const std::map<std::string, Peer> &peers() const { return peers_; }

    // Removes peers that sent no report for 30 s.
    void expire(TimePoint now);

    // How long the figures of a report are used. Requests are shorter, and reports arrive more
    // often.
    static constexpr Milliseconds reportTtl{1500};
    // An instance that sent no report for longer is considered dead. Reports are sent every 200 ms
    // in small fleets, and at least every 900 ms in large ones.
    static constexpr Milliseconds livenessTimeout{2000};

private:
    void addToSums(Peer &peer);
    void subtractFromSums(Peer &peer);
    // Subtracts the reports that have expired from sums_, and updates nextExpiry_.
    void subtractExpired(TimePoint now);

    std::map<std::string, Peer> peers_;
    std::unordered_map<std::uint64_t, std::string> idsByIncarnation_; // of peers_
    std::unordered_map<std::uint64_t, int> sums_; // attempts in flight by target hash
    TimePoint nextExpiry_ = TimePoint::max(); // no report included in sums_ expires before this
};

} // namespace chestnutvane
