// Decides when an instance reads the platform's store itself, and when the status of a peer
// confirms that its content is still current.
//
// Store calls are charged, so their cost would grow with the fleet. Therefore one instance in each
// region, the reader, reads often and reports a fingerprint of the content and the age of the read.
// A matching fingerprint confirms an instance's own content; a different one makes the instance
// read once. Only an instance's own reads confirm the content of others; confirmations are not
// relayed, as each relay would make the content look newer by the time that reports take. An
// instance without a confirmation within confirmationTimeout reads by itself, so the death, a pause
// or a partition of the reader delays updates by that time at most.
//
// Example:
//
//   FeedFreshness targets;
//   targets.onContentRead(start, fingerprint);
//   targets.onPeerStatus(status, now);
//   if (isReadDue(targets, isReader, now))
//       read();
//
// Pure state without I/O. Times are of BootClock, because a report of an instance that was
// suspended must not look recent. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chestnutvane/base/boot_clock.h"
#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// State of an instance's content of one prefix of the store, as sent in its reports.
struct FeedStatus
{
    std::uint64_t fingerprint = 0; // of the content; 0: no content
    Milliseconds age{0}; // since the start of the instance's own last read of the store
    std::uint64_t era = 0; // of the store when it was read; 0: unknown

    friend bool operator==(const FeedStatus &, const FeedStatus &) = default;
};

// Where content comes from.
enum class ContentSource {
    Store, // a read of this instance
    Peer, // a read of a peer, passed on by it
};

inline constexpr EnumName<ContentSource> contentSourceNames[] = {
        {ContentSource::Store, "store"},
        {ContentSource::Peer, "peer"},
};

// Usual upper bound of the time from sending a report to processing it, within a region.
inline constexpr Milliseconds maxReportTransit{30};

// Tracks how current an instance's content of one prefix is.
class FeedFreshness
{
public:
    // Records that a read which started at `start` returned the current content, with the given
    // fingerprint, from a store in the given era.
    void onContentRead(BootTime start, std::uint64_t fingerprint,
                       ContentSource source = ContentSource::Store, std::uint64_t era = 0);

    // Compares the content with the status of a peer in the same region. The status is assumed to
    // be maxReportTransit older than it says. A longer transit makes the peer's read look newer by
    // the rest, but only once. A status of an older era says nothing about the store as it is; one
    // of a newer era makes a read due.
    void onPeerStatus(const FeedStatus &status, BootTime now);

    // Whether a change from the fingerprint `from`, read by a peer at `readAt`, starts from this
    // instance's content and leads to newer content of the same era.
    [[nodiscard]] bool mayApplyChange(std::uint64_t from, BootTime readAt, std::uint64_t era) const;

    // Makes a read due at once, because the content is known to differ from the newest.
    void markOutdated() { outdated_ = true; }

    // The status to send in reports, with the age of this instance's own last read.
    [[nodiscard]] FeedStatus status(BootTime now) const;

    // The latest time at which the content is known to have matched the store.
    [[nodiscard]] BootTime confirmedAt() const { return confirmedAt_; }

    // Whether any content has been read or received.
    [[nodiscard]] bool hasContent() const { return fingerprint_ != 0; }

    // Whether a peer has read different content since this instance's content was last confirmed.
    [[nodiscard]] bool isOutdated() const { return outdated_; }

private:
    std::uint64_t fingerprint_ = 0;
    std::uint64_t era_ = 0;
    BootTime confirmedAt_;
    BootTime ownReadAt_; // start of this instance's last read of the store
    bool outdated_ = false;
};

// Read period of the reader. It bounds how long a target that drains still gets new requests.
inline constexpr Milliseconds readerReadPeriod{800};
// An instance whose content has not been confirmed for this time reads by itself. Together with the
// read this stays below 2 s, the time within which a draining target or a new configuration must be
// known.
inline constexpr Milliseconds confirmationTimeout{1250};

// Whether a read of the store is due now.
bool isReadDue(const FeedFreshness &freshness, bool isReader, BootTime now);

// Detects stalls of the process, after which datagrams may have been in the socket's buffer for
// longer than maxReportTransit, so that the ages in them are too low.
class StallDetector
{
public:
    // Records that the process is running. Call it several times within stallThreshold.
    void onTick(BootTime now);

    // Whether datagrams received now may have been buffered during a stall.
    [[nodiscard]] bool datagramsMayBeStale(BootTime now) const;

private:
    BootTime lastTick_;
    BootTime staleUntil_;
};

// A gap between two ticks that is longer than this counts as a stall.
inline constexpr Milliseconds stallThreshold{400};

// An instance of the region that may be the reader.
struct ReaderCandidate
{
    std::string id;
    Milliseconds age{0}; // since its last read of the store
    double coreShare = 1; // processor cores that it may use
};

// Whether the instance `self` is the reader of its region. The reader is the instance with the most
// cores, then the one with the lowest hash of its id, among those that read the store within
// confirmationTimeout. The age of `self` does not count.
bool isReader(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

} // namespace chestnutvane
