// Chooses the connection that gives up its place when a listener has no further one.
//
// Connections that have ended go first, then idle ones, half heads, half bodies; among equals those
// of the address with the most connections, then those without progress for longest. A connection
// on which requests are handled keeps its place.
//
// Example:
//
//   CallerShares shares;
//   auto share = shares.add(address); // counts while it lives
//   if (yieldsPlaceBefore({standingOfA, *shareOfA}, {standingOfB, *shareOfB}))
//       closeA();
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <memory>

#include <boost/asio/ip/address.hpp>

#include "chestnutvane/connection/caller_memory.h"

namespace chestnutvane {

struct CallerPlace
{
    CallerStanding standing;
    std::size_t addressShare = 0; // connections of the caller's address
};

[[nodiscard]] bool mayYieldPlace(const CallerPlace &place);

// Whether a connection gives up its place before another one; both may.
[[nodiscard]] bool yieldsPlaceBefore(const CallerPlace &a, const CallerPlace &b);

// The connections of each address.
class CallerShares
{
public:
    // Counts a connection. It is counted until the result ends, which gives the address's count.
    [[nodiscard]] std::shared_ptr<std::size_t> add(const boost::asio::ip::address &address);

private:
    using Counts = std::map<boost::asio::ip::address, std::size_t>;

    std::shared_ptr<Counts> counts_ = std::make_shared<Counts>();
};

} // namespace chestnutvane
