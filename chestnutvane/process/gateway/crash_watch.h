// Finds requests that crash the targets which run them, and keeps them from further targets.
//
// Answers the fault in which one request ends each process that begins to run it, and its caller
// sends it again to any instance: without a limit it takes down the targets of a service one after
// the other. A crash shows in two steps. The connection of an attempt ends without an answer, and
// soon after that the target refuses connections, or is registered as started again or not at all.
// All requests that were lost at the target are charged with it, as any of them may be the cause.
// One that is answered is cleared, so that only a request that ends each target on which it runs
// keeps its count.
//
// Example:
//
//   CrashWatch watch(counter, "taipei");
//   watch.onAttemptLost(request, target, now);
//   watch.onTargetDown(target, now); // charges the request
//   if (!watch.mayBeSent(request, now))
//       refuse();
//
// Not thread-safe: the gateway's one thread owns it.
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
    // Crashes in the whole fleet after which a request is not sent any more. The attempts of other
    // requests that were at the same targets are charged too, so a lower one would refuse them.
    static constexpr std::uint32_t crashLimit = 3;

    // Counts in one report; about 60 bytes each, so that they fit into a datagram of an Ethernet
    // frame with the rest of a report.
    static constexpr std::size_t maxReportedCounts = 15;

    CrashWatch(const HolderId &counter, std::string region);

    // An attempt of a request at a target ended without an answer.
    void onAttemptLost(std::uint64_t request, std::uint64_t target, TimePoint now);

    // A target has ended its process. Returns the requests that are charged with it.
    std::vector<std::uint64_t> onTargetDown(std::uint64_t target, TimePoint now);

    // A target has answered the request.
    void onAnswered(std::uint64_t request, TimePoint now);

    [[nodiscard]] bool mayBeSent(std::uint64_t request, TimePoint now) const;

    // Whether no crash is counted, so that a request need not be identified.
    [[nodiscard]] bool isEmpty() const { return lastChanged_.empty(); }

    // What other instances are to be told: counts that have changed lately, and those of requests
    // that may reach the limit; at most maxReportedCounts.
    [[nodiscard]] std::vector<CrashCount> countsToReport(TimePoint now) const;

    // Takes what another instance told.
    void merge(std::span<const CrashCount> counts, TimePoint now);

    // Forgets what is too old to count. Call twice a second.
    void expire(TimePoint now);

private:
    struct LostAttempt
    {
        std::uint64_t request = 0;
        TimePoint when;
    };

    CrashSuspects suspects_;
    std::map<std::uint64_t, std::vector<LostAttempt>> lostAttempts_; // by target
    std::map<std::uint64_t, TimePoint> lastChanged_; // counted requests, and their last change
};

} // namespace chestnutvane
