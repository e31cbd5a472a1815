// Tracks which targets and regions are drained, by a rule or by a report of the target, the
// requests in flight on each target, and how long a drain took.
//
// Example:
//
//   DrainState state;
//   state.setRules(rules, now);
//   state.setReportedDraining("bo-07", true, now);
//   state.onRequestStarted("bo-01", now);
//   state.onRequestEnded("bo-01", now);
//   if (state.isDrained(target))
//       refuseNewRequests();
//
// DrainState is not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

class DrainState
{
public:
    // Replaces the rules. A target that remains drained retains the start time of its drain. A
    // target that is no longer in the rules counts as drained until its last request has ended.
    void setRules(const RuleSet &rules, TimePoint now);

    // Records whether a target, or the platform on its behalf, reports that it is shutting down.
    void setReportedDraining(const std::string &target, bool isDraining, TimePoint now);

    void onRequestStarted(const std::string &target, TimePoint now);
    void onRequestEnded(const std::string &target, TimePoint now);

    // Returns whether a target must receive no new requests.
    bool isDrained(const std::string &target) const;

    // Returns whether a region is drained by a rule of its own or because all its zones are
    // drained.
    bool isRegionDrained(const std::string &region) const;

    // Returns the time from the start of the drain to the end of the last request; 0 if none was in
    // flight at the start; nothing if the target is not drained or has requests in flight.
    std::optional<Duration> drainTime(const std::string &target) const;

    std::size_t requestsInFlight(const std::string &target) const;

private:
    struct Target
    {
        bool byRule = false;
        bool byReport = false;
        std::size_t inFlight = 0;
        std::optional<TimePoint> drainedSince;
        TimePoint lastRequestEnd;
    };

    static void updateDrainStart(Target &target, TimePoint now);

    std::map<std::string, Target> targets_;
    std::set<std::string> drainedRegions_;
};

} // namespace chestnutvane
