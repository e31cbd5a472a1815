#include "chestnutvane/process/gateway/crash_watch.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// A target that crashed is back after some seconds, and its new start is in the list of targets a
// second after that.
constexpr std::chrono::seconds lostKept{10};
// The names of an instance, and with them these counts, go with a report each 0.9 s; so a change is
// told three times.
constexpr std::chrono::seconds newsPeriod{3};
// Crashes from which a count is told until it is too old.
constexpr std::uint32_t toldCrashes = 2;
constexpr std::chrono::minutes countsKept{10};

} // namespace

CrashWatch::CrashWatch(const HolderId &counter, std::string region)
    : suspects_(counter, std::move(region),
                {.regionLimit = crashLimit, .fleetLimit = crashLimit, .keptFor = countsKept})
{ }

void CrashWatch::onLost(std::uint64_t request, std::uint64_t target, TimePoint now)
{
    lost_[target].push_back({request, now});
}

std::vector<std::uint64_t> CrashWatch::onDown(std::uint64_t target, TimePoint now)
{
    const auto found = lost_.find(target);
    if (found == lost_.end())
        return {};
    std::vector<std::uint64_t> charged;
    for (const Lost &lost : found->second) {
        const bool isCounted =
                std::find(charged.begin(), charged.end(), lost.request) != charged.end();
        if (isCounted || now - lost.when > lostKept)
            continue;
        charged.push_back(lost.request);
        suspects_.charge(lost.request, now);
        changed_[lost.request] = now;
    }
    lost_.erase(found);
    return charged;
}

void CrashWatch::onAnswered(std::uint64_t request, TimePoint now)
{
    if (!changed_.contains(request))
        return;
    suspects_.clear(request, now);
    changed_[request] = now;
}

bool CrashWatch::mayBeSent(std::uint64_t request, TimePoint now) const
{
    return suspects_.verdict(request, now) != SuspectVerdict::Refused;
}

std::vector<CrashCount> CrashWatch::news(TimePoint now) const
{
    if (isEmpty())
        return {};
    std::vector<CrashCount> counts = suspects_.counts(now);
    std::map<std::uint64_t, std::uint32_t> crashes; // not cleared, in the fleet, by request
    for (const CrashCount &count : counts)
        crashes[count.fingerprint] += count.crashes - count.cleared;
    std::erase_if(counts, [&](const CrashCount &count) {
        const auto changed = changed_.find(count.fingerprint);
        const bool isNew = changed != changed_.end() && now - changed->second < newsPeriod;
        return !isNew && crashes[count.fingerprint] < toldCrashes;
    });
    // The requests nearest to the limit go first.
    std::stable_sort(counts.begin(), counts.end(),
                     [&crashes](const CrashCount &a, const CrashCount &b) {
                         return crashes[a.fingerprint] > crashes[b.fingerprint];
                     });
    if (counts.size() > maxNews)
        counts.resize(maxNews);
    return counts;
}

void CrashWatch::merge(std::span<const CrashCount> counts, TimePoint now)
{
    suspects_.merge(counts, now);
    // The instance that changed a count tells it to all others.
    for (const CrashCount &count : counts)
        changed_.try_emplace(count.fingerprint, now - newsPeriod);
}

void CrashWatch::expire(TimePoint now)
{
    suspects_.expire(now);
    std::erase_if(changed_, [now](const auto &entry) { return now - entry.second > countsKept; });
    for (auto &[target, list] : lost_)
        std::erase_if(list, [now](const Lost &lost) { return now - lost.when > lostKept; });
    std::erase_if(lost_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace chestnutvane
