// Requests that crash targets: counts of crashes for each request fingerprint.
//
// An instance counts the crashes that its own brokers saw and keeps the latest counts that other
// instances shared in heartbeats. Counts are kept for each counting incarnation and merged by
// maximum, so a repeated heartbeat changes nothing.
//
// Not thread-safe: the daemon calls it under the broker lock.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

// How a request may run.
enum class SuspectVerdict {
    Clear,
    Alone, // only on a target on which no other request runs
    Refused, // with Reason::CrashSuspect
};

// Crashes charged to a fingerprint by the brokers of one incarnation, as shared in heartbeats.
struct CrashCount
{
    HolderId counter; // the incarnation that counted
    std::string region; // of that incarnation
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; // in total; goes up only
    std::uint32_t cleared = 0; // how many of the crashes a later success cleared; goes up only
    Duration age{}; // since the last crash

    friend bool operator==(const CrashCount &, const CrashCount &) = default;
};

struct CrashSuspectSettings
{
    std::uint32_t regionLimit = 2; // crashes in the own region at which a request is refused
    std::uint32_t fleetLimit = 3; // crashes in all regions at which a request is refused
    Duration keptFor = std::chrono::minutes(10);
    std::size_t maxCounts = 1024; // bounds memory and heartbeat size; the oldest count is dropped
};

class CrashSuspects
{
public:
    CrashSuspects(const HolderId &self, std::string region,
                  const CrashSuspectSettings &settings = {});

    // Counts one crash that an own broker saw.
    void charge(std::uint64_t fingerprint, TimePoint now);

    // Clears all known crashes of a fingerprint: it ran alone and completed.
    void clear(std::uint64_t fingerprint, TimePoint now);

    // Takes the counts of a heartbeat. Repeated and late ones change nothing.
    void merge(std::span<const CrashCount> counts, TimePoint now);

    [[nodiscard]] SuspectVerdict verdict(std::uint64_t fingerprint, TimePoint now) const;

    // All counts known and not too old, for the heartbeat.
    [[nodiscard]] std::vector<CrashCount> counts(TimePoint now) const;

    // Drops counts older than keptFor.
    void expire(TimePoint now);

private:
    struct Key
    {
        std::uint64_t fingerprint = 0;
        HolderId counter;

        friend bool operator<(const Key &a, const Key &b)
        {
            return std::tie(a.fingerprint, a.counter) < std::tie(b.fingerprint, b.counter);
        }
    };
    struct Entry
    {
        std::string region;
        std::uint32_t crashes = 0;
        std::uint32_t cleared = 0;
        TimePoint lastCrash;
    };

    void makeRoom();

    HolderId self_;
    std::string region_;
    CrashSuspectSettings settings_;
    std::map<Key, Entry> entries_;
};

} // namespace chestnutvane
