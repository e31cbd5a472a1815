// Learned state of a gateway: export, and import from earlier instances.

#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

LearnedState Gateway::learned() const
{
    LearnedState state;
    state.times = runTimes_.times();
    for (const auto &[service, estimator] : warmCapacities_)
        state.keptObjects[service] = estimator.warmCapacity();
    for (const auto &[hash, target] : registry_.all()) {
        if (target->region != region_ || target->warmObjects.size() == 0)
            continue;
        const auto found = warmCapacities_.find(target->entry.service);
        const std::size_t learnedCapacity = found == warmCapacities_.end()
                ? settings_.assumedWarmCapacity
                : found->second.warmCapacity();
        LearnedTarget learned{hash, target->entry.startedAt, {}};
        for (const std::uint64_t object : target->warmObjects.objects()) {
            if (learned.objects.size() < learnedCapacity)
                learned.objects.push_back(object);
        }
        state.targets.push_back(std::move(learned));
    }
    return state;
}

void Gateway::restoreLearned(const LearnedState &state)
{
    runTimes_.restore(state.times);
    for (const auto &[service, learnedCapacity] : state.keptObjects) {
        if (!warmCapacities_.contains(service))
            warmCapacityOf(service).restore(learnedCapacity);
    }
    for (const LearnedTarget &learned : state.targets) {
        const auto target = registry_.findByHash(learned.target);
        if (!target || target->entry.startedAt != learned.startedAt)
            continue;
        target->receivedRequest = true;
        for (const std::uint64_t object : learned.objects)
            target->warmObjects.addOldest(object, WarmCapacityEstimator::maxObjects);
    }
}

} // namespace chestnutvane
