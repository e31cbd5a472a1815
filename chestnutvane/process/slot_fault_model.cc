#include "chestnutvane/process/slot_fault_model.h"

#include "chestnutvane/process/fault_policies.h"
#include "chestnutvane/process/fault_simulation.h"

namespace chestnutvane {

FaultModelResult runUnderFault(SlotPolicy policy, const FaultModelSettings &settings)
{
    FaultSimulation simulation(settings);
    switch (policy) {
    case SlotPolicy::OneQueue:
        return simulation.run(*makeOneQueuePolicy(simulation));
    case SlotPolicy::Broker:
        return simulation.run(*makeBrokerPolicy(simulation));
    case SlotPolicy::LeastReportedLoad:
        return simulation.run(*makeLeastReportedLoadPolicy(simulation));
    }
    return {};
}

} // namespace chestnutvane
