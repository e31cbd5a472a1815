// Spreads load reports in a large fleet through a few instances of each availability zone.
//
// If each instance sends its reports to every other one, the datagrams grow with the square of the
// fleet: 195 instances sent about 90,000 a second. In a large region an instance sends each report
// to two relays of its zone instead. They pass it on, in batches, to the instances of the zone and
// to the relays of other zones, which pass it on to theirs. An instance then sends and receives a
// number of datagrams that does not depend on the size of the fleet; relays send to their zone.
//
// There is no election. An instance passes on whatever it is sent for that, and each sender chooses
// relays by the same order, most cores first. It leaves out those that do not answer: relays of the
// own zone show that they work by returning the sender's own reports with the others, relays of
// other zones by any batch, which is empty if they have nothing to send. A report goes through two
// relays, so that the loss of one delays nothing.
//
// Example:
//
//   ReportRelay relay(identity, "taipei", isUsable);
//   relay.setPeer({"a", "tpe-a", "taipei", 0.5});
//   if (relay.isNeeded())
//       send(relay.submit(frame, now));
//   for (const RelayFrame &frame : relay.onBatch(batch, false, now))
//       process(frame);
//   send(relay.flush(false, now)); // flushInterval after a batch, if hasWaitingFrames()
//
// Pure state without I/O. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/fleet/relay_batch.h"

namespace chestnutvane {

// An instance that may pass on reports.
struct RelayPeer
{
    std::string id;
    std::string zone;
    std::string region;
    double coreShare = 1; // processor cores that the instance may use
};

// Datagrams for one or more instances.
struct OutgoingBatches
{
    std::vector<std::string> receivers; // instance ids
    std::vector<std::string> datagrams;
};

class ReportRelay
{
public:
    // `isUsable` tells whether a peer is not known to be dead or stopping.
    ReportRelay(RelayPeer self, std::uint64_t incarnation,
                std::function<bool(const std::string &id)> isUsable);

    // Adds or updates a peer.
    void setPeer(const RelayPeer &peer);
    void removePeer(const std::string &id);

    // Whether the own region is so large that reports go through relays.
    [[nodiscard]] bool isNeeded() const { return peersInRegion_ > maxDirectPeers; }

    // Returns the datagrams that take a report of this instance to its relays.
    std::vector<OutgoingBatches> submit(RelayFrame frame, TimePoint now);

    // Takes a batch: queues the frames that this instance passes on, and returns those that it has
    // to process itself, each only once. `agesUnknown` tells that the batch may have waited in the
    // socket.
    std::vector<RelayFrame> onBatch(RelayBatch batch, bool agesUnknown, TimePoint now);

    // Whether frames wait for flush().
    [[nodiscard]] bool hasWaitingFrames() const;

    // Returns the datagrams with the frames that wait. `agesUnknown` tells that they may have
    // waited for longer than the clock says.
    std::vector<OutgoingBatches> flush(bool agesUnknown, TimePoint now);

    // Forgets instances that have not reported for a while.
    void expire(TimePoint now);

    // Instances of a region that report to each other directly, at most. Up to about this size,
    // direct reports arrive sooner at a bearable cost.
    static constexpr std::size_t maxDirectPeers = 40;
    // How long frames wait to be passed on together.
    static constexpr Milliseconds flushInterval{80};
    // Longest datagram with more than one frame.
    static constexpr std::size_t maxBatchBytes = 16000;
    // A relay that has not answered for this time is left out for relayPause. A few reports and
    // answers fit into it, so that the loss of one does not count.
    static constexpr Milliseconds relayTimeout{1000};
    static constexpr Milliseconds zoneRelayTimeout{700}; // of a relay of another zone
    static constexpr Milliseconds relayPause{3000};
    // Batches from other zones are answered within this time.
    static constexpr Milliseconds answerInterval{200};

private:
    struct Waiting
    {
        RelayFrame frame;
        TimePoint since;
    };
    struct Health
    {
        TimePoint askedSince; // of the frames sent without a pause until now
        TimePoint lastAsked;
        TimePoint lastAnswer;
        TimePoint pausedUntil;
        bool isAnswerDue = false; // it sent a batch from another zone
        TimePoint answeredAt; // when a batch was last sent to it
    };
    struct LastSequence
    {
        std::uint64_t sequence = 0;
        TimePoint receivedAt;
    };

    // The relays of a zone to use now, at most relaysPerZone.
    std::vector<std::string> relaysOf(const std::string &zone, TimePoint now);
    // Whether a peer answers, or has not been asked for long enough to tell.
    bool isAnswering(const RelayPeer &peer, TimePoint now);
    // Records that frames are sent to a relay.
    void onAsked(const std::string &id, TimePoint now);
    bool isNewFrame(const RelayFrame &frame, TimePoint now);
    // Queues a frame for the instances of this zone and, if it comes from this zone, for others.
    void queue(const RelayFrame &frame, bool fromOwnZone, TimePoint now);
    // Takes the frames of a queue, with the time that they have waited added.
    static std::vector<RelayFrame> take(std::vector<Waiting> &queue, bool agesUnknown,
                                        TimePoint now);
    // Adds empty batches for the relays of other zones that wait for an answer.
    void addAnswers(std::vector<OutgoingBatches> &batches, TimePoint now);
    // Adds the batch for the relays of the other zones of this region, or of other regions.
    void addZoneBatches(std::vector<OutgoingBatches> &batches, std::vector<RelayFrame> frames,
                        bool inOwnRegion, TimePoint now);
    [[nodiscard]] std::vector<std::string> datagramsFor(Hop hop,
                                                        std::vector<RelayFrame> frames) const;

    RelayPeer self_;
    std::uint64_t selfHash_;
    std::uint64_t incarnation_;
    std::function<bool(const std::string &)> isUsable_;
    std::map<std::string, RelayPeer> peers_; // by id
    std::unordered_map<std::uint64_t, std::string> idsByHash_;
    std::map<std::string, std::vector<std::string>> zones_; // ids in the order of choice
    std::size_t peersInRegion_ = 0;
    std::unordered_map<std::string, Health> health_; // by id
    std::map<std::pair<std::uint64_t, Audience>, LastSequence> lastSequences_; // by incarnation
    std::vector<Waiting> forMembers_;
    std::vector<Waiting> forRegion_;
    std::vector<Waiting> forOtherRegions_;
    bool isAnswerDue_ = false; // for any peer
};

} // namespace chestnutvane
