// Prints latency, refusals, dispatches above slots (to targets without a free slot), headroom and
// drain time of the slot policies, without faults and under each fault of slot_fault_model.h. All
// times are model time, so the figures do not depend on the machine. Exits with status 1 if the
// broker policy dispatched above slots in any run.
#include <cstdio>
#include <utility>

#include "chestnutvane/process/slot_fault_model.h"

namespace {

using namespace chestnutvane;

void print(std::string_view name, const FaultModelResult &result)
{
    const double arrived = static_cast<double>(result.arrived);
    std::printf("  %-20s %8.1f %8.1f %8.1f %8.2f%% %8.3f%% %8llu %8.1f%% %9.1f\n", name.data(),
                result.p50Ms, result.p99Ms, result.p999Ms,
                100 * static_cast<double>(result.refused) / arrived,
                100 * static_cast<double>(result.lost) / arrived,
                static_cast<unsigned long long>(result.aboveSlots), 100 * result.minHeadroom,
                result.drainMs);
}

// Prints the results of all policies. Returns whether the broker never dispatched above slots.
bool compare(const FaultModelSettings &settings)
{
    std::printf("%s, offered load %.0f%%, mean service time %.0f ms, seed %llu\n",
                enumName(modelFaultNames, settings.fault).data(), 100 * settings.offeredLoad,
                settings.meanServiceMs, static_cast<unsigned long long>(settings.seed));
    std::printf("  %-20s %8s %8s %8s %9s %9s %8s %9s %9s\n", "policy", "p50 ms", "p99 ms",
                "p99.9 ms", "refused", "lost", "above", "headroom", "drain ms");
    bool withinSlots = true;
    for (const auto &[policy, name] : slotPolicyNames) {
        const FaultModelResult result = runUnderFault(policy, settings);
        print(name, result);
        withinSlots = withinSlots && (policy != SlotPolicy::Broker || result.aboveSlots == 0);
    }
    return withinSlots;
}

} // namespace

int main()
{
    bool withinSlots = true;
    for (const std::uint64_t seed : {1, 2, 3}) {
        for (const auto &[fault, name] : modelFaultNames)
            withinSlots = compare({.fault = fault, .seed = seed}) && withinSlots;
        // A grant of another region occupies its slot for four inter-region delays plus the service
        // time, so the effect of the fallback depends on load and service time.
        for (const auto &[offeredLoad, serviceMs] :
             {std::pair{0.1, 20.0}, {0.3, 20.0}, {0.3, 200.0}})
            withinSlots = compare({.fault = ModelFault::BrokerDies,
                                   .offeredLoad = offeredLoad,
                                   .meanServiceMs = serviceMs,
                                   .seed = seed})
                    && withinSlots;
    }
    return withinSlots ? 0 : 1;
}
