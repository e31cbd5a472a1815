// Counts and prints the result of a run of a whole deployment.
//
// Example:
//
//   RunSummary summary = summarize(callerReports, records, {"checkout"});
//   std::cout << formatSummary(summary);
//   return summary.faults() == 0 ? 0 : 1;
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/deployment.h"

namespace chestnutvane {

struct ClassSummary
{
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, int> reasons; // of requests without a whole answer
    std::vector<std::int64_t> latenciesUs; // sorted
};

// The load of a unit as its broker reported it during the run.
struct UnitSummary
{
    int slots = 0; // at the highest use
    int highestInUse = 0;
    int mostQueued = 0;
    double highestUse = 0; // part of the slots
    double leastHeadroom = 1;
};

struct RunSummary
{
    std::map<std::string, ClassSummary> classes;
    std::map<std::string, UnitSummary> units; // "SERVICE/REGION"
    std::vector<TargetRecord> targets;
    std::uint64_t unansweredSends = 0;
    std::uint64_t failedLookUps = 0;
    // The four below must be 0.
    std::uint64_t ranTwice = 0; // at-most-once tags that ran more than once
    std::uint64_t wrongAnswers = 0; // cut, crossed, or of a damaged upload
    std::uint64_t aboveSlots = 0;
    std::uint64_t notRunButRan = 0; // tags refused with not-run that ran
    std::uint64_t missingReports = 0; // callers or targets without a report; must be 0 too

    std::uint64_t faults() const
    {
        return ranTwice + wrongAnswers + aboveSlots + notRunButRan + missingReports;
    }
};

// Adds the units of a /v1/status answer.
void addUnits(RunSummary &summary, const nlohmann::json &status);

// Adds the callers' reports and the targets' records.
void addReports(RunSummary &summary, const std::vector<nlohmann::json> &callers,
                std::vector<TargetRecord> records, const std::set<std::string> &atMostOnceClasses);

// Formats the tables. The rules give the slots of the targets.
std::string formatSummary(const RunSummary &summary, const RuleSet &rules);

} // namespace chestnutvane
