// The callers, targets and instances of slot_fault_model.h. Policies decide what they do; the world
// carries it out, applies the fault and measures.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/process/model_schedule.h"
#include "chestnutvane/process/slot_fault_model.h"

namespace chestnutvane {

struct FaultRequest
{
    double sentAt = 0; // sent by the caller
    double serviceMs = 0;
    int region = 0; // of the caller
    int instance = 0;
    TriedTargets tried;
    bool ended = false;
};

struct FaultTarget
{
    int region = 0;
    bool alive = true;
    bool leaving = false;
    std::uint64_t startId = 1;
    double coldUntil = 0; // work that starts before this time takes three times as long
    std::vector<std::size_t> running;
    std::deque<std::size_t> waiting; // sent to it when its slots were in use

    [[nodiscard]] int load() const { return static_cast<int>(running.size() + waiting.size()); }
};

// What a target says about itself.
struct FaultReport
{
    std::size_t target = 0;
    int load = 0; // requests that run or wait on it
    bool leaving = false;
    std::uint64_t startId = 0;
};

// The decisions of one policy.
class FaultPolicy
{
public:
    FaultPolicy() = default;
    virtual ~FaultPolicy() = default;
    FaultPolicy(const FaultPolicy &) = delete;
    FaultPolicy &operator=(const FaultPolicy &) = delete;

    // A request has reached its instance.
    virtual void requestArrived(std::size_t request) = 0;
    // An exchange has ended, as its instance sees it. The instance is alive.
    virtual void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) = 0;
    virtual void reportReceived(const FaultReport & /*report*/) { }
    virtual void instanceDied(int /*instance*/) { }
};

class FaultSimulation
{
public:
    explicit FaultSimulation(const FaultModelSettings &settings);

    FaultModelResult run(FaultPolicy &policy);

    // Sends a request to a target; exchangeEnded() tells the result.
    void send(std::size_t request, std::size_t target);
    // Ends a request without an answer of a target.
    void refuse(std::size_t request);

    // One-way delay of a message between two instances.
    [[nodiscard]] double delay(int from, int to) const;
    [[nodiscard]] int regionOf(int instance) const { return instance / settings_.instances; }
    [[nodiscard]] bool isAlive(int instance) const
    {
        return instanceAlive_[static_cast<std::size_t>(instance)];
    }
    // Whether periodic work goes on; it ends some time after the last arrival.
    [[nodiscard]] bool isRunning() const
    {
        return schedule.now() < settings_.durationMs + 2 * settings_.deadlineMs;
    }
    [[nodiscard]] const FaultModelSettings &settings() const { return settings_; }

    Schedule schedule;
    std::vector<FaultRequest> requests;
    std::vector<FaultTarget> targets;
    std::mt19937_64 random; // for policies

private:
    void makeRequests();
    void routeToInstance(std::size_t request);
    void dispatch(std::size_t request, std::size_t target);
    void startWaiting(std::size_t target);
    void complete(std::size_t request, std::size_t target);
    void endExchange(std::size_t request, std::size_t target, GrantResult result);
    void sendReports();
    void sampleHeadroom();
    void applyFault();
    void killTarget(std::size_t target);
    void killInstance(int instance);
    double targetDelay(std::size_t request, std::size_t target) const;

    FaultModelSettings settings_;
    FaultPolicy *policy_ = nullptr;
    std::vector<bool> instanceAlive_; // by instance
    std::vector<double> latencies_;
    std::vector<double> freeSlotSums_; // by region, over the samples of the current second
    int sampleCount_ = 0;
    FaultModelResult result_;
};

} // namespace chestnutvane
