#include "chestnutvane/process/gateway/limits/descriptor_plan.h"

#include <algorithm>

#include <sys/resource.h>

namespace chestnutvane {
namespace {

// Kept for files, such as the log, libraries and timers of the event loop.
constexpr std::size_t fileDescriptors = 200;
// Of a process without a limit.
constexpr std::size_t maxDescriptors = 1U << 20U;
// Of a limit that leaves hardly any beside the files.
constexpr std::size_t minSockets = 48;
// Parts of the sockets, in 24ths. 7 of them are for targets, the store and other instances.
constexpr std::size_t parts = 24;
constexpr std::size_t callerParts = 13;
constexpr std::size_t directoryParts = 2;
constexpr std::size_t readinessParts = 1;
constexpr std::size_t metricsParts = 1;

} // namespace

DescriptorPlan descriptorPlan(std::size_t descriptors)
{
    const std::size_t sockets = std::max(descriptors - std::min(descriptors, fileDescriptors),
                                         std::min(descriptors / 2, minSockets));
    const auto share = [sockets](std::size_t count) {
        return std::max<std::size_t>(sockets * count / parts, 1);
    };
    return {share(callerParts), share(directoryParts), share(readinessParts), share(metricsParts)};
}

std::size_t usableDescriptors(std::size_t setting)
{
    rlimit limit{};
    std::size_t own = maxDescriptors;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        own = std::min<std::size_t>(limit.rlim_cur, maxDescriptors);
    return setting == 0 ? own : std::min(own, setting);
}

} // namespace chestnutvane
