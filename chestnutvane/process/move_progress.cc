#include "chestnutvane/process/move_progress.h"

#include <algorithm>
#include <deque>

#include <nlohmann/json.hpp>

namespace chestnutvane {

namespace {

// Progress at which a move counts as done. Progress is a floating-point sum of equal steps; without
// the tolerance a rounding error could leave one more step of negligible size.
constexpr double fullProgress = 1 - 1e-9;

} // namespace

std::string moveKey(std::string_view moveName)
{
    return "move/" + std::string(moveName);
}

std::string encodeMoveValue(const MoveValue &value)
{
    return nlohmann::json{{"progress", value.progress}, {"step", value.step}}.dump();
}

Result<MoveValue, MoveValueError> decodeMoveValue(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return MoveValueError{"the value of the move key is not a JSON object"};
    const auto progress = json.find("progress");
    const auto step = json.find("step");
    if (progress == json.end() || !progress->is_number())
        return MoveValueError{"\"progress\" is missing or not a number"};
    if (step == json.end() || !step->is_number_unsigned())
        return MoveValueError{"\"step\" is missing or not a non-negative integer"};
    const MoveValue value{progress->get<double>(), step->get<std::uint64_t>()};
    if (!(value.progress >= 0 && value.progress <= 1))
        return MoveValueError{"\"progress\" is not between 0 and 1"};
    return value;
}

double stepSize(const MoveRule &rule, const MoveOptions &options, double shiftCapPercent,
                int activeMoves)
{
    const double cap =
            std::min(rule.capPercentPerMinute, shiftCapPercent / std::max(1, activeMoves)) / 100
            * (static_cast<double>(options.window.count()) / 60000);
    const auto affected = (options.window + options.lookUpTtl + options.maxLag).count()
                    / options.stepInterval.count()
            + 1;
    return std::clamp(cap / static_cast<double>(affected), 0.0, 1.0);
}

double largestRise(std::span<const ShareSample> samples, Milliseconds window)
{
    double largest = 0;
    std::deque<std::size_t>
            lowest; // indices of samples in the window, each lower than all later ones
    for (std::size_t i = 0; i < samples.size(); ++i) {
        while (!lowest.empty() && samples[i].time - samples[lowest.front()].time > window)
            lowest.pop_front();
        while (!lowest.empty() && samples[lowest.back()].share >= samples[i].share)
            lowest.pop_back();
        lowest.push_back(i);
        largest = std::max(largest, samples[i].share - samples[lowest.front()].share);
    }
    return largest;
}

void MoveProgress::observe(const std::string &move, const MoveValue &value, std::uint64_t version,
                           TimePoint now)
{
    const auto [entry, isNew] = moves_.try_emplace(move);
    State &state = entry->second;
    if (isNew) {
        state.observed = value;
        state.changedAt = now;
        state.adopted = value;
        state.adoptedAt = now;
    } else if (value.step > state.observed.step) {
        state.observed = value;
        state.changedAt = now;
        state.versionKnown = false;
    }
    const bool isFromStore = version > 0 || value.step == 0;
    if (isFromStore && value.step == state.observed.step) {
        state.version = version;
        state.versionKnown = true;
    }
}

void MoveProgress::adoptObservedImmediately()
{
    for (auto &[move, state] : moves_)
        state.adoptImmediately = true;
}

StepDecision MoveProgress::nextStep(const std::string &move, const MoveRule &rule,
                                    const MoveConditions &conditions, TimePoint now) const
{
    StepDecision decision;
    const auto found = moves_.find(move);
    const auto wait = [&](MoveWait reason) {
        decision.wait = reason;
        return decision;
    };
    if (!conditions.storeReachable)
        return wait(MoveWait::StoreUnreachable);
    if (found == moves_.end() || !found->second.versionKnown)
        return wait(MoveWait::NotObserved);
    const State &state = found->second;
    if (state.observed.progress >= fullProgress)
        return wait(MoveWait::Done);
    if (now - state.changedAt < options_.stepInterval)
        return wait(MoveWait::StepInterval);
    if (conditions.destinationDrained)
        return wait(MoveWait::DestinationDrained);
    if (!conditions.headroom || *conditions.headroom < options_.minHeadroom)
        return wait(MoveWait::LowHeadroom);
    if (!(conditions.linkUse < conditions.linkCap))
        return wait(MoveWait::LinkAtCap);
    if (conditions.longTermLatencyMs > 0
        && conditions.recentLatencyMs > options_.maxLatencyRatio * conditions.longTermLatencyMs)
        return wait(MoveWait::HighLatency);
    if (conditions.lowestAdoptedStep && *conditions.lowestAdoptedStep < state.observed.step)
        return wait(MoveWait::Adoption);

    decision.wait = MoveWait::None;
    decision.next.progress = std::min(
            1.0,
            state.observed.progress
                    + stepSize(rule, options_, conditions.shiftCapPercent, conditions.activeMoves));
    decision.next.step = state.observed.step + 1;
    decision.expectedVersion = state.version;
    return decision;
}

double MoveProgress::adopted(const std::string &move, TimePoint now)
{
    const auto found = moves_.find(move);
    if (found == moves_.end())
        return 0;
    State &state = found->second;
    const std::uint64_t stepsBehind = state.observed.step - state.adopted.step;
    if (stepsBehind == 0) {
        state.adoptImmediately = false;
        return state.adopted.progress;
    }
    const bool isDue = now - state.adoptedAt >= options_.stepInterval;
    if (state.adoptImmediately || (stepsBehind == 1 && isDue)) {
        state.adopted = state.observed;
        state.adoptedAt = now;
    } else if (isDue) {
        // The values of the skipped steps are unknown; the steps are assumed to be equal.
        state.adopted.progress += (state.observed.progress - state.adopted.progress)
                / static_cast<double>(stepsBehind);
        ++state.adopted.step;
        state.adoptedAt = now;
    }
    state.adoptImmediately = false;
    return state.adopted.progress;
}

std::uint64_t MoveProgress::adoptedStep(const std::string &move) const
{
    const auto found = moves_.find(move);
    return found == moves_.end() ? 0 : found->second.adopted.step;
}

std::optional<MoveValue> MoveProgress::observed(const std::string &move) const
{
    const auto found = moves_.find(move);
    if (found == moves_.end())
        return std::nullopt;
    return found->second.observed;
}

} // namespace chestnutvane
