// The registered targets, with the state that this instance has of each.
//
// Example:
//
//   TargetRegistry registry(zoneRegions);
//   registry.replaceAll(entries, now, RemovalPolicy::Immediate);
//   for (const auto &target : registry.targetsOf("box-office")) ...
//
// Not thread-safe: used from the gateway's thread only.
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
#include "chestnutvane/process/gateway/work/target_speed.h"

namespace chestnutvane {

// The registration of a target, as published by the target.
struct TargetEntry
{
    std::string id;
    std::string service;
    std::string address; // "IP:port"; may be reassigned to another target
    std::string zone;
    std::string version; // version of the target's software
    int slots = 1;
    bool draining = false;
    Milliseconds coldRemaining{0}; // remaining time of the cold start when the entry was written
    std::uint64_t sequence = 0; // increases with each entry of one incarnation
    // Start time in Unix milliseconds; tells incarnations under one id apart. 0: unknown.
    std::int64_t startedAt = 0;
    // Revision of the store that wrote the entry; tells an older entry from a newer one of the same
    // era. 0: unknown.
    std::uint64_t revision = 0;
    std::uint64_t era = 0; // of the store when the entry was read

    friend bool operator==(const TargetEntry &, const TargetEntry &) = default;
};

// Truncates a hash to the 32 bits that identify targets and objects in reports. Never returns 0,
// which stands for none.
constexpr std::uint64_t reportKey(std::uint64_t hash)
{
    constexpr std::uint64_t mask = 0xffffffff;
    return (hash & mask) == 0 ? 1 : hash & mask;
}

// LRU list of the objects that a target served recently and therefore serves faster.
class WarmObjects
{
public:
    // Marks an object as the most recent; evicts the least recent ones above the capacity.
    void touch(std::uint64_t object, std::size_t capacity);
    void removeObject(std::uint64_t object);
    void clear();

    // Adds an object as the least recent one. Does nothing at the capacity, or if the object is
    // listed.
    void addOldest(std::uint64_t object, std::size_t capacity);

    // The objects, the most recent first.
    [[nodiscard]] const std::list<std::uint64_t> &objects() const { return order_; }
    [[nodiscard]] bool contains(std::uint64_t object) const { return index_.contains(object); }

    // Returns how many objects are more recent than this one; nothing if it is not listed. Takes
    // linear time.
    [[nodiscard]] std::optional<std::size_t> depth(std::uint64_t object) const;

    [[nodiscard]] std::size_t size() const { return index_.size(); }

private:
    std::list<std::uint64_t> order_; // the most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

// A registered target, with the state that this instance has of it.
struct Target
{
    TargetEntry entry;
    std::string region;
    std::uint64_t hash = 0; // hash of the id; identifies the target in load reports
    TimePoint firstListedAt; // when an entry of it was first read
    TimePoint coldStartUntil; // end of the cold start; until then requests are rate-limited
    bool removed = false; // no longer registered; gets no new requests
    bool superseded = false; // another target is registered at its address since
    WarmObjects warmObjects;
    int inFlight = 0; // attempts of this instance in flight
    bool receivedRequest = false; // any instance sent a request to this incarnation
    // Set after failures. When it has passed, one request at a time is sent until one succeeds.
    TimePoint backOffUntil;
    int consecutiveFailures = 0;
    TimePoint fullUntil; // set after the target refused a request because its slots were full
    TimePoint nextProbeAt; // when a lost request may lead to a probe of the port again
    TimePoint pausedUntil; // the target asked for a pause; until then nothing is sent to it
    std::optional<TimePoint> leavingSince; // when the target first said that it shuts down
    double failureRate = 0; // moving average of failed attempts, 0 to 1
    double runTimeFactor = 1; // moving average of measured run time divided by expected run time
    TargetSpeed speed; // replaces runTimeFactor for services that are placed by work
    bool isOddSpeedLogged = false; // it stated a speed that is not plausible
};

// How replaceAll() treats targets that are missing from the new list.
enum class RemovalPolicy {
    Immediate, // removes them
    Keep, // keeps them, because the list may lack entries of running targets
};

enum class TargetChangeKind {
    Added,
    Removed,
    Draining,
    Restarted, // new incarnation under the same id
    Readdressed,
    Superseded, // another target is registered at its address since; its process has ended
};

inline constexpr EnumName<TargetChangeKind> targetChangeKindNames[] = {
        {TargetChangeKind::Added, "added"},
        {TargetChangeKind::Removed, "removed"},
        {TargetChangeKind::Draining, "draining"},
        {TargetChangeKind::Restarted, "restarted"},
        {TargetChangeKind::Readdressed, "readdressed"},
        {TargetChangeKind::Superseded, "superseded"},
};

struct RegistryChange
{
    std::string targetId;
    TargetChangeKind changeKind = TargetChangeKind::Added;
    bool wasDraining = false; // a removed target was draining, so the removal was planned
};

class TargetRegistry
{
public:
    explicit TargetRegistry(std::map<std::string, std::string> zoneRegions);

    // Applies the complete list of entries. Returns the changes. An entry with an older revision
    // than one that was applied before is left out. A target that is missing for a while and comes
    // back in the same incarnation keeps its state. After a change of the store's era, it comes
    // back only with an entry that was written later than its last one.
    std::vector<RegistryChange> replaceAll(const std::vector<TargetEntry> &entries, TimePoint now,
                                           RemovalPolicy removals);

    // The registered targets of a service, including draining ones.
    [[nodiscard]] const std::vector<std::shared_ptr<Target>> &
    targetsOf(const std::string &service) const;

    [[nodiscard]] std::shared_ptr<Target> findById(const std::string &id) const;
    [[nodiscard]] std::shared_ptr<Target> findByHash(std::uint64_t hash) const;

    // All targets by the hash of their id.
    [[nodiscard]] const std::unordered_map<std::uint64_t, std::shared_ptr<Target>> &all() const
    {
        return byHash_;
    }

    [[nodiscard]] std::size_t size() const { return byId_.size(); }
    [[nodiscard]] std::string regionOf(const std::string &zone) const;

    // Sets the zones that are being evacuated; their targets get no new requests.
    void setEvacuatedZones(std::set<std::string> zones) { evacuatedZones_ = std::move(zones); }
    [[nodiscard]] const std::set<std::string> &evacuatedZones() const { return evacuatedZones_; }

    // Returns whether new requests may be sent to the target.
    [[nodiscard]] bool isEligible(const Target &target) const;

private:
    void applyEntry(const TargetEntry &entry, TimePoint now, std::vector<RegistryChange> &changes);
    void markSuperseded(std::vector<RegistryChange> &changes);
    void rebuildIndex();

    std::map<std::string, std::string> zoneRegions_;
    std::map<std::string, std::shared_ptr<Target>> byId_;
    struct RemovedTarget
    {
        std::shared_ptr<Target> target;
        TimePoint removedAt;
    };
    std::map<std::string, RemovedTarget> removed_; // by id, for a while
    std::map<std::string, std::vector<std::shared_ptr<Target>>> byService_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Target>> byHash_;
    std::set<std::string> evacuatedZones_;
};

} // namespace chestnutvane
