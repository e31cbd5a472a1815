// Learned state of a gateway: export, and import from earlier instances.

#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

LearnedState Gateway::learnedState() const
{
    LearnedState state;
    state.times = runTimes_.times();
    for (const auto &[service, estimator] : warmCapacities_)
        state.warmCapacities[service] = estimator.warmCapacity();
    for (const auto &[hash, target] : registry_.all()) {
        if (target->region != region_ || target->warmObjects.size() == 0)
            continue;
        const auto found = warmCapacities_.find(target->entry.service);
        const std::size_t warmCapacity = found == warmCapacities_.end()
                ? settings_.assumedWarmCapacity
                : found->second.warmCapacity();
        LearnedTarget learnedTarget{hash, target->entry.startedAt, {}};
        for (const std::uint64_t object : target->warmObjects.objects()) {
            if (learnedTarget.objects.size() < warmCapacity)
                learnedTarget.objects.push_back(object);
        }
        state.targets.push_back(std::move(learnedTarget));
    }
    return state;
}

void Gateway::restoreLearnedState(const LearnedState &state)
{
    runTimes_.restore(state.times);
    for (const auto &[service, warmCapacity] : state.warmCapacities) {
        if (!warmCapacities_.contains(service))
            warmCapacityOf(service).restore(warmCapacity);
    }
    for (const LearnedTarget &learnedTarget : state.targets) {
        const auto target = registry_.findByHash(learnedTarget.target);
        if (!target || target->entry.startedAt != learnedTarget.startedAt)
            continue;
        target->receivedRequest = true;
        for (const std::uint64_t object : learnedTarget.objects)
            target->warmObjects.addOldest(object, WarmCapacityEstimator::maxObjects);
    }
}

} // namespace chestnutvane
