// The policies that slot_fault_model.h compares.
#pragma once

#include <memory>

#include "chestnutvane/process/fault_simulation.h"

namespace chestnutvane {

// One queue for all slots of a region, without message delays and with immediate knowledge of every
// fault. It is the bound that the other policies can reach within a region.
std::unique_ptr<FaultPolicy> makeOneQueuePolicy(FaultSimulation &simulation);

// Each instance sends to the target of its region with the least load in the latest reports, and
// to another one when a connection is refused.
std::unique_ptr<FaultPolicy> makeLeastReportedLoadPolicy(FaultSimulation &simulation);

// Uses the daemon's decision modules: SlotBroker, GrantHolder, HeadroomTable, chooseFallback().
std::unique_ptr<FaultPolicy> makeBrokerPolicy(FaultSimulation &simulation);

} // namespace chestnutvane
