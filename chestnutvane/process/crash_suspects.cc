#include "chestnutvane/process/crash_suspects.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// Ages lag by the time that a heartbeat travels. Without a margin two instances would hand an
// expiring count back and forth for ever.
constexpr Milliseconds relayMargin{10000};

} // namespace

CrashSuspects::CrashSuspects(const HolderId &self, std::string region,
                             const CrashSuspectSettings &settings)
    : self_(self), region_(std::move(region)), settings_(settings)
{ }

void CrashSuspects::charge(std::uint64_t fingerprint, TimePoint now)
{
    expire(now);
    const Key key{fingerprint, self_};
    if (!entries_.contains(key))
        makeRoom();
    Entry &entry = entries_[key];
    entry.region = region_;
    ++entry.crashes;
    entry.lastCrash = now;
}

void CrashSuspects::clear(std::uint64_t fingerprint, TimePoint now)
{
    expire(now);
    for (auto &[key, entry] : entries_) {
        if (key.fingerprint == fingerprint)
            entry.cleared = entry.crashes;
    }
}

void CrashSuspects::merge(std::span<const CrashCount> counts, TimePoint now)
{
    expire(now);
    for (const CrashCount &count : counts) {
        // The own crashes are known best here; others may only tell that they were cleared.
        const Key key{count.fingerprint, count.counter};
        const auto found = entries_.find(key);
        if (found == entries_.end()) {
            if (count.counter == self_ || count.age >= settings_.keptFor - relayMargin)
                continue;
            makeRoom();
            entries_[key] = {count.region, count.crashes, std::min(count.cleared, count.crashes),
                             now - std::max(count.age, Duration::zero())};
            continue;
        }
        Entry &entry = found->second;
        if (count.counter != self_ && count.crashes > entry.crashes) {
            entry.crashes = count.crashes;
            entry.lastCrash
                    = std::max(entry.lastCrash, now - std::max(count.age, Duration::zero()));
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
        if (now - entry.lastCrash >= settings_.keptFor)
            continue;
        const std::uint32_t crashes = entry.crashes - entry.cleared;
        inFleet += crashes;
        if (entry.region == region_)
            inRegion += crashes;
    }
    if (inRegion >= settings_.regionLimit || inFleet >= settings_.fleetLimit)
        return SuspectVerdict::Refused;
    return inFleet > 0 ? SuspectVerdict::Alone : SuspectVerdict::Clear;
}

std::vector<CrashCount> CrashSuspects::counts(TimePoint now) const
{
    std::vector<CrashCount> result;
    for (const auto &[key, entry] : entries_) {
        if (const Duration age = now - entry.lastCrash; age < settings_.keptFor)
            result.push_back({key.counter, entry.region, key.fingerprint, entry.crashes,
                              entry.cleared, age});
    }
    return result;
}

void CrashSuspects::expire(TimePoint now)
{
    std::erase_if(entries_,
                  [&](const auto &it) { return now - it.second.lastCrash >= settings_.keptFor; });
}

void CrashSuspects::makeRoom()
{
    while (!entries_.empty() && entries_.size() >= settings_.maxCounts) {
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto &a, const auto &b) {
                                            return a.second.lastCrash < b.second.lastCrash;
                                        }));
    }
}

} // namespace chestnutvane
