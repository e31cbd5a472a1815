// Tracks the progress of moves. A move shifts the callers of a service from a source region to a
// destination region in steps. The store holds the progress of each move under one key, and the
// instances of the destination raise it by compare-and-swap (design page, section 7.4). All
// instances observe the key, and adopt its value by at most one step per step interval.
//
// Example, in an instance of the destination:
//
//   progress.observe("south", parsedValue, entry.version, now);     // store watch or heartbeat
//   StepDecision decision = progress.nextStep("south", rule, conditions, now);
//   if (decision.wait == MoveWait::None)
//       store.compareAndSwap({moveKey("south"), decision.expectedVersion,
//                             encodeMoveValue(decision.next)}, ...);
//   inputs.moveProgress = progress.adopted("south", now);
//
// MoveProgress is not thread-safe; the daemon guards it by the membership lock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/version/rule_set.h"

namespace chestnutvane {

// Value of the store key move/NAME.
struct MoveValue
{
    double progress = 0; // completed share of the move, 0 to 1
    std::uint64_t step = 0; // number of steps so far

    friend bool operator==(const MoveValue &, const MoveValue &) = default;
};

std::string moveKey(std::string_view moveName);
std::string encodeMoveValue(const MoveValue &value);

struct MoveValueError
{
    std::string detail;
};

// Decodes the JSON value of a key move/NAME. Never throws on malformed input.
Result<MoveValue, MoveValueError> decodeMoveValue(std::string_view text);

// Reason why an instance does not take the next step of a move.
enum class MoveWait {
    None, // no reason to wait: take the step
    Done, // the progress is 1: the move is complete
    NotObserved, // this instance has not read the current value of the key from the store
    StepInterval, // the value changed less than a step interval ago
    LowHeadroom, // the headroom of the destination is below the minimum or unknown
    LinkAtCap, // the utilisation of the link has reached its cap
    HighLatency, // latency far above the long-term mean, as with cold caches
    StoreUnreachable, // the store cannot be reached
    Adoption, // an instance that may answer look-ups has not adopted the current step
    DestinationDrained,
};

inline constexpr EnumName<MoveWait> moveWaitNames[] = {
        {MoveWait::None, "none"},
        {MoveWait::Done, "done"},
        {MoveWait::NotObserved, "not-seen"},
        {MoveWait::StepInterval, "step-interval"},
        {MoveWait::LowHeadroom, "headroom"},
        {MoveWait::LinkAtCap, "link"},
        {MoveWait::HighLatency, "cold"},
        {MoveWait::StoreUnreachable, "store"},
        {MoveWait::Adoption, "adoption"},
        {MoveWait::DestinationDrained, "destination-drained"},
};

struct MoveOptions
{
    Milliseconds stepInterval{5000}; // shortest time between two steps
    Milliseconds window{60000}; // within which the cap limits the share of moved callers
    Milliseconds lookUpTtl{2000}; // time for which callers cache an answer
    // Longest time for which an instance that answers look-ups may use an outdated value: an
    // instance without contact stops answering after 4 s, and watch and heartbeat take up to 1 s.
    Milliseconds maxLag{5000};
    double minHeadroom = 0.15; // of the destination, 0 to 1
    double maxLatencyRatio = 1.5; // of recent to long-term mean latency
};

// State of the destination, the link to it and the other instances, on which a step depends.
struct MoveConditions
{
    bool storeReachable = false;
    bool destinationDrained = false;
    std::optional<double>
            headroom; // 0 to 1, corrected for the age of the reports; empty if unknown
    double recentLatencyMs = 0; // recent mean; 0: no requests
    double longTermLatencyMs = 0; // 0: unknown
    double linkUse = 0; // estimated utilisation of the link, as a share of its capacity
    double linkCap = 1; // utilisation up to which steering may add load
    // Lowest step that any serving instance has adopted; empty if no instance reports the move. An
    // instance that sends no heartbeats counts with its last report as long as the platform lists
    // it as live. It may be partitioned together with its callers and still answer with outdated
    // progress. If it then died, all its callers would move at once.
    std::optional<std::uint64_t> lowestAdoptedStep;
    double shiftCapPercent = 100; // percent per minute; rule "cap shift=all"
    int activeMoves = 1; // number of unfinished moves, which share shiftCapPercent
};

struct StepDecision
{
    MoveWait wait = MoveWait::NotObserved;
    MoveValue next; // valid if wait is None
    std::uint64_t expectedVersion = 0; // for the compare-and-swap; 0: the key does not exist yet
};

// Returns the size of one step, as a share of the callers of the source region. This is the cap
// divided by the number of steps that can affect callers within one window:
// floor((window + TTL + lag) / interval) + 1. A cached answer can be based on progress that is a
// TTL plus a lag old, which extends the window; the 1 is added because the window is closed at both
// ends.
double stepSize(const MoveRule &rule, const MoveOptions &options, double shiftCapPercent = 100,
                int activeMoves = 1);

// Share of the callers whose current answer, new or cached, names the destination.
struct ShareSample
{
    TimePoint time;
    double share = 0;
};

// Returns the largest increase of the share between two samples that are at most a window apart,
// for comparison with the cap. The samples must be ordered by time.
double largestRise(std::span<const ShareSample> samples, Milliseconds window);

// Progress of all moves as observed and adopted by one instance.
class MoveProgress
{
public:
    explicit MoveProgress(MoveOptions options) : options_(options) { }

    // Records an observed value of a move's key. Values with a lower step than the recorded one are
    // ignored. "version" is the store version of the key, or 0 if the value came from a peer. For
    // a missing key pass MoveValue{} and version 0.
    void observe(const std::string &move, const MoveValue &value, std::uint64_t version,
                 TimePoint now);

    // Lets the next adopted() return the observed value without the limit of one step per interval.
    // Call it if this instance has answered no look-up for at least a TTL, because it just started
    // or was isolated: then no caller has a cached answer of this instance.
    void adoptObservedImmediately();

    // Decides whether this instance may try to write the next step to the store.
    StepDecision nextStep(const std::string &move, const MoveRule &rule,
                          const MoveConditions &conditions, TimePoint now) const;

    // Advances the adopted progress towards the observed value, by at most one step per step
    // interval, and returns it for use in answers; 0 for an unknown move. Call it also before each
    // heartbeat, so that adoptedStep() is up to date.
    double adopted(const std::string &move, TimePoint now);

    // Returns the step of the adopted progress, for the heartbeat; 0 for an unknown move.
    std::uint64_t adoptedStep(const std::string &move) const;

    // Returns the observed value with the highest step; nothing for an unknown move.
    std::optional<MoveValue> observed(const std::string &move) const;

    // Erases the moves for which the predicate is false, such as those without a rule.
    template <class Predicate>
    void eraseMovesExcept(Predicate isInRules)
    {
        std::erase_if(moves_, [&](const auto &entry) { return !isInRules(entry.first); });
    }

private:
    struct State
    {
        MoveValue observed;
        std::uint64_t version = 0;
        bool versionKnown = false;
        TimePoint changedAt; // when this instance observed the last change
        MoveValue adopted;
        TimePoint adoptedAt;
        bool adoptImmediately = false;
    };

    MoveOptions options_;
    std::map<std::string, State> moves_;
};

} // namespace chestnutvane
