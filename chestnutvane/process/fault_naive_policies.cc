#include "chestnutvane/process/fault_policies.h"

#include <optional>

namespace chestnutvane {
namespace {

class OneQueuePolicy : public FaultPolicy
{
public:
    explicit OneQueuePolicy(FaultModelWorld &world)
        : world_(world), queues_(static_cast<std::size_t>(world.settings().regions))
    { }

    void arrive(std::size_t request) override
    {
        const int region = world_.regionOf(world_.requests[request].instance);
        queues_[static_cast<std::size_t>(region)].push_back(request);
        serve(region);
    }

    void exchangeEnded(std::size_t /*request*/, std::size_t target, GrantResult /*result*/) override
    {
        serve(world_.targets[target].region);
    }

    void report(const FaultReport &report) override { serve(world_.targets[report.target].region); }

private:
    bool isFree(const FaultTarget &target) const
    {
        return target.alive && !target.leaving && target.load() < world_.settings().slots;
    }

    void serve(int region)
    {
        auto &queue = queues_[static_cast<std::size_t>(region)];
        for (std::size_t i = 0; i < world_.targets.size(); ++i) {
            const FaultTarget &target = world_.targets[i];
            while (target.region == region && isFree(target) && !queue.empty()) {
                const std::size_t request = queue.front();
                queue.pop_front();
                if (!world_.requests[request].ended) // by the death of its instance
                    world_.send(request, i);
            }
        }
    }

    FaultModelWorld &world_;
    std::vector<std::deque<std::size_t>> queues_; // by region
};

class LeastReportedPolicy : public FaultPolicy
{
public:
    explicit LeastReportedPolicy(FaultModelWorld &world)
        : world_(world), reports_(world.targets.size())
    { }

    void arrive(std::size_t request) override { choose(request); }

    void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) override
    {
        if (result != GrantResult::ConnectFailed)
            return;
        TriedTargets &tried = world_.requests[request].tried;
        tried.add(target);
        if (tried.count == TriedTargets::capacity)
            world_.refuse(request);
        else
            choose(request);
    }

    void report(const FaultReport &report) override { reports_[report.target] = report; }

private:
    void choose(std::size_t index)
    {
        const FaultRequest &request = world_.requests[index];
        const auto count = static_cast<std::size_t>(world_.settings().targets);
        const auto first = static_cast<std::size_t>(world_.regionOf(request.instance)) * count;
        const std::size_t start = world_.random() % count;
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t target = first + (start + i) % count;
            if (reports_[target].leaving || request.tried.contains(target))
                continue;
            if (!best || reports_[target].load < reports_[*best].load)
                best = target;
        }
        if (best)
            world_.send(index, *best);
        else
            world_.refuse(index);
    }

    FaultModelWorld &world_;
    std::vector<FaultReport> reports_; // the last one of each target
};

} // namespace

std::unique_ptr<FaultPolicy> makeOneQueuePolicy(FaultModelWorld &world)
{
    return std::make_unique<OneQueuePolicy>(world);
}

std::unique_ptr<FaultPolicy> makeLeastReportedPolicy(FaultModelWorld &world)
{
    return std::make_unique<LeastReportedPolicy>(world);
}

} // namespace chestnutvane
