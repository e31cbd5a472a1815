// How news about members spread in a deployment that is too large for everybody to contact
// everybody (design page, section 7.6): a ring in which each member is watched by two others, and a
// queue of news that are passed on a bounded number of times.
//
// Example:
//
//   RingNeighbours place = ringNeighbours(ring, ownHash); // whom to send to, whom to watch
//   news.add({key, sequence, ReportedState::Silent, revision});
//   for (const MemberEvent &event : news.next(6))
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

// What is said about a member. Of two events with the same sequence number the later value wins.
enum class ReportedState : std::uint8_t {
    Joining,
    Serving,
    Leaving,
    Silent, // a member that watches it heard nothing after the sequence number
};

// News about one incarnation.
struct MemberEvent
{
    std::uint64_t key = 0; // memberKey() of the incarnation
    std::uint64_t sequence = 0;
    ReportedState reportedState = ReportedState::Joining;
    std::uint64_t revision = 0;

    friend bool operator==(const MemberEvent &, const MemberEvent &) = default;
};

// Names an incarnation of an id in 64 bits.
std::uint64_t memberKey(const std::string &id, const std::string &incarnation);

// Place of an id in the ring. A hash, so that neighbours in the ring seldom share a zone or a rack.
std::uint64_t ringHash(const std::string &id);

// Members that watch one member.
inline constexpr std::size_t monitorsPerMember = 2;

struct RingNeighbours
{
    std::vector<std::string> monitors; // the next members of the ring
    std::vector<std::string> monitored; // the members before
};

// Returns the neighbours of a member in the ring of all members without itself, sorted.
RingNeighbours ringNeighbours(const std::vector<std::pair<std::uint64_t, std::string>> &ring,
                              std::pair<std::uint64_t, std::string> self);

// Times that one member passes a piece of news on. Half of the sends go to random members: with 20
// of them a member misses it with a probability of e^-20.
inline constexpr int maxGossipSends = 40;

// News to pass on, those sent least first. Not thread-safe.
template <class Key, class Value>
class GossipQueue
{
public:
    // Adds news or replaces those with the same key, which then count as not sent.
    void add(const Key &key, Value value) { entries_[key] = {std::move(value), 0}; }

    // Returns up to "count" pieces of news and counts them as sent.
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
    std::map<Key, std::pair<Value, int>> entries_;
};

} // namespace chestnutvane
