#include "chestnutvane/process/broker_rebuild.h"

#include <algorithm>

namespace chestnutvane {

void BrokerRebuild::start(std::span<const HolderId> holders)
{
    pending_.clear();
    for (const HolderId &holder : holders)
        pending_.push_back({holder, std::nullopt});
}

bool BrokerRebuild::recordReport(const HolderId &holder)
{
    return std::erase_if(pending_, [&](const PendingHolder &it) { return it.holder == holder; })
            > 0;
}

void BrokerRebuild::markDead(const HolderId &holder, TimePoint grantsEndAt)
{
    for (PendingHolder &pendingHolder : pending_) {
        if (pendingHolder.holder == holder && !pendingHolder.grantsEndAt)
            pendingHolder.grantsEndAt = grantsEndAt;
    }
}

void BrokerRebuild::expire(TimePoint now)
{
    std::erase_if(pending_, [&](const PendingHolder &it) {
        return it.grantsEndAt && now >= *it.grantsEndAt;
    });
}

TimePoint BrokerRebuild::earliestEnd() const
{
    TimePoint end = TimePoint::min();
    for (const PendingHolder &pendingHolder : pending_)
        end = std::max(end, pendingHolder.grantsEndAt.value_or(TimePoint::min()));
    return end;
}

std::vector<HolderId> BrokerRebuild::unreported() const
{
    std::vector<HolderId> holders;
    for (const PendingHolder &pendingHolder : pending_) {
        if (!pendingHolder.grantsEndAt)
            holders.push_back(pendingHolder.holder);
    }
    return holders;
}

} // namespace chestnutvane
