// Prints latency, dispatches above slots (to targets without a free slot), goodput and refusals of
// the slot policies of slot_policy_model.h. All times are model time, so the figures do not depend
// on the machine.
#include <cstdio>

#include "chestnutvane/process/slot_policy_model.h"

namespace {

using namespace chestnutvane;

void print(const char *name, const ModelResult &result)
{
    std::printf("  %-20s %8.1f %8.1f %8.1f %10.2f%% %9.1f%%\n", name, result.p50Ms, result.p99Ms,
                result.p999Ms,
                100.0 * static_cast<double>(result.aboveSlots)
                        / static_cast<double>(result.dispatches),
                100 * result.goodput);
}

void compare(double offeredLoad, std::uint64_t seed)
{
    ModelSettings settings;
    settings.offeredLoad = offeredLoad;
    settings.seed = seed;
    std::printf("offered load %.0f%%, seed %llu\n  %-20s %8s %8s %8s %11s %10s\n",
                offeredLoad * 100, static_cast<unsigned long long>(seed), "policy", "p50 ms",
                "p99 ms", "p99.9 ms", "above slots", "goodput");
    double oneQueueP99 = 0;
    for (const auto &[policy, name] : slotPolicyNames) {
        const ModelResult result = runSlotPolicy(policy, settings);
        print(name.data(), result);
        if (policy == SlotPolicy::OneQueue)
            oneQueueP99 = result.p99Ms;
        else
            std::printf("  %-20s p99 %.3f times one queue\n", "", result.p99Ms / oneQueueP99);
    }
}

void printOverload(std::uint64_t seed)
{
    ModelSettings settings = overloadSettings();
    settings.seed = seed;
    const ModelResult result = runSlotPolicy(SlotPolicy::Broker, settings);
    std::printf("offered load 300%%, seed %llu, broker: goodput %.1f%%, above slots %llu\n",
                static_cast<unsigned long long>(seed), 100 * result.goodput,
                static_cast<unsigned long long>(result.aboveSlots));
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const ModelClassResult &it = result.classes[i];
        const double arrived = static_cast<double>(it.arrived);
        std::printf("  importance %d: arrived %llu, refused %.1f%% (immediately %.1f%%), "
                    "p50 %.1f p99 %.1f p99.9 %.1f ms\n",
                    settings.classes[i].importance, static_cast<unsigned long long>(it.arrived),
                    100 * static_cast<double>(it.refused) / arrived,
                    100 * static_cast<double>(it.refusedImmediately) / arrived, it.p50Ms, it.p99Ms,
                    it.p999Ms);
    }
}

} // namespace

int main()
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        compare(0.8, seed);
        compare(0.9, seed);
    }
    for (const std::uint64_t seed : {1, 2, 3})
        printOverload(seed);
}
