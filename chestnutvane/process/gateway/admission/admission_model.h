// For tests: plays bursts of requests on the targets of one region that several instances share.
//
// Instances know their own attempts at once and those of the others from periodic reports. A caller
// whose request is refused returns once, with the aim and deadline of its first attempt.
//
// Example:
//
//   const ModelResult result = AdmissionModel(setup, ModelPolicy::FairShares, seed).run();
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/admission/arrival_rates.h"
#include "chestnutvane/process/gateway/admission/fair_order.h"
#include "chestnutvane/process/gateway/admission/return_time.h"
#include "chestnutvane/process/gateway/admission/scarce_slots.h"
#include "chestnutvane/process/gateway/admission/team_shares.h"

namespace chestnutvane {

enum class ModelPolicy {
    FirstCome, // waits at the instance for a free slot, in the order of arrival
    LeastLoaded, // sent at once to the target with the fewest requests, which queues it
    ImportanceFirst, // late requests last, then by importance and arrival
    FairShares, // the modules of this folder
};

inline constexpr EnumName<ModelPolicy> modelPolicyNames[] = {
        {ModelPolicy::FirstCome, "first-come"},
        {ModelPolicy::LeastLoaded, "least-loaded"},
        {ModelPolicy::ImportanceFirst, "importance-first"},
        {ModelPolicy::FairShares, "fair-shares"},
};

struct ModelBurst
{
    double factor = 1;
    Duration from{0};
    Duration to{0};
};

struct ModelKind
{
    int importance = 0; // 0 is the most important
    Milliseconds run{0}; // mean; runs vary by a factor of 0.6 to 1.4
    Milliseconds aim{0};
    Milliseconds limit{0};
    double perSecond = 0;
    ModelBurst burst;
};

struct ModelSetup
{
    std::vector<ModelKind> kinds;
    std::size_t targets = 12;
    int slots = 8; // of each target
    std::size_t instances = 8;
    Milliseconds reportInterval{200};
    std::vector<double> teamWeights; // usual shares of the requests
    std::size_t burstTeam = 0;
    ModelBurst teamBurst;
    Milliseconds length{24000};
};

// Requests by how they ended.
struct ModelCounts
{
    int asked = 0;
    int inAim = 0;
    int late = 0; // answered after the aim

    [[nodiscard]] double inAimShare() const { return share(inAim); }
    [[nodiscard]] double servedShare() const { return share(inAim + late); }

private:
    [[nodiscard]] double share(int count) const
    {
        return asked == 0 ? 0 : static_cast<double>(count) / asked;
    }
};

struct ModelResult
{
    std::vector<ModelCounts> kinds;
    std::vector<ModelCounts> kindsInBurst; // of requests that arrive in a burst of any kind
    std::vector<ModelCounts> teamsInBurst; // of requests that arrive in the burst of the team
};

class AdmissionModel
{
public:
    AdmissionModel(ModelSetup setup, ModelPolicy policy, unsigned seed);
    ModelResult run();

private:
    struct Request
    {
        std::size_t kind = 0;
        std::size_t team = 0;
        TimePoint arrival;
        Duration run{0};
        std::size_t instance = 0;
        bool hasReturned = false;
    };
    struct Running
    {
        Request request;
        TimePoint endsAt;
    };
    struct TargetState
    {
        std::vector<Running> running;
        std::deque<Request> queue;
    };
    struct InstanceState
    {
        std::vector<Request> waiting;
        std::vector<int> inFlight; // by target
        std::vector<int> reportedInFlight; // as others know it
        TeamShares shares{TimePoint{}};
        ArrivalRates arrivals;
        std::deque<TimePoint> refusals; // within maxReturnTime
    };

    [[nodiscard]] const ModelKind &kindOf(const Request &request) const
    {
        return setup_.kinds[request.kind];
    }
    [[nodiscard]] Duration timeToAim(const Request &request) const
    {
        return request.arrival + kindOf(request).aim - now_;
    }
    [[nodiscard]] Duration timeToLimit(const Request &request) const
    {
        return request.arrival + kindOf(request).limit - now_;
    }
    void addArrivals();
    void accept(Request request, std::size_t instance);
    void advanceTarget(std::size_t target);
    void start(std::size_t target, const Request &request);
    void report(std::size_t instance);
    void place(std::size_t instance);
    void order(InstanceState &state) const;
    [[nodiscard]] bool isHeld(const InstanceState &state, const Request &request,
                              const std::vector<int> &loads) const;
    // Whether a request for which no slot is free is queued at the target.
    [[nodiscard]] bool isQueuedAt(const InstanceState &state, const Request &request,
                                  int load) const;
    [[nodiscard]] bool canBeServed(const Request &request, std::size_t ahead) const;
    void refuse(const Request &request, InstanceState &state);
    void count(const Request &request, bool isAnswered);

    ModelSetup setup_;
    ModelPolicy policy_;
    std::mt19937 random_;
    TimePoint now_;
    Duration meanRun_{0};
    std::vector<TargetState> targets_;
    std::vector<InstanceState> instances_;
    std::vector<std::pair<TimePoint, Request>> returning_;
    ModelResult result_;
};

} // namespace chestnutvane
