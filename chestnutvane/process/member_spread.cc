#include "chestnutvane/process/member_spread.h"

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

std::uint64_t memberKey(const std::string &id, const std::string &incarnation)
{
    return hash64(incarnation, hash64(id));
}

std::uint64_t ringHash(const std::string &id)
{
    return hash64(id);
}

RingNeighbours ringNeighbours(const std::vector<std::pair<std::uint64_t, std::string>> &ring,
                              std::pair<std::uint64_t, std::string> self)
{
    RingNeighbours neighbours;
    const std::size_t size = ring.size();
    const auto after = static_cast<std::size_t>(std::lower_bound(ring.begin(), ring.end(), self)
                                                - ring.begin());
    for (std::size_t i = 0; i < std::min(monitorsPerMember, size); ++i) {
        neighbours.monitors.push_back(ring[(after + i) % size].second);
        neighbours.monitored.push_back(ring[(after + size - 1 - i) % size].second);
    }
    return neighbours;
}

} // namespace chestnutvane
