// The holders of which a new broker does not yet know what grants of earlier epochs they have.
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
    void start(std::span<const HolderId> holders);

    // The holder reported. Returns whether it was awaited.
    bool recordReport(const HolderId &holder);

    // The holder is proven dead; its grants have ended by the given time.
    void markDead(const HolderId &holder, TimePoint grantsEndAt);

    // Drops dead holders whose grants have ended.
    void expire(TimePoint now);

    [[nodiscard]] bool active() const { return !pending_.empty(); }

    // The time before which the rebuild does not end, because of dead holders; min() if there are
    // none.
    [[nodiscard]] TimePoint earliestEnd() const;

    // The holders that are awaited and not known to be dead.
    [[nodiscard]] std::vector<HolderId> unreported() const;

private:
    struct PendingHolder
    {
        HolderId holder;
        std::optional<TimePoint> grantsEndAt; // set when the holder is dead
    };

    std::vector<PendingHolder> pending_;
};

} // namespace chestnutvane
