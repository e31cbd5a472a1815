#include "chestnutvane/process/gateway/admission/return_time.h"

#include <algorithm>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Part of the time left for which callers wait before they return.
constexpr int honouredPart = 3;

} // namespace

Duration returnTime(const ExpectedRoom &room, const RefusedRequest &request)
{
    // Slots that become free for callers of this instance take turns at this interval.
    const double interval = Seconds(room.meanRun).count() * std::max(room.instances, 1.0)
            / std::max(room.slots, 1.0);
    const Seconds shortest = minReturnTime;
    Seconds limit =
            std::min<Seconds>(maxReturnTime, Seconds(request.timeToDeadline) / honouredPart);
    const Seconds roomAt(interval * (room.waiting + 1));
    if (const Seconds inAim = request.timeToAim - request.run; inAim > roomAt)
        limit = std::min(limit, inAim);
    limit = std::max(limit, shortest);
    const Seconds last = std::min(limit, roomAt + Seconds(interval * (room.refused + 1)));
    // If no room is expected within the limit, returns are still spread.
    const Seconds first = std::min(roomAt, last / 2);
    const Seconds at = first + (last - first) * unitInterval(request.idHash);
    return std::chrono::duration_cast<Duration>(std::max(at, shortest));
}

} // namespace chestnutvane
