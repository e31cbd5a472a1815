// The policies that slot_fault_model.h compares.
#pragma once

#include <memory>

#include "chestnutvane/process/fault_simulation.h"

namespace chestnutvane {

// One queue over all slots of a region, without any delay and with knowledge of every fault at
// once: the limit for the others within a region.
std::unique_ptr<FaultPolicy> makeOneQueuePolicy(FaultSimulation &simulation);

// Each instance sends to the target of its region with the least load in the last reports, and to
// another one when a connection is refused.
std::unique_ptr<FaultPolicy> makeLeastReportedLoadPolicy(FaultSimulation &simulation);

// The decision modules of the daemon: SlotBroker, GrantHolder, HeadroomTable, chooseFallback().
std::unique_ptr<FaultPolicy> makeBrokerPolicy(FaultSimulation &simulation);

} // namespace chestnutvane
