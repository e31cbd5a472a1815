// How fast a target works now, relative to the usual speed of its service.
//
// A target may state with each answer how long work takes at it at that moment. Such a word goes
// stale within fractions of a second, so its weight falls with its age. What the word does not
// explain is learned from runs: the median of the last runs, so that one costly request is not
// charged to the target that ran it.
//
// Example:
//
//   target.speed.hear(speedFactor(250), now); // work takes 2.5 times as long
//   target.speed.learn(run, expectedRun);
//   double factor = target.speed.factorAt(now);
//
// Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Returns the run time factor that a target states as a percentage of its usual run time. Nothing
// if the figure is not plausible; a figure that is extreme but plausible is clamped.
std::optional<double> speedFactor(int percent);

class TargetSpeed
{
public:
    // How long a word counts. Targets change their speed several times a second.
    static constexpr Milliseconds wordLifetime{600};

    // Records the factor that the target stated at the time given, unless a later word is known.
    void hear(double factor, TimePoint at);

    // Records a run. `run` is divided by the word that came with the answer, if there was one;
    // `expected` is the usual run time of the request at a target of normal speed.
    void learn(Duration run, Duration expected);

    // The run time expected now, relative to a target of normal speed.
    [[nodiscard]] double factorAt(TimePoint now) const;

    // The part of the factor that was learned from runs.
    [[nodiscard]] double learnedFactor() const { return learned_; }

    // Moves the learned factor towards 1 by a share, so that an avoided target is tried again.
    void decay(double share) { learned_ += (1 - learned_) * share; }

    // The last word, and when it was stated.
    [[nodiscard]] double word() const { return word_; }
    [[nodiscard]] TimePoint wordAt() const { return wordAt_; }

private:
    double word_ = 1;
    TimePoint wordAt_;
    double learned_ = 1;
    static constexpr std::size_t sampleCount = 3;
    std::array<double, sampleCount> samples_{1, 1, 1}; // of the last runs
    std::size_t nextSample_ = 0;
};

} // namespace chestnutvane
