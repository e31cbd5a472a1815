// Requests that crash targets: counts of crashes for each request fingerprint.
//
// An instance counts the crashes that its own brokers saw and keeps the latest counts that other
// instances shared in heartbeats. Counts are kept for each counting incarnation and merged by
// maximum, so a repeated heartbeat changes nothing.
//
// An operator's clear raises the generation of a fingerprint. Each count carries the generation
// that its counter knew, and only counts of the highest known generation count. So a count that
// arrives after the clear changes nothing if its instance had not heard of the clear, in whatever
// order the heartbeats arrive, and a crash on an instance that had heard of it counts.
//
// Example:
//
//   CrashSuspects suspects(incarnation, "taipei");
//   suspects.charge(fingerprint, now);
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

// How a request may run.
enum class SuspectVerdict {
    Allowed,
    Exclusive, // only on a target on which no other request runs
    Refused, // with Reason::CrashSuspect
};

// What an instance knows of one fingerprint, for operators.
struct SuspectReport
{
    struct Region
    {
        std::string region;
        std::uint32_t crashes = 0; // not cleared
        std::optional<Duration> refusedFor; // until the region's limit no longer holds

        friend bool operator==(const Region &, const Region &) = default;
    };

    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; // in the fleet, not cleared
    std::optional<Duration> refusedFor; // in all regions, until the fleet's limit no longer holds
    std::vector<Region> regions; // with crashes that are not cleared, ordered by name
    std::uint32_t clears = 0; // by operators
    Duration age{}; // since the last crash or an operator's clear

    friend bool operator==(const SuspectReport &, const SuspectReport &) = default;
};

// Crashes charged to a fingerprint by the brokers of one incarnation, as shared in heartbeats.
struct CrashCount
{
    HolderId countedBy; // the incarnation that counted
    std::string region; // of that incarnation
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; // in total; goes up only
    std::uint32_t cleared = 0; // how many of the crashes a later success cleared; goes up only
    Duration age{}; // since the last crash, or since the clear if there was none after it
    std::uint32_t generation = 0; // an operator's clears of the fingerprint known to the counter

    friend bool operator==(const CrashCount &, const CrashCount &) = default;
};

struct CrashSuspectSettings
{
    std::uint32_t regionLimit = 2; // crashes in the own region at which a request is refused
    std::uint32_t fleetLimit = 3; // crashes in all regions at which a request is refused
    Duration retention = std::chrono::minutes(10);
    std::size_t maxCounts = 1024; // bounds memory and heartbeat size; the oldest count is dropped
};

class CrashSuspects
{
public:
    CrashSuspects(const HolderId &self, std::string region,
                  const CrashSuspectSettings &settings = {});

    // Counts one crash that an own broker saw.
    void recordCrash(std::uint64_t fingerprint, TimePoint now);

    // Clears all known crashes of a fingerprint: it ran alone and completed.
    void clearAfterSuccess(std::uint64_t fingerprint, TimePoint now);

    // Clears a fingerprint on the word of an operator, here and on all instances that hear of it,
    // also crashes that other instances counted and that are not known here yet. Returns the
    // crashes that were counted here until now.
    std::uint32_t clearByOperator(std::uint64_t fingerprint, TimePoint now);

    // Takes the counts of a heartbeat. Repeated and late ones change nothing.
    void merge(std::span<const CrashCount> counts, TimePoint now);

    [[nodiscard]] SuspectVerdict verdict(std::uint64_t fingerprint, TimePoint now) const;

    // All counts known and not too old, for the heartbeat.
    [[nodiscard]] std::vector<CrashCount> counts(TimePoint now) const;

    // All fingerprints known and not too old, ordered by fingerprint.
    [[nodiscard]] std::vector<SuspectReport> report(TimePoint now) const;

    // Drops counts older than retention.
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
        TimePoint lastCrash; // or the clear, if there was no crash after it
        std::uint32_t generation = 0;
    };

    // The generation of a fingerprint, which all its entries have; nothing if it has no entry.
    [[nodiscard]] std::optional<std::uint32_t> generationOf(std::uint64_t fingerprint) const;
    void eraseFingerprint(std::uint64_t fingerprint);
    void evictOldest();

    HolderId self_;
    std::string region_;
    CrashSuspectSettings settings_;
    std::map<Key, Entry> entries_;
};

} // namespace chestnutvane
