#include "chestnutvane/process/gateway/target_registry.h"

#include <iterator>
#include <utility>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

// How long a target that is no longer registered is remembered: longer than the store takes to
// lose and regain the entry of a running target.
constexpr std::chrono::minutes removedRetention{1};

// Sequences are compared within an incarnation only; without a start time they are all there is.
bool isNewIncarnation(const TargetEntry &before, const TargetEntry &after)
{
    const bool isStartUnknown = before.startedAt == 0 && after.startedAt == 0;
    return before.startedAt != after.startedAt
            || (isStartUnknown && after.sequence < before.sequence);
}

// Whether two entries under one id are known to be of the same process.
bool isSameIncarnation(const TargetEntry &a, const TargetEntry &b)
{
    return a.startedAt != 0 && a.startedAt == b.startedAt;
}

// Whether an entry was written before a known one. A stale read, or the content of another
// instance, may hold such entries.
bool isOlder(const TargetEntry &entry, const TargetEntry &known)
{
    if (entry.era != known.era) // the copy that began the newer era may hold older entries
        return entry.era < known.era || entry.startedAt < known.startedAt
                || (isSameIncarnation(entry, known) && entry.sequence < known.sequence);
    if (entry.revision != 0 && known.revision != 0)
        return entry.revision < known.revision;
    return isSameIncarnation(entry, known) && entry.sequence < known.sequence;
}

// Whether an entry tells nothing beyond the last one of a target that was removed.
bool wasKnownAtRemoval(const TargetEntry &entry, const TargetEntry &last)
{
    const bool isLastOfEarlierEra = entry.era != last.era && isSameIncarnation(entry, last)
            && entry.sequence == last.sequence;
    return isLastOfEarlierEra || isOlder(entry, last);
}

// Resets the state that belongs to an earlier incarnation.
void resetIncarnationState(Target &target)
{
    target.warmObjects.clear();
    target.backOffUntil = {};
    target.fullUntil = {};
    target.pausedUntil = {};
    target.leavingSince = std::nullopt;
    target.consecutiveFailures = 0;
    target.failureRate = 0;
    target.runTimeFactor = 1;
    target.speed = TargetSpeed{};
    target.coldStartUntil = {};
    target.receivedRequest = false;
    target.superseded = false;
}

} // namespace

void WarmObjects::touch(std::uint64_t object, std::size_t capacity)
{
    removeObject(object);
    order_.push_front(object);
    index_[object] = order_.begin();
    while (order_.size() > capacity) {
        index_.erase(order_.back());
        order_.pop_back();
    }
}

void WarmObjects::removeObject(std::uint64_t object)
{
    if (const auto found = index_.find(object); found != index_.end()) {
        order_.erase(found->second);
        index_.erase(found);
    }
}

void WarmObjects::addOldest(std::uint64_t object, std::size_t capacity)
{
    if (order_.size() >= capacity || index_.contains(object))
        return;
    order_.push_back(object);
    index_[object] = std::prev(order_.end());
}

std::optional<std::size_t> WarmObjects::depth(std::uint64_t object) const
{
    const auto found = index_.find(object);
    if (found == index_.end())
        return std::nullopt;
    return static_cast<std::size_t>(
            std::distance(order_.begin(), std::list<std::uint64_t>::const_iterator(found->second)));
}

void WarmObjects::clear()
{
    order_.clear();
    index_.clear();
}

TargetRegistry::TargetRegistry(std::map<std::string, std::string> zoneRegions)
    : zoneRegions_(std::move(zoneRegions))
{ }

std::string TargetRegistry::regionOf(const std::string &zone) const
{
    const auto found = zoneRegions_.find(zone);
    return found == zoneRegions_.end() ? std::string() : found->second;
}

std::vector<RegistryChange> TargetRegistry::replaceAll(const std::vector<TargetEntry> &entries,
                                                       TimePoint now, RemovalPolicy removals)
{
    std::vector<RegistryChange> changes;
    std::set<std::string> listed;
    for (const TargetEntry &entry : entries) {
        listed.insert(entry.id);
        applyEntry(entry, now, changes);
    }
    for (auto it = byId_.begin(); it != byId_.end();) {
        if (listed.contains(it->first) || removals == RemovalPolicy::Keep) {
            ++it;
            continue;
        }
        it->second->removed = true;
        changes.push_back({it->first, TargetChangeKind::Removed, it->second->entry.draining});
        removed_[it->first] = {it->second, now};
        it = byId_.erase(it);
    }
    std::erase_if(removed_, [now](const auto &removed) {
        return now - removed.second.removedAt > removedRetention;
    });
    if (!changes.empty())
        markSuperseded(changes);
    rebuildIndex();
    return changes;
}

void TargetRegistry::applyEntry(const TargetEntry &entry, TimePoint now,
                                std::vector<RegistryChange> &changes)
{
    auto target = findById(entry.id);
    if (!target) {
        const auto removed = removed_.find(entry.id);
        if (removed != removed_.end() && wasKnownAtRemoval(entry, removed->second.target->entry))
            return;
        if (removed != removed_.end() && isSameIncarnation(removed->second.target->entry, entry)) {
            target = removed->second.target;
            target->removed = false;
        } else {
            target = std::make_shared<Target>();
            target->hash = reportKey(hash64(entry.id));
            target->firstListedAt = now;
        }
        removed_.erase(entry.id);
        byId_[entry.id] = target;
        changes.push_back({entry.id, TargetChangeKind::Added});
        target->coldStartUntil = std::max(target->coldStartUntil, now + entry.coldRemaining);
    } else if (isOlder(entry, target->entry)) {
        return;
    } else {
        if (isNewIncarnation(target->entry, entry)) {
            resetIncarnationState(*target);
            target->coldStartUntil = now + entry.coldRemaining;
            changes.push_back({entry.id, TargetChangeKind::Restarted});
        } else if (target->entry.address != entry.address) {
            changes.push_back({entry.id, TargetChangeKind::Readdressed});
        }
        if (entry.draining && !target->entry.draining)
            changes.push_back({entry.id, TargetChangeKind::Draining});
        if (entry.sequence != target->entry.sequence)
            target->coldStartUntil = std::max(target->coldStartUntil, now + entry.coldRemaining);
    }
    target->entry = entry;
    target->region = regionOf(entry.zone);
}

// A process that has started at the address of another target tells that the other one has ended.
void TargetRegistry::markSuperseded(std::vector<RegistryChange> &changes)
{
    std::map<std::string, std::int64_t> latestStarts; // by address
    for (const auto &[id, kind, wasDraining] : changes) {
        if (kind == TargetChangeKind::Removed || kind == TargetChangeKind::Draining)
            continue;
        const TargetEntry &entry = byId_.at(id)->entry;
        auto &latest = latestStarts[entry.address];
        latest = std::max(latest, entry.startedAt);
    }
    for (const auto &[id, target] : byId_) {
        const auto latest = latestStarts.find(target->entry.address);
        if (latest == latestStarts.end() || target->entry.startedAt == 0
            || target->entry.startedAt >= latest->second || target->superseded)
            continue;
        target->superseded = true;
        changes.push_back({id, TargetChangeKind::Superseded, target->entry.draining});
    }
}

std::shared_ptr<Target> TargetRegistry::findById(const std::string &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

void TargetRegistry::rebuildIndex()
{
    byService_.clear();
    byHash_.clear();
    for (const auto &[id, target] : byId_) {
        byService_[target->entry.service].push_back(target);
        byHash_[target->hash] = target;
    }
}

const std::vector<std::shared_ptr<Target>> &
TargetRegistry::targetsOf(const std::string &service) const
{
    static const std::vector<std::shared_ptr<Target>> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

std::shared_ptr<Target> TargetRegistry::findByHash(std::uint64_t hash) const
{
    const auto found = byHash_.find(hash);
    return found == byHash_.end() ? nullptr : found->second;
}

bool TargetRegistry::isEligible(const Target &target) const
{
    return !target.removed && !target.entry.draining
            && !evacuatedZones_.contains(target.entry.zone);
}

} // namespace chestnutvane
