// What is drained, by rule or by its own report, and how long a drain took.
//
// Example:
//
//   DrainState state;
//   state.setRules(rules, now);
//   state.setReportedDraining("bo-07", true, now);
//   state.onRequestStarted("bo-01", now);
//   state.onRequestEnded("bo-01", now);
//   if (state.isDrained(target))
//       refuseNewWork();
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
    // Replaces the rules. A target whose drain stays in the rules keeps the start of its drain.
    void setRules(const RuleSet &rules, TimePoint now);

    // Notes what a target or an operator's platform says of the target.
    void setReportedDraining(const std::string &target, bool isDraining, TimePoint now);

    void onRequestStarted(const std::string &target, TimePoint now);
    void onRequestEnded(const std::string &target, TimePoint now);

    // Tells whether a target of the rules gets no new work.
    bool isDrained(const std::string &target) const;

    // Tells whether a region is drained by its own rule or because all its zones are.
    bool isRegionDrained(const std::string &region) const;

    // Time from the start of the drain to the last end of work: nothing if the target is not
    // drained or still has work, 0 if it had none.
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
