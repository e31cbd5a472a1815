// Reads routes, targets, evacuated zones and instances from the platform's store, and registers
// this instance there.
//
// A prefix is listed once; later reads ask for the changes since the last one. The first list of
// the targets, and the list after a gap in the store's history, may be stale, as it is cheaper: the
// changes that follow it bring it up to date before it is used.
//
// A failed call is retried with exponential back-off and jitter. One event is logged when the store
// becomes unreachable and one when it is reachable again. The content of the last successful read
// stays in force in between.
//
// When the era of the store rises, the store lost its latest writes: all is listed anew, and for
// reregistrationGrace what was in force before is not taken back by what the store lacks (see
// docs/design/store-era.md).
//
// The list of instances is read rarely while reports of other instances arrive, and often while
// none do.
//
// Example:
//
//   StoreFeed feed(io, store, format, identity, callbacks);
//   feed.start();
//
// Not thread-safe: everything runs on the single thread of the io_context. The store may invoke its
// callbacks on any thread, even after the feed has been destroyed.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/base/boot_clock.h"
#include "chestnutvane/process/gateway/fleet/feed_sharing.h"
#include "chestnutvane/process/gateway/fleet/load_report.h"
#include "chestnutvane/process/gateway/store/evacuation_memory.h"
#include "chestnutvane/process/gateway/store/feed_change.h"
#include "chestnutvane/process/gateway/store/feed_content.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/owner_thread.h"
#include "chestnutvane/process/store.h"
#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

// Why a value read from the store cannot be used.
enum class FeedFault {
    NotReadable, // the bytes cannot be parsed
    MissingField,
    BadField, // wrong type or invalid value
    BadRoutes, // the routes contradict each other
    BadTeams, // the teams contradict each other
    OlderRevision, // a newer revision is in force
};

inline constexpr EnumName<FeedFault> feedFaultNames[] = {
        {FeedFault::NotReadable, "not-readable"}, {FeedFault::MissingField, "missing-field"},
        {FeedFault::BadField, "bad-field"},       {FeedFault::BadRoutes, "bad-routes"},
        {FeedFault::BadTeams, "bad-teams"},       {FeedFault::OlderRevision, "older-revision"},
};

struct FeedError
{
    FeedFault fault = FeedFault::NotReadable;
    std::string detail;
};

// Keys of the values in the store, and their decoders.
struct FeedFormat
{
    std::string operatorPrefix; // of all keys written by operators
    std::string routesKey;
    std::string evacuationPrefix; // followed by the name of a zone
    std::string targetPrefix; // followed by the id of a target
    std::string instancePrefix; // of the entries that instances register for themselves
    std::string learnedPrefix; // of the learned states; followed by the name of a region
    std::function<Result<std::shared_ptr<const RouteTable>, FeedError>(std::string_view)>
            decodeRoutes;
    std::function<Result<TargetEntry, FeedError>(std::string id, std::string_view)> decodeTarget;
};

// The instances that the store lists.
struct InstanceList
{
    std::vector<PeerIdentity> instances;
    BootTime readStart; // when the read of the list started
    // Whether the lease of each instance was renewed within instanceEntryTtl before the read. A
    // stale list is older than that, and leases may pause in an outage of the store.
    bool hasCurrentLeases = false;
};

// Callbacks of the feed, invoked on the thread of the io_context.
struct FeedCallbacks
{
    std::function<void(std::shared_ptr<const RouteTable>)> onRoutes;
    std::function<void(std::set<std::string>)> onEvacuatedZones;
    std::function<void(std::vector<TargetEntry>, RemovalPolicy)> onTargets;
    std::function<void(InstanceList)> onInstances;
    // The content of a prefix has changed. `change` is the encoded change, or empty if peers must
    // not apply it.
    std::function<void(const std::string &change)> onContentChanged;
    // The store came back from a copy, as its own answer or the content of a peer tells.
    std::function<void(ContentSource)> onEraChanged;
    // The store confirmed the content, or had newer. Called after each read of this instance.
    std::function<void()> onContentConfirmed;
    // A peer has newer content. Requests the content from the peer, passes a response to
    // applyPeerContent(), and calls readOutdated() once the request has completed or failed.
    std::function<void(const PeerIdentity &)> askPeer;
};

// Read period of the list of instances while no reports arrive from the region.
inline constexpr Milliseconds isolatedInstanceReadPeriod{800};

class StoreFeed
{
public:
    StoreFeed(boost::asio::io_context &io, Store store, FeedFormat format, PeerIdentity self,
              FeedCallbacks callbacks);

    void start();

    // Processes the report of a peer in the same region: applies the change in it, if any, and
    // compares its feed status with this instance's content.
    void onPeerReport(const LoadReport &report);

    // Whether this instance is the reader of its region (see feed_sharing.h).
    void setReader(bool reader) { isReader_ = reader; }
    [[nodiscard]] bool isReader() const { return isReader_; }

    // Tells whether this instance has stopped to receive reports of any other instance. Only the
    // list of instances then distinguishes the living from the dead, so it is read at once, and
    // again after each isolatedInstanceReadPeriod.
    void setHearsNobody(bool hearsNobody);

    // Whether the last read of the list of instances succeeded. Otherwise the list that was passed
    // to onInstances is the newest that this instance can have.
    [[nodiscard]] bool canReadInstances() const;

    // Fingerprint and age of this instance's content, for load reports.
    [[nodiscard]] FeedStatus targetsStatus() const;
    [[nodiscard]] FeedStatus operatorStatus() const;

    // Time since the content was last known to match the store, by an own read or a peer's.
    [[nodiscard]] Milliseconds targetsAge() const;
    [[nodiscard]] Milliseconds operatorAge() const;

    // Whether the content of both prefixes has been read from the store or received from a peer.
    [[nodiscard]] bool hasAllContent() const;
    [[nodiscard]] bool isStoreUnreachable() const { return storeUnreachable_; }

    // The highest era of the store that this instance knows; 0 if the store tells none.
    [[nodiscard]] std::uint64_t era() const { return era_; }

    // The current content of both prefixes, for a peer that starts while the store is unreachable
    // or that missed a change.
    [[nodiscard]] FeedContent content() const;

    // Applies the content of a peer, received in response to a request sent at `requestedAt`, where
    // it is newer than this instance's content.
    void applyPeerContent(const FeedContent &content, BootTime requestedAt);

    // Reads the prefixes whose content is outdated from the store. Call after a request to a peer
    // has completed or failed.
    void readOutdated();

    // Removes this instance's entry from the store, so that callers are directed to other
    // instances.
    void deregister();

private:
    // The periodic tasks of the feed: reads of the two prefixes, renewal of the lease of this
    // instance's entry, and reads of the list of instances.
    enum class Loop {
        Operator,
        Targets,
        Lease,
        Instances,
    };

    // Entries that the store lost while it was unreachable, or by coming back from a copy, are
    // written again within 2 s of its return. Until then, a target that is missing from the list is
    // not removed.
    static constexpr Milliseconds reregistrationGrace{2100};

    // How the content of a prefix is read next.
    enum class ReadKind {
        Changes, // since the last read
        StaleList, // followed by the changes since
        List,
    };

    static constexpr std::size_t indexOf(Loop loop) { return static_cast<std::size_t>(loop); }

    // Runs the next step of a loop after the delay.
    void scheduleRun(Loop loop, Milliseconds delay);
    void run(Loop loop);
    // Records a failed call and schedules the next one after a back-off.
    void retry(Loop loop, const StoreError &failure);
    // Records a successful call. If the store was unreachable, resumes the other loops.
    void onSuccess(Loop loop);
    [[nodiscard]] FeedFreshness &freshness(Loop loop);
    [[nodiscard]] bool isDue(Loop loop);
    // Reads a prefix if a read is due, otherwise schedules the next check.
    void readOrReschedule(Loop loop);
    void startRead(Loop loop);
    void resumeParkedLoops();
    // Whether the answer to a read can be used: it belongs to the current era, or begins a new one
    // that was read from its start on. Otherwise the prefix is listed anew.
    bool takeEra(Loop loop, std::uint64_t era, ReadKind kind);
    // Begins to follow a store that came back from a copy.
    void beginEra(std::uint64_t era, ContentSource source);
    // When the entries of a prefix that the store lost count as gone; nothing if it lost none.
    [[nodiscard]] std::optional<TimePoint> graceEnd(Loop loop) const;
    void onList(Loop loop, const Result<WatchResult, StoreError> &result);
    void onStaleList(Loop loop, const Result<WatchResult, StoreError> &result);
    void onChanges(Loop loop, const Result<StoreChanges, StoreError> &result);
    // Applies the list of a completed read, unless a peer's newer content was applied meanwhile.
    void onContentRead(Loop loop, WatchResult list);
    // The delay until the next read of the list of instances.
    [[nodiscard]] Milliseconds nextInstanceRead(std::size_t instances);
    // The decoded entry of a target, and the hash of its content.
    struct DecodedTarget
    {
        std::uint64_t version = 0;
        std::string value;
        Result<TargetEntry, FeedError> entry;
        std::uint64_t hash = 0; // 0 if the entry names no target
    };
    const DecodedTarget &decodedTarget(const StoreEntry &entry);
    // Applies the list of a prefix, from a read that started at `start`, and reports the change.
    void applyList(Loop loop, const WatchResult &list, BootTime start, ContentSource source);
    void applyPeerChange(const LoadReport &report);
    [[nodiscard]] EntryHashes entryHashesOf(Loop loop, const WatchResult &list);
    [[nodiscard]] std::string targetIdOf(const StoreEntry &entry) const;
    // Takes the routes if they are not older than those in force.
    void adoptRoutes(const StoreEntry &entry);
    // Decode a list, invoke the callbacks, and return the hashes of the entries.
    EntryHashes applyOperatorList(const WatchResult &result);
    EntryHashes applyTargetList(const WatchResult &result);
    void renewLease();
    void writeEntry();
    void replaceLease();
    void readInstances();
    void onInstanceList(const Result<WatchResult, StoreError> &result, bool hasCurrentLeases);
    void keepUnlistedInstances(std::vector<PeerIdentity> &instances);
    // Whether no report of another instance of the region has arrived for a while.
    [[nodiscard]] bool hearsNobodyInRegion() const;
    template <class T, class OnResult>
    auto withRetry(Loop loop, OnResult onResult);
    void onLeaseResult(const std::optional<StoreError> &failure);

    struct LoopState
    {
        std::unique_ptr<boost::asio::steady_timer> timer;
        int failures = 0; // consecutive failed calls
        bool awaitsRetry = false;
        bool isParked = false; // waits for the success of a read in place of a time
        TimePoint callStart; // of the last call
        BootTime readStart; // of the last list call
        bool readRunning = false; // not for Loop::Lease
        ReadKind readKind = ReadKind::List;
        bool removalsDeferred = false; // entries missing from the last list may still be in force
        std::optional<WatchResult> staleList; // that the next changes complete
        WatchResult lastList;
        EntryHashes entryHashes; // of lastList
        BootTime peerChangeReadAt; // when the peer read the content that was applied last
    };

    Store store_;
    FeedFormat format_;
    PeerIdentity self_;
    FeedCallbacks callbacks_;
    std::array<LoopState, 4> loops_;
    std::mt19937 random_;
    FeedFreshness operatorFreshness_;
    FeedFreshness targetsFreshness_;
    bool isReader_ = true;
    bool hearsNobody_ = false;
    std::string routesText_; // encoded routes that were read last
    std::optional<std::uint64_t> routesRevision_; // in force
    EvacuationMemory evacuations_;
    std::set<std::string> evacuatedZones_;
    std::map<std::string, DecodedTarget> decodedTargets_; // by key; of the last list
    int instanceReads_ = 0; // since the start
    std::vector<PeerIdentity> listedInstances_;
    std::set<std::string> ignoredTargets_; // ids with invalid values; logged when added
    std::uint64_t leaseId_ = 0;
    bool entryWritten_ = false;
    bool deregistered_ = false;
    bool storeUnreachable_ = false;
    TimePoint lastPeerReport_; // when the last report of a peer was received
    TimePoint reachableSince_; // when the store last became reachable again
    std::uint64_t era_ = 0; // highest era that was read
    TimePoint eraSince_; // when a change of the era was noticed
    OwnerThread owner_; // the last member, so that it is destroyed first
};

} // namespace chestnutvane
