#include "chestnutvane/process/gateway/admission/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

SlotTurn turn(double reserved, Duration slack, const SlotOutlook &outlook)
{
    const double free = outlook.slots - outlook.busy;
    // Without a free slot there is nothing to leave; the request takes its place in the queue.
    if (free < 1 || free - 1 >= reserved || slack <= Duration{0})
        return {SlotDecision::Take, Duration{0}, reserved};
    return {SlotDecision::Hold, slack, reserved};
}

} // namespace

double expectedArrivals(double perSecond, Duration time)
{
    const double mean = std::max(0.0, perSecond * Seconds(time).count());
    return mean + std::sqrt(mean);
}

bool canMeetAim(Duration run, Duration timeToAim, Duration aim)
{
    return timeToAim > (run < aim ? run : Duration{0});
}

SlotTurn turnInTime(const SlotRequest &request, const SlotOutlook &outlook)
{
    const double reserved =
            std::min(expectedArrivals(outlook.urgentPerSecond, outlook.reportInterval),
                     maxReservedShare * outlook.slots);
    return turn(reserved, request.timeToAim - request.run - outlook.reportInterval, outlook);
}

SlotTurn turnWhenLate(const SlotRequest &request, const SlotOutlook &outlook)
{
    const double freed = outlook.meanRun > Duration{0}
            ? outlook.busy * (Seconds(request.run) / Seconds(outlook.meanRun))
            : outlook.busy;
    const double reserved =
            std::max(0.0, expectedArrivals(outlook.inTimePerSecond, request.run) - freed);
    return turn(reserved, request.timeToDeadline - request.run - outlook.reportInterval, outlook);
}

} // namespace chestnutvane
