// The targets that registered themselves, and what this instance knows of each.
//
// Example:
//
//   TargetRegistry registry(zoneRegions, {});
//   registry.replaceAll(entries, now, RemovalPolicy::Immediate);
//   for (const auto &target : registry.targetsOf("box-office")) ...
//
// Not thread-safe: the gateway's one thread owns it.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// What a target says of itself when it registers.
struct TargetEntry
{
    std::string id;
    std::string service;
    std::string address; // "IP:port"; may belong to another target later
    std::string zone;
    std::string version; // of the target's software
    int slots = 1;
    bool draining = false;
    Milliseconds coldRemaining{0}; // at the time of the entry
    std::uint64_t sequence = 0; // goes up with each entry of one start
    std::int64_t startedAt =
            0; // Unix milliseconds; tells two starts under one id apart, 0: unknown

    friend bool operator==(const TargetEntry &, const TargetEntry &) = default;
};

// Shortens a hash to the 32 bits by which reports name targets and objects. Never 0, which stands
// for none.
constexpr std::uint64_t reportKey(std::uint64_t hash)
{
    constexpr std::uint64_t mask = 0xffffffff;
    return (hash & mask) == 0 ? 1 : hash & mask;
}

// The objects that a target served most recently, which it serves faster.
class WarmObjects
{
public:
    // Marks an object as the latest; forgets the oldest above the capacity.
    void touch(std::uint64_t object, std::size_t capacity);
    void removeObject(std::uint64_t object);
    void clear();

    // Marks an object as older than all that are there. Ignored at the capacity, and for an object
    // that is there.
    void addOldest(std::uint64_t object, std::size_t capacity);

    // The objects, the latest first.
    [[nodiscard]] const std::list<std::uint64_t> &objects() const { return order_; }
    [[nodiscard]] bool contains(std::uint64_t object) const { return index_.contains(object); }

    // How many other objects were touched after it; nothing for an object that is not there. Takes
    // time in proportion.
    [[nodiscard]] std::optional<std::size_t> depth(std::uint64_t object) const;

    [[nodiscard]] std::size_t size() const { return index_.size(); }

private:
    std::list<std::uint64_t> order_; // the latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

// A registered target with the state that this instance keeps of it.
struct Target
{
    TargetEntry entry;
    std::string region;
    std::uint64_t hash = 0; // of the id; names the target in load reports
    TimePoint firstListedAt; // when it was first listed
    TimePoint coldUntil; // earlier than now: warm
    bool removed = false; // no longer registered; nothing new is sent to it
    WarmObjects warmObjects;
    int inFlight = 0; // attempts of this instance
    bool receivedRequest = false; // a request was sent to this start of it, by any instance
    TimePoint backOffUntil; // after failures; one request at a time tries it afterwards
    int consecutiveFailures = 0;
    TimePoint fullUntil; // after it refused a request for lack of room
    double failureRate = 0; // moving average of failed attempts, 0 to 1
    double runTimeFactor = 1; // moving average of measured against expected run times
};

// What to do with targets that are missing from a new list.
enum class RemovalPolicy {
    Immediate, // they have left
    Keep, // the list may lack entries of targets that are alive
};

enum class TargetChangeKind {
    Added,
    Removed,
    Draining,
    Restarted, // under the same id
    Readdressed,
};

inline constexpr EnumName<TargetChangeKind> targetChangeKindNames[] = {
        {TargetChangeKind::Added, "added"},
        {TargetChangeKind::Removed, "removed"},
        {TargetChangeKind::Draining, "draining"},
        {TargetChangeKind::Restarted, "restarted"},
        {TargetChangeKind::Readdressed, "readdressed"},
};

struct RegistryChange
{
    std::string targetId;
    TargetChangeKind changeKind = TargetChangeKind::Added;
    bool wasDraining = false; // the target was draining before
};

class TargetRegistry
{
public:
    explicit TargetRegistry(std::map<std::string, std::string> zoneRegions);

    // Takes the complete list of entries. Returns what changed.
    std::vector<RegistryChange> replaceAll(const std::vector<TargetEntry> &entries, TimePoint now,
                                           RemovalPolicy removals);

    // The targets of a service that are registered, draining ones included.
    [[nodiscard]] const std::vector<std::shared_ptr<Target>> &
    targetsOf(const std::string &service) const;

    [[nodiscard]] std::shared_ptr<Target> findByHash(std::uint64_t hash) const;

    // All targets by the hash of their id.
    [[nodiscard]] const std::unordered_map<std::uint64_t, std::shared_ptr<Target>> &all() const
    {
        return byHash_;
    }

    [[nodiscard]] std::size_t size() const { return byId_.size(); }
    [[nodiscard]] std::string regionOf(const std::string &zone) const;

    // The zones that are being evacuated get nothing new.
    void setEvacuated(std::set<std::string> zones) { evacuatedZones_ = std::move(zones); }
    [[nodiscard]] const std::set<std::string> &evacuated() const { return evacuatedZones_; }

    // Tells whether a request may be sent to the target at all.
    [[nodiscard]] bool isEligible(const Target &target) const;

private:
    void rebuildIndex();

    std::map<std::string, std::string> zoneRegions_;
    std::map<std::string, std::shared_ptr<Target>> byId_;
    std::map<std::string, std::vector<std::shared_ptr<Target>>> byService_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Target>> byHash_;
    std::set<std::string> evacuatedZones_;
};

} // namespace chestnutvane
