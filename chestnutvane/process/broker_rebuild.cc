#include "chestnutvane/process/broker_rebuild.h"

#include <algorithm>

namespace chestnutvane {

void BrokerRebuild::start(std::span<const HolderId> holders)
{
    awaited_.clear();
    for (const HolderId &holder : holders)
        awaited_.push_back({holder, std::nullopt});
}

bool BrokerRebuild::reported(const HolderId &holder)
{
    return std::erase_if(awaited_, [&](const Awaited &it) { return it.holder == holder; }) > 0;
}

void BrokerRebuild::gone(const HolderId &holder, TimePoint grantsEndAt)
{
    for (Awaited &awaited : awaited_) {
        if (awaited.holder == holder && !awaited.grantsEndAt)
            awaited.grantsEndAt = grantsEndAt;
    }
}

void BrokerRebuild::expire(TimePoint now)
{
    std::erase_if(awaited_,
                  [&](const Awaited &it) { return it.grantsEndAt && now >= *it.grantsEndAt; });
}

TimePoint BrokerRebuild::endsNotBefore() const
{
    TimePoint end = TimePoint::min();
    for (const Awaited &awaited : awaited_)
        end = std::max(end, awaited.grantsEndAt.value_or(TimePoint::min()));
    return end;
}

std::vector<HolderId> BrokerRebuild::unreported() const
{
    std::vector<HolderId> holders;
    for (const Awaited &awaited : awaited_) {
        if (!awaited.grantsEndAt)
            holders.push_back(awaited.holder);
    }
    return holders;
}

} // namespace chestnutvane
