// Simulates the callers, targets and instances of slot_fault_model.h. A FaultPolicy decides where
// requests go. The simulation carries out the decisions, injects the fault and measures.
//
// Example:
//
//   FaultSimulation simulation(settings);
//   FaultModelResult result = simulation.run(*makeBrokerPolicy(simulation));
//
// Times and durations are in ms of model time. Not thread-safe.
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
    double sentAt = 0; // when the caller sent it
    double serviceMs = 0;
    int region = 0; // of the caller
    int instance = 0; // that handles it
    TriedTargets tried; // targets that refused its connection
    bool ended = false; // completed, refused or lost
};

struct FaultTarget
{
    int region = 0;
    bool alive = true;
    bool leaving = false;
    std::uint64_t startId = 1; // changes with each restart
    double coldUntil = 0; // requests that start earlier take three times as long
    std::vector<std::size_t> running;
    std::deque<std::size_t> waiting; // arrived while all its slots were in use

    // Requests that run or wait on the target.
    [[nodiscard]] int load() const { return static_cast<int>(running.size() + waiting.size()); }
};

// The periodic report of a target.
struct FaultReport
{
    std::size_t target = 0;
    int load = 0; // FaultTarget::load()
    bool leaving = false;
    std::uint64_t startId = 0;
};

// Decides to which target each request is sent, or whether it is refused.
class FaultPolicy
{
public:
    FaultPolicy() = default;
    virtual ~FaultPolicy() = default;
    FaultPolicy(const FaultPolicy &) = delete;
    FaultPolicy &operator=(const FaultPolicy &) = delete;

    // A request has arrived at its instance.
    virtual void requestArrived(std::size_t request) = 0;
    // An exchange has ended and the request's instance, which is alive, has received the result.
    virtual void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) = 0;
    // A report of a target has arrived.
    virtual void reportReceived(const FaultReport & /*report*/) { }
    // An instance has died. isAlive() is already false for it.
    virtual void instanceDied(int /*instance*/) { }
};

class FaultSimulation
{
public:
    explicit FaultSimulation(const FaultModelSettings &settings);

    // Runs all events with the given policy. To be called once.
    FaultModelResult run(FaultPolicy &policy);

    // Sends a request to a target. The policy gets the result by exchangeEnded().
    void send(std::size_t request, std::size_t target);
    // Ends a request that was not run by any target.
    void refuse(std::size_t request);

    // One-way delay of a message between two instances.
    [[nodiscard]] double delay(int from, int to) const;
    [[nodiscard]] int regionOf(int instance) const { return instance / settings_.instances; }
    [[nodiscard]] bool isAlive(int instance) const
    {
        return instanceAlive_[static_cast<std::size_t>(instance)];
    }
    // Whether periodic events are to be scheduled again. They end two deadlines after the last
    // arrival, so that the run ends.
    [[nodiscard]] bool isRunning() const
    {
        return schedule.now() < settings_.durationMs + 2 * settings_.deadlineMs;
    }
    [[nodiscard]] const FaultModelSettings &settings() const { return settings_; }

    Schedule schedule;
    std::vector<FaultRequest> requests;
    std::vector<FaultTarget> targets;
    std::mt19937_64 random; // for the policy; the arrivals have a generator of their own

private:
    void makeRequests();
    // Delivers a request to its instance, or to another one if that is dead.
    void routeToInstance(std::size_t request);
    // Handles the arrival of a request at a target.
    void dispatch(std::size_t request, std::size_t target);
    // Starts waiting requests of a target while slots are free.
    void startWaiting(std::size_t target);
    // Ends a request that ran to completion on the target.
    void complete(std::size_t request, std::size_t target);
    // Reports the result of an exchange to the request's instance, after the network delay.
    void endExchange(std::size_t request, std::size_t target, GrantResult result);
    void sendReports();
    void sampleHeadroom();
    void applyFault();
    void killTarget(std::size_t target);
    void killInstance(int instance);
    // One-way delay between a request's instance and a target.
    double targetDelay(std::size_t request, std::size_t target) const;

    FaultModelSettings settings_;
    FaultPolicy *policy_ = nullptr;
    std::vector<bool> instanceAlive_;
    std::vector<double> latencies_;
    std::vector<double> freeSlotSums_; // by region, summed over the samples of the current second
    int sampleCount_ = 0; // in the current second
    FaultModelResult result_;
};

} // namespace chestnutvane
