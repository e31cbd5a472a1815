// Decides when an instance reads the platform's store itself, and when the word of another one will
// do.
//
// Answers the price of calls that grows with the fleet: in each region one instance reads often and
// tells the others a fingerprint of what it read and how long
// ago. An instance whose own state has that fingerprint knows that it is as fresh; one with another
// fingerprint reads once. An instance that gets no word in time reads by itself, so the death, a
// pause or a cut of the reader delays news by the confirmation limit at most.
//
// Example:
//
//   FeedFreshness targets;
//   targets.onContentRead(start, fingerprint);
//   targets.onPeerReport(status, now);
//   if (isReadDue(targets, isReader, now))
//       read();
//
// Pure state without I/O. Times are of BootClock, because a report of an instance that was
// suspended must not look fresh. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chestnutvane/base/boot_clock.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// What an instance tells of one prefix of the store.
struct FeedStatus
{
    std::uint64_t fingerprint = 0; // of the content; 0: never read
    Milliseconds age{0}; // since the start of the read that showed or confirmed it

    friend bool operator==(const FeedStatus &, const FeedStatus &) = default;
};

// The longest time on the way of a report within a region, with the wait for the receiver.
inline constexpr Milliseconds maxReportTransit{30};

class FeedFreshness
{
public:
    // Notes a read of this instance that was started at the time given.
    void onContentRead(BootTime start, std::uint64_t fingerprint);

    // Takes the status of another instance of the region, which is taken to be maxReportTransit
    // older than it says. Instances pass on what they heard; without that, each pass would make it
    // look fresher by the time on the way.
    void onPeerStatus(const FeedStatus &status, BootTime now);

    // Whether a change that starts from a fingerprint, as another instance read it at the time
    // given, leads from the own content to a newer one.
    [[nodiscard]] bool mayApplyChange(std::uint64_t from, BootTime readAt) const;

    // Makes the next read due: the own content is known to differ from the newest.
    void markOutdated() { outdated_ = true; }

    // What to tell the others.
    [[nodiscard]] FeedStatus status(BootTime now) const;

    // The time as of which the own content is known to have held.
    [[nodiscard]] BootTime confirmedAt() const { return confirmedAt_; }

    // Content has been read at all.
    [[nodiscard]] bool hasContent() const { return fingerprint_ != 0; }

    // Another instance has read other content after the own content was last confirmed.
    [[nodiscard]] bool isOutdated() const { return outdated_; }

    // Start of the last own read.
    [[nodiscard]] BootTime lastRead() const { return lastRead_; }

private:
    std::uint64_t fingerprint_ = 0;
    BootTime confirmedAt_;
    BootTime lastRead_;
    bool outdated_ = false;
};

// Period of the reads of a reader: a target that leaves gets nothing new within seconds.
inline constexpr Milliseconds readerReadPeriod{800};
// An instance without confirmation for longer reads by itself. Together with a read it stays below
// the two seconds in which a target that leaves or a new configuration must be known.
inline constexpr Milliseconds confirmationTimeout{1250};

// Whether to read now.
bool isReadDue(const FeedFreshness &freshness, bool isReader, BootTime now);

// Tells when datagrams may have waited in the socket's buffer for longer than maxReportTransit,
// because the process was suspended or stalled. The ages in them are then too low.
class StallDetector
{
public:
    // Notes that the process runs. Call it several times within stallThreshold.
    void onTick(BootTime now);

    [[nodiscard]] bool datagramsMayBeStale(BootTime now) const;

private:
    BootTime lastTick_;
    BootTime staleUntil_;
};

// A longer gap between two ticks is a stall.
inline constexpr Milliseconds stallThreshold{400};

// Another instance of the own region, as a possible reader.
struct ReaderCandidate
{
    std::string id;
    Milliseconds age{0}; // of what it knows
};

// Whether the instance is the one that reads for its region: the first by a hash of the id among
// those whose knowledge is fresh.
bool isReader(const std::string &self, const std::vector<ReaderCandidate> &others);

} // namespace chestnutvane
