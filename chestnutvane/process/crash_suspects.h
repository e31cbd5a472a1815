// Counts target crashes per request fingerprint, to isolate or refuse requests that crash targets.
//
// An instance counts the crashes that its own brokers detect, and stores the latest counts that
// other instances share in heartbeats. Counts are stored per counting incarnation and merged by
// maximum, so that merging a heartbeat is idempotent.
//
// A clear by an operator raises the generation of a fingerprint. Each count carries the generation
// known to its instance, and only counts of the highest known generation are valid. A late count
// from an instance that did not know of the clear is therefore ignored, in whatever order the
// heartbeats arrive. A crash on an instance that knew of the clear counts.
//
// Example:
//
//   CrashSuspects suspects(incarnation, "taipei");
//   suspects.recordCrash(fingerprint, now);
//   suspects.merge(heartbeat.crashCounts, now);
//   if (suspects.verdict(fingerprint, now) == SuspectVerdict::Refused)
//       refuse();
//
// Not thread-safe: the daemon calls it under the broker lock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

// Under which condition a request with a given fingerprint may run.
enum class SuspectVerdict {
    Allowed, // no crash is counted
    Exclusive, // only on a target on which no other request runs
    Refused, // with Reason::CrashSuspect
};

// State of one fingerprint on an instance, for operators. Crashes that were cleared do not count.
struct SuspectReport
{
    struct Region
    {
        std::string region;
        std::uint32_t crashes = 0; // not cleared
        std::optional<Duration> refusedFor; // until the region's count falls below its limit

        friend bool operator==(const Region &, const Region &) = default;
    };

    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; // in the fleet, not cleared
    std::optional<Duration>
            refusedFor; // in all regions, until the fleet's count falls below its limit
    std::vector<Region> regions; // with crashes that are not cleared, ordered by name
    std::uint32_t clears = 0; // by operators
    Duration age{}; // since the last crash or an operator's clear

    friend bool operator==(const SuspectReport &, const SuspectReport &) = default;
};

// Crashes of one fingerprint that the brokers of one incarnation detected, as sent in heartbeats.
struct CrashCount
{
    HolderId countedBy; // incarnation whose brokers detected the crashes
    std::string region; // of that incarnation
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; // in total; never decreases
    std::uint32_t cleared = 0; // crashes that a later success cleared; never decreases
    Duration age{}; // since the last crash, or since the operator's clear if no crash followed
    std::uint32_t generation = 0; // clears by operators known to the counting instance

    friend bool operator==(const CrashCount &, const CrashCount &) = default;
};

struct CrashSuspectSettings
{
    std::uint32_t regionLimit = 2; // crashes in the local region from which a request is refused
    std::uint32_t fleetLimit = 3; // crashes in all regions from which a request is refused
    Duration retention = std::chrono::minutes(10); // counts without a newer crash expire after it
    std::size_t maxCounts = 1024; // bounds memory and heartbeat size; the oldest count is evicted
};

class CrashSuspects
{
public:
    CrashSuspects(const HolderId &self, std::string region,
                  const CrashSuspectSettings &settings = {});

    // Counts one crash that a broker of this instance detected.
    void recordCrash(std::uint64_t fingerprint, TimePoint now);

    // Clears all known crashes of a fingerprint, after a request with it ran exclusively and
    // completed.
    void clearAfterSuccess(std::uint64_t fingerprint, TimePoint now);

    // Clears a fingerprint on request of an operator. The clear spreads to the other instances by
    // heartbeat, and includes crashes that they counted and that are not known here yet. Returns
    // the number of uncleared crashes that were known here.
    std::uint32_t clearByOperator(std::uint64_t fingerprint, TimePoint now);

    // Merges the counts of a heartbeat. Repeated and outdated counts have no effect.
    void merge(std::span<const CrashCount> counts, TimePoint now);

    [[nodiscard]] SuspectVerdict verdict(std::uint64_t fingerprint, TimePoint now) const;

    // Returns all counts that have not expired, for the heartbeat.
    [[nodiscard]] std::vector<CrashCount> counts(TimePoint now) const;

    // Returns all fingerprints with a count that has not expired, ordered by fingerprint.
    [[nodiscard]] std::vector<SuspectReport> report(TimePoint now) const;

    // Erases counts that are at least the retention period old.
    void expire(TimePoint now);

private:
    struct Key
    {
        std::uint64_t fingerprint = 0;
        HolderId countedBy;

        friend bool operator<(const Key &a, const Key &b)
        {
            return std::tie(a.fingerprint, a.countedBy) < std::tie(b.fingerprint, b.countedBy);
        }
    };
    struct Entry
    {
        std::string region;
        std::uint32_t crashes = 0;
        std::uint32_t cleared = 0;
        TimePoint lastCrash; // or the operator's clear, if no crash followed
        std::uint32_t generation = 0;
    };

    // Returns the generation of a fingerprint, which all its entries share; nothing without
    // entries.
    [[nodiscard]] std::optional<std::uint32_t> generationOf(std::uint64_t fingerprint) const;
    void eraseFingerprint(std::uint64_t fingerprint);

    // Evicts the oldest entries until there is room for one more.
    void evictOldest();

    HolderId self_;
    std::string region_;
    CrashSuspectSettings settings_;
    std::map<Key, Entry> entries_;
};

} // namespace chestnutvane
