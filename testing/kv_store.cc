#include "testing/kv_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chestnutvane {
namespace {

constexpr std::size_t maxValueBytes = 1'000'000;

} // namespace

const StoreEntry *KvStore::get(const std::string &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second.entry;
}

WatchResult KvStore::list(std::string_view prefix) const
{
    WatchResult result;
    result.version = version_;
    for (auto it = records_.lower_bound(prefix);
         it != records_.end() && it->first.starts_with(prefix); ++it)
        result.entries.push_back(it->second.entry);
    return result;
}

Result<std::uint64_t, SwapRefusal> KvStore::compareAndSwap(const CompareAndSwap &swap)
{
    const StoreEntry *current = get(swap.key);
    const std::uint64_t currentVersion = current == nullptr ? 0 : current->version;
    if (swap.value.size() > maxValueBytes)
        return SwapRefusal{StoreFailure::TooLarge, currentVersion};
    if (currentVersion != swap.expectedVersion)
        return SwapRefusal{StoreFailure::Conflict, currentVersion};
    if (!swap.remove && swap.leaseId != 0 && !leases_.contains(swap.leaseId))
        return SwapRefusal{StoreFailure::NotFound, currentVersion};
    if (swap.remove) {
        remove(swap.key);
    } else {
        ++version_;
        records_[swap.key] = {{swap.key, swap.value, version_}, swap.leaseId};
        lastChange_[swap.key] = version_;
    }
    const std::uint64_t version = version_;
    answerWatches(
            [this](const Watch &watch) { return changedAfter(watch.prefix, watch.afterVersion); });
    return version;
}

std::uint64_t KvStore::grantLease(Milliseconds ttl, TimePoint now)
{
    leases_[++lastLease_] = {ttl, now + ttl};
    return lastLease_;
}

bool KvStore::keepAlive(std::uint64_t leaseId, TimePoint now)
{
    const auto found = leases_.find(leaseId);
    if (found == leases_.end())
        return false;
    found->second.end = now + found->second.ttl;
    return true;
}

bool KvStore::revokeLease(std::uint64_t leaseId)
{
    if (leases_.erase(leaseId) == 0)
        return false;
    std::vector<std::string> keys;
    for (const auto &[key, record] : records_) {
        if (record.leaseId == leaseId)
            keys.push_back(key);
    }
    for (const std::string &key : keys)
        remove(key);
    answerWatches(
            [this](const Watch &watch) { return changedAfter(watch.prefix, watch.afterVersion); });
    return true;
}

void KvStore::expire(TimePoint now)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : leases_) {
        if (lease.end <= now)
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        revokeLease(id);
    answerWatches([now](const Watch &watch) { return watch.deadline <= now; });
}

void KvStore::watch(std::string prefix, std::uint64_t afterVersion, TimePoint deadline,
                    WatchCallback callback)
{
    if (changedAfter(prefix, afterVersion))
        return callback(list(prefix));
    watches_.push_back({std::move(prefix), afterVersion, deadline, std::move(callback)});
}

bool KvStore::changedAfter(std::string_view prefix, std::uint64_t version) const
{
    for (auto it = lastChange_.lower_bound(prefix);
         it != lastChange_.end() && it->first.starts_with(prefix); ++it) {
        if (it->second > version)
            return true;
    }
    return false;
}

void KvStore::remove(const std::string &key)
{
    if (records_.erase(key) != 0)
        lastChange_[key] = ++version_;
}

// Takes the watches out before any is called, because a callback may add a watch.
template <class Predicate>
void KvStore::answerWatches(Predicate isDue)
{
    const auto due = std::stable_partition(watches_.begin(), watches_.end(),
                                           [&](const Watch &watch) { return !isDue(watch); });
    std::vector<Watch> answered(std::make_move_iterator(due),
                                std::make_move_iterator(watches_.end()));
    watches_.erase(due, watches_.end());
    for (const Watch &watch : answered)
        watch.callback(list(watch.prefix));
}

} // namespace chestnutvane
