// Simulation of several instances that place requests on shared targets, for tests of placement.
//
// Requests have a heavy tail of costs, targets turn slow and back several times a second, and
// instances know each other's attempts from reports only. Steps of 1 ms, a fixed seed.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/gateway/work/placement.h"
#include "chestnutvane/process/gateway/work/work_times.h"

namespace chestnutvane {

enum class PlacementPolicy {
    ByWork, // distribution of the cost, stated speed, sends ahead
    ByRunTime, // mean run times, as for services whose targets do not state their speed
    LeastRequests,
    TwoChoices, // the less loaded of two random targets
};

inline constexpr EnumName<PlacementPolicy> placementPolicyNames[] = {
        {PlacementPolicy::ByWork, "by work"},
        {PlacementPolicy::ByRunTime, "by run time"},
        {PlacementPolicy::LeastRequests, "least requests"},
        {PlacementPolicy::TwoChoices, "two choices"},
};

struct SimulatedLoad
{
    std::size_t targets = 12;
    std::size_t instances = 8;
    double costlyShare = 0; // of the requests; they cost costlyFactor times as much
    double slowShare = 0; // of the targets at any moment; work takes slowFactor times as long there
    double lostReportShare = 0;
    bool isOneInstanceCutOff = false; // neither sends nor receives reports
    bool doTargetsLie = false; // one target in twelve states the opposite of its speed
    int reportPeriodMs = 270; // plus 30 ms on the way: reports are 30 to 300 ms old
};

struct SimulatedOutcome
{
    double inAim = 0; // share of the requests
    int p50Ms = 0; // of the answered requests
    int p99Ms = 0;
};

class WorkPlacementSimulation
{
public:
    WorkPlacementSimulation(const SimulatedLoad &load, PlacementPolicy policy);

    // Simulates requests that use nine tenths of the slots if they run where their object is held.
    SimulatedOutcome run(int seconds);

private:
    struct Request
    {
        int arrival = 0;
        std::uint64_t object = 0;
        double cost = 1;
    };
    struct Run
    {
        Request request;
        std::size_t instance = 0;
        bool sentWarm = false;
        bool sentAhead = false;
        WorkEstimate estimate;
        int sent = 0;
        int end = 0;
    };
    struct SimulatedTarget
    {
        std::vector<Run> running;
        std::deque<Run> queued;
        WarmObjects warmObjects;
        bool slow = false;
        int nextChange = 0;
    };
    struct View // what an instance knows of a target
    {
        int inFlight = 0;
        int reported = 0; // of inFlight, in the last report that arrived at the others
        double runTimeFactor = 1;
        TargetSpeed speed;
    };
    struct SpeedWord
    {
        std::size_t target = 0;
        double factor = 1;
        int statedAt = 0;
    };
    struct Instance
    {
        std::vector<Request> waiting;
        std::vector<View> views;
        std::vector<SpeedWord> words; // since the last report
        RunTimeEstimator runTimes;
        bool isPassDue = false;
    };

    [[nodiscard]] TimePoint time(int ms) const { return TimePoint{} + Milliseconds(1000 + ms); }
    [[nodiscard]] bool isCutOff(std::size_t instance) const;
    [[nodiscard]] int statedPercent(std::size_t target) const;
    void advanceTargets();
    void onAnswer(std::size_t target, const Run &run);
    void report(std::size_t instance);
    void placeAll(std::size_t index);
    Placement choose(const Request &request, std::size_t index, std::vector<Candidate> &candidates,
                     const WorkEstimate &work);
    void fillCandidates(std::size_t index, std::vector<Candidate> &candidates);
    void decay();

    SimulatedLoad load_;
    PlacementPolicy policy_;
    std::mt19937 arrivals_{17}; // of requests; the same for each policy
    std::mt19937 speeds_{18}; // of targets; the same for each policy
    std::mt19937 random_{19};
    std::vector<SimulatedTarget> targets_;
    std::vector<Instance> instances_;
    std::vector<int> reportedSums_; // by target
    std::vector<double> ranks_; // of the targets for each object
    std::vector<int> responseTimes_;
    int asked_ = 0;
    int inAim_ = 0;
    int now_ = 0;
};

} // namespace chestnutvane
