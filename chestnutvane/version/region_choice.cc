#include "chestnutvane/version/region_choice.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <sstream>

#include "chestnutvane/base/hash.h"

// Lets the compiler reduce the hash of 16 bytes in hashPair() to a few instructions; it is computed
// about a hundred times in one routing decision.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chestnutvane {

namespace {

// Seeds keep the draws of one caller independent: a caller that is early in one move is not
// thereby early in another move, in an overflow or in the choice of an instance.
constexpr std::uint64_t callerSeed = 1;
constexpr std::uint64_t regionSeed = 2;
constexpr std::uint64_t moveSeed = 3;
constexpr std::uint64_t overflowSeed = 4;

// Share of a region's free slots that overflow may claim at once. With all of them, the overflow
// fills the region, its headroom falls to 0, the overflow leaves again, and so on; with half, each
// round of this feedback is half as large as the one before.
constexpr double overflowClaim = 0.5;

std::uint32_t bit(RegionId region)
{
    return 1U << region;
}

template <class T>
T at(std::span<const T> values, std::size_t index)
{
    return index < values.size() ? values[index] : T{};
}

void addStep(RegionChoice &choice, const RegionStep &step)
{
    if (choice.stepCount < maxRegionSteps)
        choice.steps[choice.stepCount++] = step;
    else
        ++choice.stepsDropped;
}

// Returns the region of the mask that the caller ranks first: the weighted regions of its block,
// then all others with equal weights. Returns noRegion for an empty mask.
RegionId bestRegion(const RegionPlan &plan, const RegionQuery &query, std::uint32_t allowed)
{
    RegionId best = noRegion;
    double bestScore = -1;
    for (const auto &[region, weight] : plan.clients[query.clients]) {
        if (!(allowed & bit(region)) || weight <= 0)
            continue;
        const double score =
                weightedScore(hashPair(query.caller, plan.regions[region].hash), weight);
        if (score > bestScore) {
            best = region;
            bestScore = score;
        }
    }
    if (best != noRegion)
        return best;
    for (std::size_t region = 0; region < plan.regions.size(); ++region) {
        if (!(allowed & bit(static_cast<RegionId>(region))))
            continue;
        const double score =
                weightedScoreAbove(hashPair(query.caller, plan.regions[region].hash), 1, bestScore);
        if (score > bestScore) {
            best = static_cast<RegionId>(region);
            bestScore = score;
        }
    }
    return best;
}

void applyMoves(const RegionPlan &plan, const RegionInputs &inputs, const RegionQuery &query,
                std::uint32_t usable, RegionChoice &choice)
{
    for (std::size_t i = 0; i < plan.moves.size(); ++i) {
        const RegionPlan::Move &move = plan.moves[i];
        if (move.service != query.service || move.from != choice.region)
            continue;
        RegionStep step{RegionStepKind::NotMoved, move.from, move.to,
                        static_cast<std::uint16_t>(i)};
        step.point = unitInterval(hashPair(query.caller, move.hash));
        step.limit = std::clamp(at(inputs.moveProgress, i), 0.0, 1.0) * move.share;
        if (step.point < step.limit) {
            const bool canMove = usable & bit(move.to);
            step.kind = canMove ? RegionStepKind::Moved : RegionStepKind::MoveIntoDrained;
            if (canMove)
                choice.region = move.to;
        }
        addStep(choice, step);
    }
}

void applyDrains(const RegionPlan &plan, const RegionQuery &query, std::uint32_t usable,
                 RegionChoice &choice)
{
    if (usable & bit(choice.region))
        return;
    const RegionId from = choice.region;
    const RegionId next = bestRegion(plan, query, usable);
    if (next == noRegion) {
        addStep(choice, {RegionStepKind::AllDrained, from, from});
        return;
    }
    const bool drained = plan.drained & bit(from);
    addStep(choice, {drained ? RegionStepKind::Drained : RegionStepKind::NoTargets, from, next});
    choice.region = next;
}

void applyCapacity(const RegionPlan &plan, const RegionInputs &inputs, const RegionQuery &query,
                   std::uint32_t usable, RegionChoice &choice)
{
    const std::size_t regionCount = plan.regions.size();
    const RegionId from = choice.region;
    const UnitCapacity own = at(inputs.units, query.service * regionCount + from);
    if (own.overflowShare <= 0)
        return;
    const double point =
            unitInterval(hashPair(hashPair(query.caller, plan.regions[from].hash), overflowSeed));
    if (point >= own.overflowShare)
        return;
    std::uint32_t candidates = usable & ~bit(from);
    while (candidates != 0) {
        const RegionId to = bestRegion(plan, query, candidates);
        candidates &= ~bit(to);
        const UnitCapacity other = at(inputs.units, query.service * regionCount + to);
        if (other.headroom <= 0 || other.overflowShare > 0)
            continue;
        const double link = at(inputs.linkShare, from * regionCount + to);
        // Each of the other regions may overflow into this one.
        const double room = own.slots > 0 ? overflowClaim * other.headroom * other.slots / own.slots
                        / static_cast<double>(regionCount - 1)
                                          : 0;
        const double limit = std::min(link, room);
        const bool fits = point < limit;
        if (fits || link <= room) {
            addStep(choice,
                    {fits ? RegionStepKind::Overflowed : RegionStepKind::LinkFull, from, to, 0xffff,
                     point, limit});
        }
        if (fits) {
            choice.region = to;
            return;
        }
    }
    addStep(choice, {RegionStepKind::NoHeadroom, from, from, 0xffff, point, own.overflowShare});
}

bool isTargetDrained(const RuleSet &rules, const TargetRule &target)
{
    return std::any_of(rules.drains.begin(), rules.drains.end(), [&](const DrainRule &drain) {
        return (drain.kind == DrainKind::Target && drain.subject == target.name)
                || (drain.kind == DrainKind::Zone && drain.subject == target.zone);
    });
}

bool isRegionDrained(const RuleSet &rules, const RegionRule &region)
{
    const auto hasDrain = [&](DrainKind kind, const std::string &subject) {
        return std::any_of(rules.drains.begin(), rules.drains.end(), [&](const DrainRule &drain) {
            return drain.kind == kind && drain.subject == subject;
        });
    };
    return hasDrain(DrainKind::Region, region.name)
            || (!region.zones.empty()
                && std::all_of(
                        region.zones.begin(), region.zones.end(),
                        [&](const std::string &zone) { return hasDrain(DrainKind::Zone, zone); }));
}

void addRegions(const RuleSet &rules, RegionPlan &plan)
{
    for (const RegionRule &region : rules.regions) {
        if (isRegionDrained(rules, region))
            plan.drained |= bit(static_cast<RegionId>(plan.regions.size()));
        plan.regions.push_back({region.name, hash64(region.name, regionSeed)});
    }
}

std::optional<RegionPlanError> addClients(const RuleSet &rules, RegionPlan &plan)
{
    for (const ClientsRule &clients : rules.clients) {
        auto &weighted = plan.clients.emplace_back();
        for (const WeightedRegion &entry : clients.regions) {
            const auto region = findRegion(plan, entry.region);
            if (!region)
                return RegionPlanError{RegionPlanFailure::UnknownRegion, entry.region};
            if (entry.weight > 0)
                weighted.push_back({*region, static_cast<double>(entry.weight)});
        }
        if (weighted.empty())
            return RegionPlanError{RegionPlanFailure::NoRegions, clients.prefix};
    }
    return std::nullopt;
}

std::optional<RegionPlanError> addTargets(const RuleSet &rules, RegionPlan &plan)
{
    plan.withTargets.resize(plan.services.size());
    for (const TargetRule &target : rules.targets) {
        const auto service = findService(plan, target.service);
        if (!service)
            return RegionPlanError{RegionPlanFailure::UnknownService, target.service};
        if (isTargetDrained(rules, target))
            continue;
        for (std::size_t region = 0; region < plan.regions.size(); ++region) {
            const auto &zones = rules.regions[region].zones;
            if (std::find(zones.begin(), zones.end(), target.zone) != zones.end())
                plan.withTargets[*service] |= bit(static_cast<RegionId>(region));
        }
    }
    return std::nullopt;
}

std::optional<RegionPlanError> addMoves(const RuleSet &rules, RegionPlan &plan)
{
    for (const MoveRule &move : rules.moves) {
        const auto service = findService(plan, move.service);
        const auto from = findRegion(plan, move.from);
        const auto to = findRegion(plan, move.to);
        if (!service)
            return RegionPlanError{RegionPlanFailure::UnknownService, move.service};
        if (!from || !to)
            return RegionPlanError{RegionPlanFailure::UnknownRegion, from ? move.to : move.from};
        plan.moves.push_back({move.name, hash64(move.name, moveSeed), *service, *from, *to,
                              std::clamp(move.percent / 100, 0.0, 1.0)});
    }
    return std::nullopt;
}

} // namespace

Result<RegionPlan, RegionPlanError> makeRegionPlan(const RuleSet &rules)
{
    if (rules.regions.size() > maxRegions)
        return RegionPlanError{RegionPlanFailure::TooManyRegions, rules.regions[maxRegions].name};
    RegionPlan plan;
    addRegions(rules, plan);
    for (const ServiceRule &service : rules.services)
        plan.services.push_back(service.name);
    for (const auto &add : {addClients, addTargets, addMoves}) {
        if (auto failure = add(rules, plan))
            return std::move(*failure);
    }
    return plan;
}

std::optional<RegionId> findRegion(const RegionPlan &plan, std::string_view name)
{
    for (std::size_t region = 0; region < plan.regions.size(); ++region) {
        if (plan.regions[region].name == name)
            return static_cast<RegionId>(region);
    }
    return std::nullopt;
}

std::optional<std::size_t> findService(const RegionPlan &plan, std::string_view name)
{
    const auto found = std::find(plan.services.begin(), plan.services.end(), name);
    if (found == plan.services.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - plan.services.begin());
}

std::uint64_t callerHash(std::string_view address)
{
    return hash64(address, callerSeed);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    const auto bytes = std::bit_cast<std::array<char, 16>>(std::array{first, second});
    return XXH3_64bits(bytes.data(), bytes.size());
}

double weightedScore(std::uint64_t hash, double weight)
{
    return weight / -std::log(unitInterval(hash));
}

double weightedScoreAbove(std::uint64_t hash, double weight, double best)
{
    const double u = unitInterval(hash);
    return weight > best * (1 - u) ? weight / -std::log(u) : best;
}

void chooseRegion(const RegionPlan &plan, const RegionInputs &inputs, const RegionQuery &query,
                  RegionChoice &choice)
{
    choice.region = noRegion;
    choice.stepCount = 0;
    choice.stepsDropped = 0;
    if (query.service >= plan.services.size() || query.clients >= plan.clients.size())
        return;
    const std::uint32_t usable = plan.withTargets[query.service] & ~plan.drained;

    choice.region = bestRegion(plan, query, ~0U);
    addStep(choice, {RegionStepKind::Weighted, noRegion, choice.region});
    applyMoves(plan, inputs, query, usable, choice);
    applyDrains(plan, query, usable, choice);
    applyCapacity(plan, inputs, query, usable, choice);
}

std::string describeStep(const RegionPlan &plan, const RegionStep &step)
{
    const auto name = [&](RegionId region) {
        return region < plan.regions.size() ? plan.regions[region].name : std::string("-");
    };
    std::ostringstream text;
    text << enumName(regionStepKindNames, step.kind);
    if (step.from != noRegion)
        text << " from=" << name(step.from);
    text << " to=" << name(step.to);
    if (step.move < plan.moves.size())
        text << " move=" << plan.moves[step.move].name;
    if (step.limit > 0)
        text << " point=" << step.point << " limit=" << step.limit;
    return text.str();
}

} // namespace chestnutvane
