#include "chestnutvane/process/fault_policies.h"

#include <optional>

namespace chestnutvane {
namespace {

class OneQueuePolicy : public FaultPolicy
{
public:
    explicit OneQueuePolicy(FaultSimulation &simulation)
        : simulation_(simulation), queues_(static_cast<std::size_t>(simulation.settings().regions))
    { }

    void requestArrived(std::size_t request) override
    {
        const int region = simulation_.regionOf(simulation_.requests[request].instance);
        queues_[static_cast<std::size_t>(region)].push_back(request);
        dispatchQueued(region);
    }

    void exchangeEnded(std::size_t /*request*/, std::size_t target, GrantResult /*result*/) override
    {
        dispatchQueued(simulation_.targets[target].region);
    }

    void reportReceived(const FaultReport &report) override
    {
        dispatchQueued(simulation_.targets[report.target].region);
    }

private:
    bool hasFreeSlot(const FaultTarget &target) const
    {
        return target.alive && !target.leaving && target.load() < simulation_.settings().slots;
    }

    void dispatchQueued(int region)
    {
        auto &queue = queues_[static_cast<std::size_t>(region)];
        for (std::size_t i = 0; i < simulation_.targets.size(); ++i) {
            const FaultTarget &target = simulation_.targets[i];
            while (target.region == region && hasFreeSlot(target) && !queue.empty()) {
                const std::size_t request = queue.front();
                queue.pop_front();
                if (!simulation_.requests[request].ended) // its instance has not died
                    simulation_.send(request, i);
            }
        }
    }

    FaultSimulation &simulation_;
    std::vector<std::deque<std::size_t>> queues_; // by region
};

class LeastReportedLoadPolicy : public FaultPolicy
{
public:
    explicit LeastReportedLoadPolicy(FaultSimulation &simulation)
        : simulation_(simulation), reports_(simulation.targets.size())
    { }

    void requestArrived(std::size_t request) override { sendToLeastLoaded(request); }

    void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) override
    {
        if (result != GrantResult::ConnectFailed)
            return;
        TriedTargets &tried = simulation_.requests[request].tried;
        tried.add(target);
        if (tried.count == TriedTargets::capacity)
            simulation_.refuse(request);
        else
            sendToLeastLoaded(request);
    }

    void reportReceived(const FaultReport &report) override { reports_[report.target] = report; }

private:
    void sendToLeastLoaded(std::size_t index)
    {
        const FaultRequest &request = simulation_.requests[index];
        const auto count = static_cast<std::size_t>(simulation_.settings().targets);
        const auto first = static_cast<std::size_t>(simulation_.regionOf(request.instance)) * count;
        const std::size_t start = simulation_.random() % count;
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t target = first + (start + i) % count;
            if (reports_[target].leaving || request.tried.contains(target))
                continue;
            if (!best || reports_[target].load < reports_[*best].load)
                best = target;
        }
        if (best)
            simulation_.send(index, *best);
        else
            simulation_.refuse(index);
    }

    FaultSimulation &simulation_;
    std::vector<FaultReport> reports_; // the latest report of each target
};

} // namespace

std::unique_ptr<FaultPolicy> makeOneQueuePolicy(FaultSimulation &simulation)
{
    return std::make_unique<OneQueuePolicy>(simulation);
}

std::unique_ptr<FaultPolicy> makeLeastReportedLoadPolicy(FaultSimulation &simulation)
{
    return std::make_unique<LeastReportedLoadPolicy>(simulation);
}

} // namespace chestnutvane
