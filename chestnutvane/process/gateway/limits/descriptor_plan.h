// Divides the descriptors of a process among its callers and what serves them.
//
// Example:
//
//   const DescriptorPlan plan = descriptorPlan(descriptorLimit(settings.descriptorLimit));
//
// Functions without state.
#pragma once

#include <cstddef>

namespace chestnutvane {

// Open connections of each listener, at most. What is left is for targets, the store and other
// instances.
struct DescriptorPlan
{
    std::size_t callers = 0;
    std::size_t directory = 0;
    std::size_t readiness = 0;
    std::size_t metrics = 0;
};

[[nodiscard]] DescriptorPlan descriptorPlan(std::size_t descriptors);

// The descriptors that this process may open: its own limit, or the setting if that is lower. A
// setting of 0 stands for none.
[[nodiscard]] std::size_t usableDescriptors(std::size_t setting);

} // namespace chestnutvane
