#include "chestnutvane/process/gateway/target_registry.h"

#include <iterator>
#include <utility>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

bool isNewIncarnation(const TargetEntry &before, const TargetEntry &after)
{
    return before.startedAt != after.startedAt || after.sequence < before.sequence;
}

// Resets the state that belongs to an earlier incarnation.
void resetIncarnationState(Target &target)
{
    target.warmObjects.clear();
    target.backOffUntil = {};
    target.fullUntil = {};
    target.consecutiveFailures = 0;
    target.failureRate = 0;
    target.runTimeFactor = 1;
    target.coldStartUntil = {};
    target.receivedRequest = false;
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
        auto &target = byId_[entry.id];
        if (!target) {
            target = std::make_shared<Target>();
            target->hash = reportKey(hash64(entry.id));
            changes.push_back({entry.id, TargetChangeKind::Added});
            target->coldStartUntil = now + entry.coldRemaining;
            target->firstListedAt = now;
        } else {
            if (isNewIncarnation(target->entry, entry)) {
                resetIncarnationState(*target);
                changes.push_back({entry.id, TargetChangeKind::Restarted});
            } else if (target->entry.address != entry.address) {
                changes.push_back({entry.id, TargetChangeKind::Readdressed});
            }
            if (entry.draining && !target->entry.draining)
                changes.push_back({entry.id, TargetChangeKind::Draining});
            if (entry.sequence != target->entry.sequence)
                target->coldStartUntil =
                        std::max(target->coldStartUntil, now + entry.coldRemaining);
        }
        target->entry = entry;
        target->region = regionOf(entry.zone);
    }
    for (auto it = byId_.begin(); it != byId_.end();) {
        if (listed.contains(it->first) || removals == RemovalPolicy::Keep) {
            ++it;
            continue;
        }
        it->second->removed = true;
        changes.push_back({it->first, TargetChangeKind::Removed, it->second->entry.draining});
        it = byId_.erase(it);
    }
    rebuildIndex();
    return changes;
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
