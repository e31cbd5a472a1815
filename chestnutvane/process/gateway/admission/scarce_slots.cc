#include "chestnutvane/process/gateway/admission/scarce_slots.h"

#include <algorithm>
#include <cmath>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Requests queued at one target. A second one would wait about as long as at an instance.
constexpr int maxQueuedAtTarget = 1;
// With fewer less important arrivals, queued requests would mostly delay others of their own kind.
constexpr double minLessImportantShare = 0.25;

// Slots to keep for arrivals: the expected number and one standard deviation of a Poisson process.
double slotsForArrivals(double perSecond, Duration time)
{
    const double mean = std::max(0.0, perSecond * Seconds(time).count());
    return mean + std::sqrt(mean);
}

} // namespace

bool canMeetAim(Duration run, Duration timeToAim, Duration aim)
{
    return timeToAim > (run < aim ? run : Duration{0});
}

SlotTurn turnWhenLate(const LateRequest &request, const SlotOutlook &outlook)
{
    const double becomeFree = outlook.meanRun > Duration{0}
            ? outlook.busy * (Seconds(request.run) / Seconds(outlook.meanRun))
            : outlook.busy;
    const double reserved =
            std::max(0.0, slotsForArrivals(outlook.arrivalsPerSecond, request.run) - becomeFree);
    const double free = outlook.slots - outlook.busy;
    const Duration slack = request.timeToDeadline - request.run - outlook.reportInterval;
    // Without a free slot there is nothing to leave; the request takes its place in the queue.
    if (free < 1 || free - 1 >= reserved || slack <= Duration{0})
        return {SlotDecision::Take, Duration{0}, reserved};
    return {SlotDecision::Hold, slack, reserved};
}

bool mayQueueAtTarget(const QueueAtTarget &request)
{
    // A single instance gives each slot that becomes free to its most important request.
    if (request.instances < 2 || request.lessImportantShare < minLessImportantShare)
        return false;
    const double queued = request.load - request.slots;
    if (queued < 0 || queued >= std::min(request.targetQueue, maxQueuedAtTarget))
        return false;
    const Seconds wait = Seconds(request.meanRun) * ((queued + 1) / request.slots);
    return Seconds(request.timeToAim) > wait + Seconds(request.run);
}

} // namespace chestnutvane
