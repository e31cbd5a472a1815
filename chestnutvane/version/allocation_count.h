// Counts calls of the global operator new in a test program or benchmark that links
// allocation_count.cc.
#pragma once

#include <cstddef>

namespace chestnutvane {

// Number of allocations by all threads since the program started.
std::size_t allocationCount();

} // namespace chestnutvane
