#include "chestnutvane/process/drain_state.h"

#include <algorithm>
#include <iterator>

namespace chestnutvane {

void DrainState::setRules(const RuleSet &rules, TimePoint now)
{
    std::set<std::string> drainedTargets;
    std::set<std::string> drainedZones;
    drainedRegions_.clear();
    for (const DrainRule &drain : rules.drains) {
        auto &names = drain.kind == DrainKind::Target ? drainedTargets
                : drain.kind == DrainKind::Zone       ? drainedZones
                                                      : drainedRegions_;
        names.insert(drain.subject);
    }
    for (const RegionRule &region : rules.regions) {
        if (!region.zones.empty()
            && std::all_of(region.zones.begin(), region.zones.end(),
                           [&](const std::string &zone) { return drainedZones.contains(zone); }))
            drainedRegions_.insert(region.name);
        if (drainedRegions_.contains(region.name))
            drainedZones.insert(region.zones.begin(), region.zones.end());
    }

    std::set<std::string> names;
    for (const TargetRule &target : rules.targets) {
        names.insert(target.name);
        Target &state = targets_[target.name];
        state.byRule = drainedTargets.contains(target.name) || drainedZones.contains(target.zone);
        updateDrainStart(state, now);
    }
    // A target that was removed from the rules stays drained until its last request has ended.
    for (auto entry = targets_.begin(); entry != targets_.end();) {
        auto &[name, state] = *entry;
        const bool isInRules = names.contains(name);
        if (!isInRules) {
            state.byRule = true;
            updateDrainStart(state, now);
        }
        entry = isInRules || state.inFlight > 0 ? std::next(entry) : targets_.erase(entry);
    }
}

void DrainState::setReportedDraining(const std::string &target, bool isDraining, TimePoint now)
{
    Target &state = targets_[target];
    state.byReport = isDraining;
    updateDrainStart(state, now);
}

void DrainState::onRequestStarted(const std::string &target, TimePoint)
{
    ++targets_[target].inFlight;
}

void DrainState::onRequestEnded(const std::string &target, TimePoint now)
{
    Target &state = targets_[target];
    if (state.inFlight > 0)
        --state.inFlight;
    state.lastRequestEnd = std::max(state.lastRequestEnd, now);
}

bool DrainState::isDrained(const std::string &target) const
{
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.drainedSince;
}

bool DrainState::isRegionDrained(const std::string &region) const
{
    return drainedRegions_.contains(region);
}

std::optional<Duration> DrainState::drainTime(const std::string &target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.drainedSince || found->second.inFlight > 0)
        return std::nullopt;
    return std::max(Duration{0}, found->second.lastRequestEnd - *found->second.drainedSince);
}

std::size_t DrainState::requestsInFlight(const std::string &target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? 0 : found->second.inFlight;
}

void DrainState::updateDrainStart(Target &target, TimePoint now)
{
    if (!target.byRule && !target.byReport)
        target.drainedSince.reset();
    else if (!target.drainedSince)
        target.drainedSince = now;
}

} // namespace chestnutvane
