// Failure detection and gossip for deployments that are too large for a full mesh of heartbeats
// (design page, section 7.6): a ring in which each member is monitored by two others, and a queue
// of updates that are each sent a bounded number of times.
//
// Example:
//
//   RingNeighbours neighbours = ringNeighbours(ring, {ringHash(ownId), ownId});
//   events.add(key, {key, sequence, ReportedState::Silent, revision});
//   for (const MemberEvent &event : events.next(6, maxGossipSends))
//       append(event);
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chestnutvane {

// State of a member in an event. Of two events with the same sequence number, the one with the
// later enumerator takes precedence.
enum class ReportedState : std::uint8_t {
    Joining,
    Serving,
    Leaving,
    Silent, // a monitor received no heartbeat after the one with the sequence number
};

// A change of state or revision of one incarnation.
struct MemberEvent
{
    std::uint64_t key = 0; // memberKey() of the incarnation
    std::uint64_t sequence = 0;
    ReportedState reportedState = ReportedState::Joining;
    std::uint64_t revision = 0;

    friend bool operator==(const MemberEvent &, const MemberEvent &) = default;
};

// Returns a 64-bit hash that identifies an incarnation of an id.
std::uint64_t memberKey(const std::string &id, const std::string &incarnation);

// Returns the position of an id in the ring. It is a hash, so that neighbours in the ring seldom
// share a zone or a rack.
std::uint64_t ringHash(const std::string &id);

// Number of members that monitor one member.
inline constexpr std::size_t monitorsPerMember = 2;

struct RingNeighbours
{
    std::vector<std::string> monitors; // the successors: get heartbeats of this member
    std::vector<std::string> monitored; // the predecessors: this member detects their silence
};

// Returns the neighbours of "self" in the ring. "ring" has the other members, sorted.
RingNeighbours ringNeighbours(const std::vector<std::pair<std::uint64_t, std::string>> &ring,
                              std::pair<std::uint64_t, std::string> self);

// Number of times that one member sends an update. Half of the sends go to random members: with 20
// of those, the probability that a member does not receive the update is e^-20.
inline constexpr int maxGossipSends = 40;

// Queue of updates to send; those sent the fewest times come first. Not thread-safe.
template <class Key, class Value>
class GossipQueue
{
public:
    // Adds an update, or replaces the one with the same key and resets its send count.
    void add(const Key &key, Value value) { entries_[key] = {std::move(value), 0}; }

    // Returns up to "count" updates and counts them as sent. Removes those sent "sends" times.
    std::vector<Value> next(std::size_t count, int sends)
    {
        std::vector<std::pair<int, Key>> order;
        order.reserve(entries_.size());
        for (const auto &[key, entry] : entries_)
            order.emplace_back(entry.second, key);
        std::sort(order.begin(), order.end());
        if (order.size() > count)
            order.resize(count);
        std::vector<Value> values;
        for (const auto &[sent, key] : order) {
            const auto entry = entries_.find(key);
            values.push_back(entry->second.first);
            if (++entry->second.second >= sends)
                entries_.erase(entry);
        }
        return values;
    }

    void clear() { entries_.clear(); }

private:
    std::map<Key, std::pair<Value, int>> entries_; // each with its send count
};

} // namespace chestnutvane
