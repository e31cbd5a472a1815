// What the gateway learns about the cost of requests and the speed of targets.

#include <algorithm>
#include <utility>

#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of one run in a target's run time factor, and limits of a single sample.
constexpr double runTimeFactorWeight = 0.2;
constexpr double minFactorSample = 0.5;
constexpr double maxFactorSample = 20;
// Slower targets would distort the estimates of run times.
constexpr double maxLearningFactor = 1.5;
// A stated speed from which on the other instances are told: shorter delays do not decide whether a
// request meets its aim.
constexpr int slowPercent = 130;
// How long a stated speed is repeated in reports. Later it would arrive with hardly any weight.
constexpr Milliseconds reportedSpeedAge = TargetSpeed::wordLifetime / 2;

struct LearnedRun
{
    Duration expected{0};
    Duration run{0};
    double stated = 1; // run time factor that the target stated
    bool ranWarm = false;
    bool wasCostly = false;
};

void logRunCost(const PendingRequest &pending, const LearnedRun &learned)
{
    const auto milliseconds = [](Duration duration) {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    };
    logEvent(Event::RunCostLearned,
             {{"request", pending.id},
              {"route", pending.route->name},
              {"target", pending.target->entry.id},
              {"run-ms", milliseconds(learned.run)},
              {"expected-ms", milliseconds(learned.expected)},
              {"stated-factor", learned.stated},
              {"sent-warm", pending.sentWarm ? 1 : 0},
              {"ran-warm", learned.ranWarm ? 1 : 0},
              {"costly", learned.wasCostly ? 1 : 0}});
}

} // namespace

bool Gateway::isPlacedByWork(const std::string &service) const
{
    if (settings_.workModel == WorkModelMode::Auto)
        return speedTellingServices_.contains(service);
    return settings_.workModel == WorkModelMode::On;
}

void Gateway::hearSpeed(Target &target, const TargetAnswer &answer, TimePoint now)
{
    if (settings_.workModel == WorkModelMode::Off || answer.otherTarget || !answer.load
        || !answer.load->runTimePercent)
        return;
    const int percent = *answer.load->runTimePercent;
    const auto factor = speedFactor(percent);
    if (!factor) {
        if (!std::exchange(target.isOddSpeedLogged, true))
            logEvent(Event::TargetSpeedOdd, {{"target", target.entry.id}, {"percent", percent}});
        return;
    }
    speedTellingServices_.insert(target.entry.service);
    const bool wasReported = speedsToReport_.contains(target.hash);
    target.speed.hear(*factor, now);
    if (percent >= slowPercent || wasReported)
        speedsToReport_[target.hash] = {percent, now};
    std::erase_if(speedsToReport_, [now](const auto &entry) {
        return now - entry.second.statedAt > reportedSpeedAge;
    });
}

void Gateway::applyStatedSpeeds(std::span<const StatedSpeed> speeds)
{
    if (settings_.workModel == WorkModelMode::Off)
        return;
    const TimePoint now = Clock::now();
    for (const auto &[hash, percent, age] : speeds) {
        const auto target = registry_.findByHash(hash);
        const auto factor = speedFactor(percent);
        if (target && factor && age >= Milliseconds::zero() && age <= TargetSpeed::wordLifetime)
            target->speed.hear(*factor, now - age);
    }
}

void Gateway::fillStatedSpeeds(LoadReport &report) const
{
    const TimePoint now = Clock::now();
    for (const auto &[hash, speed] : speedsToReport_) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - speed.statedAt);
        if (age <= reportedSpeedAge && report.statedSpeeds.size() < maxReportedSpeeds)
            report.statedSpeeds.push_back({hash, speed.percent, age});
    }
}

void Gateway::learnWork(const PendingRequest &pending, const TargetAnswer &answer, Duration run,
                        TimePoint now)
{
    Target &target = *pending.target;
    const WorkEstimate &work = pending.sentEstimate;
    const Duration expected = pending.sentWarm ? work.warm : work.cold;
    if (target.coldStartUntil > now || expected <= Duration::zero())
        return;
    const double word = answer.load && answer.load->runTimePercent
            ? speedFactor(*answer.load->runTimePercent).value_or(1)
            : 1;
    const auto cost = std::chrono::duration_cast<Duration>(Seconds(run) / word);
    const auto wasWarm = RunTimeEstimator::classifyRun(work, cost);
    const bool countsAsWarm = wasWarm.value_or(pending.sentWarm);
    metrics_.increment("vane_gateway_runs_learned_total",
                       {{"route", pending.route->name},
                        {"expected", pending.sentWarm ? "warm" : "cold"},
                        {"came",
                         !wasWarm           ? "costly"
                                 : *wasWarm ? "warm"
                                            : "cold"}});
    if (settings_.logLevel == enumName(logLevelNames, LogLevel::Debug)) // many a second
        logRunCost(pending, {expected, run, word, countsAsWarm, !wasWarm});
    // Such a run includes a wait for a slot.
    const bool mayHaveWaited = pending.sentAhead || (answer.load && answer.load->waiting > 0);
    if (mayHaveWaited && work.measured)
        return;
    target.speed.learn(cost, countsAsWarm ? work.warm : work.cold);
    if (target.speed.learnedFactor() >= maxLearningFactor)
        return;
    runTimes_.learnCost(pending.route->name, pending.service, countsAsWarm, cost);
    if (pending.sentObjectDepth && wasWarm)
        warmCapacityOf(pending.service).learn(*pending.sentObjectDepth, *wasWarm);
}

void Gateway::learnRunTime(const PendingRequest &pending, Duration run, TimePoint now)
{
    Target &target = *pending.target;
    const Seconds expected =
            pending.sentWarm ? pending.sentEstimate.warm : pending.sentEstimate.cold;
    const bool inColdStart = target.coldStartUntil > now;
    if (inColdStart || expected.count() <= 0)
        return;
    const double ratio = std::clamp(Seconds(run) / expected, minFactorSample, maxFactorSample);
    target.runTimeFactor += (ratio - target.runTimeFactor) * runTimeFactorWeight;
    if (target.runTimeFactor >= maxLearningFactor)
        return;
    const bool fast = RunTimeEstimator::isWarmRun(pending.sentEstimate, run);
    runTimes_.learn(pending.route->name, pending.service, fast, run);
    if (pending.sentObjectDepth)
        warmCapacityOf(pending.service).learn(*pending.sentObjectDepth, fast);
}

} // namespace chestnutvane
