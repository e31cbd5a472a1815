// Progress of the moves (design page, section 7.4): one number in the store for each move, raised
// by compare-and-swap.
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

// The value of the key move/ID.
struct MoveValue
{
    double progress = 0; // 0 to 1
    std::uint64_t step = 0; // number of steps taken

    friend bool operator==(const MoveValue &, const MoveValue &) = default;
};

std::string moveKey(std::string_view moveName);
std::string encodeMoveValue(const MoveValue &value);

struct MoveValueError
{
    std::string detail;
};

// Reads the JSON of a key move/ID. Never throws on malformed input.
Result<MoveValue, MoveValueError> decodeMoveValue(std::string_view text);

// Why an instance does not take the next step.
enum class MoveWait {
    None, // take the step
    Done, // the progress is 1
    NotSeen, // the key has not been read yet
    StepInterval, // less than a step interval since the last change was seen
    LowHeadroom, // the destination has too little headroom, or none is known
    LinkAtCap, // the link to the destination is at its cap
    HighLatency, // latency in the destination is above its long-term mean, caches are cold
    StoreUnreachable, // the store cannot be reached
    Adoption, // an instance that may be answering does not use the current step yet
    DestinationDrained,
};

inline constexpr EnumName<MoveWait> moveWaitNames[] = {
        {MoveWait::None, "none"},
        {MoveWait::Done, "done"},
        {MoveWait::NotSeen, "not-seen"},
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
    Milliseconds stepInterval{5000};
    Milliseconds window{60000}; // of the cap
    Milliseconds lookUpTtl{2000};
    // Longest time by which an instance that still answers look-ups may use an old value: 4 s until
    // an instance without contact stops, and 1 s for watch and heartbeat.
    Milliseconds maxLag{5000};
    double minHeadroom = 0.15;
    double maxLatencyRatio = 1.5;
};

// Measurements of the destination.
struct MoveConditions
{
    bool storeReachable = false;
    bool destinationDrained = false;
    std::optional<double> headroom; // aged, 0 to 1
    double recentLatencyMs = 0; // mean of the last step interval; 0: no request
    double longTermLatencyMs = 0; // 0: not known
    double linkUse = 0; // share of the link's capacity, estimated
    double linkCap = 1; // share of the link's capacity that steering may fill
    // Lowest step that any serving instance uses; nothing: no instance reports the move. A silent
    // instance counts with its last report while the platform lists it as live: cut off with its
    // callers it may still answer with old progress, and the callers would jump if it died.
    std::optional<std::uint64_t> lowestAdoptedStep;
    double shiftCapPercent = 100; // rule "cap shift=all"
    int activeMoves = 1; // moves that are not done and share shiftCapPercent
};

struct StepDecision
{
    MoveWait wait = MoveWait::NotSeen;
    MoveValue next; // valid if wait is None
    std::uint64_t expectedVersion = 0; // for the compare-and-swap; 0: the key does not exist yet
};

// Size of one step of progress, as a share of the callers of the source region. The number of steps
// that can affect callers within one window is floor((window + TTL + lag) / interval) + 1, because
// a cached answer shows the progress of up to a TTL and a lag ago and a closed window holds both of
// its ends; the cap is divided by that number.
double stepSize(const MoveRule &rule, const MoveOptions &options, double shiftCapPercent = 100,
                int activeMoves = 1);

// Share of callers whose answer in force, new or cached, names the destination at a time.
struct ShareSample
{
    TimePoint time;
    double share = 0;
};

// Returns the largest rise between two samples that are at most a window apart, for comparison with
// the cap. The samples are in the order of time.
double largestRise(std::span<const ShareSample> samples, Milliseconds window);

// What one instance knows of all moves.
class MoveProgress
{
public:
    explicit MoveProgress(MoveOptions options) : options_(options) { }

    // Notes the value of a move's key. Older steps are ignored. "version" is the store version of
    // the key, 0 if the value came from a peer. A missing key is observed as MoveValue{} with
    // version 0.
    void observe(const std::string &move, const MoveValue &value, std::uint64_t version,
                 TimePoint now);

    // Tells that this instance has answered no look-up for at least a TTL (it just started or was
    // isolated), so no caller holds one of its answers: the next adopted() takes the seen value.
    void adoptSeenImmediately();

    // Decides whether this instance may try the next step.
    StepDecision nextStep(const std::string &move, const MoveRule &rule,
                          const MoveConditions &conditions, TimePoint now) const;

    // Progress to use in answers at the time: follows the seen value by at most one step per step
    // interval. 0 for an unknown move. Call it also before each heartbeat, as it moves
    // adoptedStep() on.
    double adopted(const std::string &move, TimePoint now);

    // Step to which adopted() belongs, for the heartbeat.
    std::uint64_t adoptedStep(const std::string &move) const;
    std::optional<MoveValue> seen(const std::string &move) const;

    // Forgets moves that are in no rule any more.
    template <class Predicate>
    void eraseMovesExcept(Predicate isInRules)
    {
        std::erase_if(moves_, [&](const auto &entry) { return !isInRules(entry.first); });
    }

private:
    struct State
    {
        MoveValue seen;
        std::uint64_t version = 0;
        bool versionKnown = false;
        TimePoint changedAt; // when this instance saw the last change
        MoveValue adopted;
        TimePoint adoptedAt;
        bool adoptImmediately = false;
    };

    MoveOptions options_;
    std::map<std::string, State> moves_;
};

} // namespace chestnutvane
