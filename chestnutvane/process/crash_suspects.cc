#include "chestnutvane/process/crash_suspects.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// A received count that expires within this margin is not inserted. Ages do not include the transit
// time of heartbeats, so without a margin two instances would send an expiring count back and forth
// for ever.
constexpr Milliseconds expiryMargin{10000};

struct ExpiringCrashes
{
    Duration remaining{}; // time until the count expires
    std::uint32_t crashes = 0;
};

std::uint32_t totalCrashes(const std::vector<ExpiringCrashes> &list)
{
    std::uint32_t crashes = 0;
    for (const ExpiringCrashes &count : list)
        crashes += count.crashes;
    return crashes;
}

// Returns the time until enough counts have expired for the sum to fall below a limit; nothing if
// it is below already.
std::optional<Duration> refusedFor(std::vector<ExpiringCrashes> list, std::uint32_t limit)
{
    std::sort(list.begin(), list.end(), [](const ExpiringCrashes &a, const ExpiringCrashes &b) {
        return a.remaining < b.remaining;
    });
    std::uint32_t crashes = totalCrashes(list);
    std::optional<Duration> result;
    for (const ExpiringCrashes &count : list) {
        if (crashes < limit)
            break;
        result = count.remaining;
        crashes -= count.crashes;
    }
    return result;
}

} // namespace

CrashSuspects::CrashSuspects(const HolderId &self, std::string region,
                             const CrashSuspectSettings &settings)
    : self_(self), region_(std::move(region)), settings_(settings)
{ }

void CrashSuspects::recordCrash(std::uint64_t fingerprint, TimePoint now)
{
    expire(now);
    const Key key{fingerprint, self_};
    const std::uint32_t generation = generationOf(fingerprint).value_or(0);
    if (!entries_.contains(key))
        evictOldest();
    Entry &entry = entries_[key];
    entry.generation = generation;
    entry.region = region_;
    ++entry.crashes;
    entry.lastCrash = now;
}

void CrashSuspects::clearAfterSuccess(std::uint64_t fingerprint, TimePoint now)
{
    expire(now);
    for (auto &[key, entry] : entries_) {
        if (key.fingerprint == fingerprint)
            entry.cleared = entry.crashes;
    }
}

std::uint32_t CrashSuspects::clearByOperator(std::uint64_t fingerprint, TimePoint now)
{
    expire(now);
    std::uint32_t counted = 0;
    for (auto it = entries_.lower_bound({fingerprint, {}});
         it != entries_.end() && it->first.fingerprint == fingerprint; ++it)
        counted += it->second.crashes - it->second.cleared;
    const std::uint32_t generation = generationOf(fingerprint).value_or(0) + 1;
    eraseFingerprint(fingerprint);
    evictOldest();
    entries_[{fingerprint, self_}] = {region_, 0, 0, now, generation};
    return counted;
}

void CrashSuspects::merge(std::span<const CrashCount> counts, TimePoint now)
{
    expire(now);
    for (const CrashCount &count : counts) {
        const auto generation = generationOf(count.fingerprint);
        if (generation && count.generation < *generation)
            continue; // outdated: an operator has cleared these crashes
        const TimePoint lastCrash = now - std::max(count.age, Duration::zero());
        const Key key{count.fingerprint, count.countedBy};
        const auto found = entries_.find(key);
        if (found == entries_.end() || count.generation > *generation) {
            if (count.age >= settings_.retention - expiryMargin)
                continue;
            if (generation && count.generation > *generation)
                eraseFingerprint(count.fingerprint);
            evictOldest();
            entries_[key] = {count.region, count.crashes, std::min(count.cleared, count.crashes),
                             lastCrash, count.generation};
            continue;
        }
        // This instance is authoritative for its own crashes; from others it merges only that they
        // were cleared.
        Entry &entry = found->second;
        if (count.countedBy != self_ && count.crashes > entry.crashes) {
            entry.crashes = count.crashes;
            entry.lastCrash = std::max(entry.lastCrash, lastCrash);
        }
        entry.cleared = std::min(entry.crashes, std::max(entry.cleared, count.cleared));
    }
}

SuspectVerdict CrashSuspects::verdict(std::uint64_t fingerprint, TimePoint now) const
{
    std::uint32_t inRegion = 0;
    std::uint32_t inFleet = 0;
    for (auto it = entries_.lower_bound({fingerprint, {}});
         it != entries_.end() && it->first.fingerprint == fingerprint; ++it) {
        const Entry &entry = it->second;
        if (now - entry.lastCrash >= settings_.retention)
            continue;
        const std::uint32_t crashes = entry.crashes - entry.cleared;
        inFleet += crashes;
        if (entry.region == region_)
            inRegion += crashes;
    }
    if (inRegion >= settings_.regionLimit || inFleet >= settings_.fleetLimit)
        return SuspectVerdict::Refused;
    return inFleet > 0 ? SuspectVerdict::Exclusive : SuspectVerdict::Allowed;
}

std::vector<CrashCount> CrashSuspects::counts(TimePoint now) const
{
    std::vector<CrashCount> result;
    for (const auto &[key, entry] : entries_) {
        if (const Duration age = now - entry.lastCrash; age < settings_.retention)
            result.push_back({key.countedBy, entry.region, key.fingerprint, entry.crashes,
                              entry.cleared, age, entry.generation});
    }
    return result;
}

std::vector<SuspectReport> CrashSuspects::report(TimePoint now) const
{
    std::vector<SuspectReport> reports;
    std::map<std::string, std::vector<ExpiringCrashes>> byRegion;
    const auto finish = [&] {
        if (reports.empty())
            return;
        std::vector<ExpiringCrashes> all;
        for (const auto &[region, list] : byRegion) {
            all.insert(all.end(), list.begin(), list.end());
            reports.back().regions.push_back(
                    {region, totalCrashes(list), refusedFor(list, settings_.regionLimit)});
        }
        reports.back().crashes = totalCrashes(all);
        reports.back().refusedFor = refusedFor(all, settings_.fleetLimit);
        byRegion.clear();
    };
    for (const auto &[key, entry] : entries_) {
        const Duration age = now - entry.lastCrash;
        if (age >= settings_.retention)
            continue;
        if (reports.empty() || reports.back().fingerprint != key.fingerprint) {
            finish();
            reports.push_back(
                    {.fingerprint = key.fingerprint, .clears = entry.generation, .age = age});
        }
        reports.back().age = std::min(reports.back().age, age);
        if (entry.crashes > entry.cleared)
            byRegion[entry.region].push_back(
                    {settings_.retention - age, entry.crashes - entry.cleared});
    }
    finish();
    return reports;
}

std::optional<std::uint32_t> CrashSuspects::generationOf(std::uint64_t fingerprint) const
{
    const auto found = entries_.lower_bound({fingerprint, {}});
    if (found == entries_.end() || found->first.fingerprint != fingerprint)
        return std::nullopt;
    return found->second.generation;
}

void CrashSuspects::eraseFingerprint(std::uint64_t fingerprint)
{
    std::erase_if(entries_, [&](const auto &it) { return it.first.fingerprint == fingerprint; });
}

void CrashSuspects::expire(TimePoint now)
{
    std::erase_if(entries_,
                  [&](const auto &it) { return now - it.second.lastCrash >= settings_.retention; });
}

void CrashSuspects::evictOldest()
{
    while (!entries_.empty() && entries_.size() >= settings_.maxCounts) {
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto &a, const auto &b) {
                                            return a.second.lastCrash < b.second.lastCrash;
                                        }));
    }
}

} // namespace chestnutvane
