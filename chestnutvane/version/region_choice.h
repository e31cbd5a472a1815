// Picks the region that serves a caller (design page, section 7.5). The choice is a pure function
// of its arguments, so all instances with the same inputs give the same answer.
//
// Example:
//
//   auto plan = makeRegionPlan(rules);                        // once per revision
//   RegionChoice choice;                                      // reused, nothing is allocated
//   chooseRegion(value(plan), inputs, {service, clients, callerHash("10.1.2.3")}, choice);
//   for (const RegionStep &step : choice.taken())
//       print(describeStep(value(plan), step));
//
// All functions may be called from any thread at the same time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

// Index of a region in RuleSet::regions.
using RegionId = std::uint16_t;

inline constexpr RegionId noRegion = 0xffff;
inline constexpr std::size_t maxRegions = 16; // the target size has 7
inline constexpr std::size_t maxRegionSteps = 24;

// Why no plan can be made from a rule set.
enum class RegionPlanFailure {
    TooManyRegions,
    UnknownRegion,
    UnknownService,
    NoRegions, // a clients rule without regions, or with no positive weight
};

inline constexpr EnumName<RegionPlanFailure> regionPlanFailureNames[] = {
        {RegionPlanFailure::TooManyRegions, "too-many-regions"},
        {RegionPlanFailure::UnknownRegion, "unknown-region"},
        {RegionPlanFailure::UnknownService, "unknown-service"},
        {RegionPlanFailure::NoRegions, "no-regions"},
};

struct RegionPlanError
{
    RegionPlanFailure failure = RegionPlanFailure::UnknownRegion;
    std::string subject; // the name that the failure is about
};

// The parts of a rule set that the choice needs, with names replaced by indexes.
struct RegionPlan
{
    struct Region
    {
        std::string name;
        std::uint64_t hash = 0;
    };
    struct Weighted
    {
        RegionId region = noRegion;
        double weight = 0;
    };
    struct Move
    {
        std::string name;
        std::uint64_t hash = 0;
        std::size_t service = 0;
        RegionId from = noRegion;
        RegionId to = noRegion;
        double share = 0; // of the callers of "from", 0 to 1
    };

    std::vector<Region> regions;
    std::vector<std::string> services; // by index in RuleSet::services
    std::vector<std::vector<Weighted>> clients; // by index in RuleSet::clients
    std::vector<Move> moves; // by index in RuleSet::moves
    std::vector<std::uint32_t> withTargets; // by service: bit r is set if region r has an undrained
                                            // target of the service
    std::uint32_t drained = 0; // bit r is set if region r or all its zones are drained
};

// Makes the plan of a rule set. Fails on names that the rule set does not define.
Result<RegionPlan, RegionPlanError> makeRegionPlan(const RuleSet &rules);

std::optional<RegionId> findRegion(const RegionPlan &plan, std::string_view name);
std::optional<std::size_t> findService(const RegionPlan &plan, std::string_view name);

// What is known about the capacity of a unit, see process/headroom.
struct UnitCapacity
{
    double headroom = 0; // share of the slots that is free, 0 to 1, shrunk by the report's age
    double overflowShare = 0; // share of the unit's callers that should go elsewhere, 0 to 1
    double slots = 0; // carried slots of the unit
};

// What changes between two revisions. Missing entries mean no progress, no headroom, no overflow
// and no room on the link.
struct RegionInputs
{
    std::span<const double> moveProgress; // 0 to 1, by index in RuleSet::moves
    std::span<const UnitCapacity> units; // by service * number of regions + region
    // Share of the callers of region "from" that the link to region "to" may take under its cap,
    // 0 to 1, by from * number of regions + to.
    std::span<const double> linkShare;
};

// Hashes the text form of a caller's address. Every choice for the caller derives from this value.
std::uint64_t callerHash(std::string_view address);

struct RegionQuery
{
    std::size_t service = 0;
    std::size_t clients = 0; // index of the clients rule with the longest matching prefix
    std::uint64_t caller = 0; // from callerHash()
};

enum class RegionStepKind {
    Weighted, // chosen among the weighted regions of the clients rule
    Moved, // the caller's point is below progress times share of a move
    NotMoved, // a move starts here, but the caller's point is not below the limit
    MoveIntoDrained, // a move was not followed, because its destination is drained
    Drained, // the region is drained, the caller goes to the next one
    NoTargets, // the region has no target of the service, the caller goes to the next one
    AllDrained, // no region is left, the choice stays
    Overflowed, // the region is full, the caller goes to a region with headroom
    LinkFull, // a region with headroom was passed over, because the link to it is full
    NoHeadroom, // no region with headroom can be reached, the choice stays
};

inline constexpr EnumName<RegionStepKind> regionStepKindNames[] = {
        {RegionStepKind::Weighted, "weighted"},
        {RegionStepKind::Moved, "moved"},
        {RegionStepKind::NotMoved, "not-moved"},
        {RegionStepKind::MoveIntoDrained, "move-into-drained"},
        {RegionStepKind::Drained, "drained"},
        {RegionStepKind::NoTargets, "no-targets"},
        {RegionStepKind::AllDrained, "all-drained"},
        {RegionStepKind::Overflowed, "overflowed"},
        {RegionStepKind::LinkFull, "link-full"},
        {RegionStepKind::NoHeadroom, "no-headroom"},
};

// One step of a choice.
struct RegionStep
{
    RegionStepKind kind = RegionStepKind::Weighted;
    RegionId from = noRegion;
    RegionId to = noRegion;
    std::uint16_t move = 0xffff; // index of the move, if the step is about one
    double point = 0; // the caller's hash point that was compared
    double limit = 0; // what it was compared with

    friend bool operator==(const RegionStep &, const RegionStep &) = default;
};

// The answer. Reuse one object per thread.
struct RegionChoice
{
    RegionId region = noRegion; // noRegion only if the query's indexes are out of range
    std::uint16_t stepCount = 0;
    std::uint16_t stepsDropped = 0; // steps beyond maxRegionSteps
    std::array<RegionStep, maxRegionSteps> steps;

    std::span<const RegionStep> taken() const { return {steps.data(), stepCount}; }
};

// Hashes two values to one, for draws of one caller that do not depend on each other.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

// Score of a candidate in weighted rendezvous hashing: the candidate with the highest score is
// chosen with a probability in proportion to its weight, and a change of one weight moves only
// callers towards or away from that candidate.
double weightedScore(std::uint64_t hash, double weight);

// Returns weightedScore() if it may be above "best", else any value not above it. Most candidates
// need no logarithm, because -ln(u) is at least 1 - u.
double weightedScoreAbove(std::uint64_t hash, double weight, double best);

// Picks the region of a caller. Allocates nothing.
void chooseRegion(const RegionPlan &plan, const RegionInputs &inputs, const RegionQuery &query,
                  RegionChoice &choice);

// Returns the step as text for logs and for "chestnutvanectl explain".
std::string describeStep(const RegionPlan &plan, const RegionStep &step);

} // namespace chestnutvane
