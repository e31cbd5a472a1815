// Tracks the rebuild of a new broker: the holders that may hold grants of earlier epochs and have
// not reported them yet.
//
// Example:
//
//   BrokerRebuild rebuild;
//   rebuild.start(holders);
//   rebuild.recordReport(holder); // for each list of held grants that arrives
//   rebuild.markDead(otherHolder, now + longestGrantTime);
//   rebuild.expire(now);
//   if (!rebuild.active())
//       // All grants of earlier epochs are known or have ended.
//
// Not thread-safe.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

class BrokerRebuild
{
public:
    // Starts a rebuild that waits for the given holders, in place of an earlier one.
    void start(std::span<const HolderId> holders);

    // Records that the holder has reported its grants. Returns whether the rebuild waited for it.
    bool recordReport(const HolderId &holder);

    // Records that the holder is dead and that its grants will have ended by the given time. A
    // repeated call for the same holder has no effect.
    void markDead(const HolderId &holder, TimePoint grantsEndAt);

    // Stops waiting for dead holders whose grants have ended.
    void expire(TimePoint now);

    [[nodiscard]] bool active() const { return !pending_.empty(); }

    // The earliest time at which the rebuild can end, given by the grants of dead holders;
    // TimePoint::min() if there are none.
    [[nodiscard]] TimePoint earliestEnd() const;

    // The holders that have not reported and are not known to be dead.
    [[nodiscard]] std::vector<HolderId> unreported() const;

private:
    struct PendingHolder
    {
        HolderId holder;
        std::optional<TimePoint> grantsEndAt; // set if the holder is dead
    };

    std::vector<PendingHolder> pending_;
};

} // namespace chestnutvane
