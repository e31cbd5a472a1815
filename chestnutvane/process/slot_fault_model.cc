#include "chestnutvane/process/slot_fault_model.h"

#include "chestnutvane/process/fault_policies.h"
#include "chestnutvane/process/fault_world.h"

namespace chestnutvane {

FaultModelResult runUnderFault(SlotPolicy policy, const FaultModelSettings &settings)
{
    FaultModelWorld world(settings);
    switch (policy) {
    case SlotPolicy::OneQueue:
        return world.run(*makeOneQueuePolicy(world));
    case SlotPolicy::Broker:
        return world.run(*makeBrokerPolicy(world));
    case SlotPolicy::LeastReported:
        return world.run(*makeLeastReportedPolicy(world));
    }
    return {};
}

} // namespace chestnutvane
