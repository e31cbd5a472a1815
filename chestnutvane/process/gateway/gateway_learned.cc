// What a gateway has learned, for instances that start later.

#include "chestnutvane/process/gateway/gateway.h"

namespace chestnutvane {

LearnedState Gateway::learned() const
{
    LearnedState state;
    state.times = times_.times();
    for (const auto &[service, kept] : kept_)
        state.keptObjects[service] = kept.kept();
    for (const auto &[hash, target] : registry_.all()) {
        if (target->region != region_ || target->warm.size() == 0)
            continue;
        const auto found = kept_.find(target->entry.service);
        const std::size_t kept =
                found == kept_.end() ? settings_.warmObjects : found->second.kept();
        LearnedTarget learned{hash, target->entry.startedAt, {}};
        for (const std::uint64_t object : target->warm.objects()) {
            if (learned.objects.size() < kept)
                learned.objects.push_back(object);
        }
        state.targets.push_back(std::move(learned));
    }
    return state;
}

void Gateway::takeLearned(const LearnedState &state)
{
    times_.assume(state.times);
    for (const auto &[service, kept] : state.keptObjects) {
        if (!kept_.contains(service))
            keptObjects(service).assume(kept);
    }
    for (const LearnedTarget &learned : state.targets) {
        const auto target = registry_.findByHash(learned.target);
        if (!target || target->entry.startedAt != learned.startedAt)
            continue;
        target->used = true;
        for (const std::uint64_t object : learned.objects)
            target->warm.addOldest(object, KeptObjects::most);
    }
}

} // namespace chestnutvane
