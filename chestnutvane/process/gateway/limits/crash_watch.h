// Detects requests that crash the targets that run them, and stops sending them.
//
// A request may crash every target that runs it, and its caller may repeat it at any instance.
// Without a limit it would crash all targets of a service one after the other. A crash is
// detected in two steps: the connection of an attempt ends without a response, and soon afterwards
// the target refuses connections, is registered as restarted, or is no longer registered. Each
// request that was lost at the target is charged with the crash, because each may be the cause. A
// request that is answered is cleared, so that only one that crashes every target keeps its count.
//
// Example:
//
//   CrashWatch watch(counter, "taipei");
//   watch.onAttemptLost(request, target, now);
//   watch.onTargetDown(target, now); // charges the request
//   if (!watch.mayBeSent(request, now))
//       refuse();
//
// Not thread-safe: used from the gateway's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/crash_suspects.h"

namespace chestnutvane {

class CrashWatch
{
public:
    // Number of crashes in the whole fleet after which a request is no longer sent. Other requests
    // that were in flight at the same targets are charged too; a lower limit would refuse them.
    static constexpr std::uint32_t crashLimit = 3;

    // Maximum number of counts in a report. A count has about 60 bytes, so that a report fits into
    // a datagram of one Ethernet frame.
    static constexpr std::size_t maxReportedCounts = 15;

    CrashWatch(const HolderId &counter, std::string region);

    // Call when an attempt of a request at a target ended without a response.
    void onAttemptLost(std::uint64_t request, std::uint64_t target, TimePoint now);

    // Call when the process of a target has ended. Returns the requests that are charged with it.
    std::vector<std::uint64_t> onTargetDown(std::uint64_t target, TimePoint now);

    // Call when a target has answered the request.
    void onAnswered(std::uint64_t request, TimePoint now);

    [[nodiscard]] bool mayBeSent(std::uint64_t request, TimePoint now) const;

    // Returns whether no crash is counted. The fingerprint of a request is not needed then.
    [[nodiscard]] bool isEmpty() const { return lastChanged_.empty(); }

    // Returns the counts for the next report: those that changed recently, and those of requests
    // close to the limit; at most maxReportedCounts.
    [[nodiscard]] std::vector<CrashCount> countsToReport(TimePoint now) const;

    // Merges the counts of another instance's report.
    void merge(std::span<const CrashCount> counts, TimePoint now);

    // Removes expired counts and lost attempts. Call twice a second.
    void expire(TimePoint now);

private:
    struct LostAttempt
    {
        std::uint64_t request = 0;
        TimePoint when;
    };

    CrashSuspects suspects_;
    std::map<std::uint64_t, std::vector<LostAttempt>> lostAttempts_; // by target
    // Time of the last change of each counted request.
    std::map<std::uint64_t, TimePoint> lastChanged_;
};

} // namespace chestnutvane
