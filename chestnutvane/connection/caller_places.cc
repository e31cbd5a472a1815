#include "chestnutvane/connection/caller_places.h"

#include <tuple>

namespace chestnutvane {

bool mayYieldPlace(const CallerPlace &place)
{
    return place.standing.stage != CallerStage::Handled && !place.standing.hasOpenCalls;
}

bool yieldsPlaceBefore(const CallerPlace &a, const CallerPlace &b)
{
    // Stages are declared in the order in which they give way.
    const auto order = [](const CallerPlace &place) {
        return std::tuple(place.standing.stage, -static_cast<std::ptrdiff_t>(place.addressShare),
                          place.standing.progress);
    };
    return order(a) < order(b);
}

std::shared_ptr<std::size_t> CallerShares::add(const boost::asio::ip::address &address)
{
    const auto entry = counts_->try_emplace(address, 0).first;
    ++entry->second;
    return {&entry->second, [counts = counts_, entry](std::size_t *count) {
                if (--*count == 0)
                    counts->erase(entry);
            }};
}

} // namespace chestnutvane
