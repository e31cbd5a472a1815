#include "chestnutvane/process/gateway/limits/crash_watch.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// Time within which a lost attempt can be charged with a crash. A crashed target is restarted after
// some seconds, and its new incarnation is in the list of targets about 1 s later.
constexpr std::chrono::seconds lostAttemptRetention{10};
// Time for which a change is reported. Counts are sent with the identity of the instance, in a
// report every 0.9 s, so each change is sent three times.
constexpr std::chrono::seconds reportPeriod{3};
// Number of crashes from which a count is reported until it expires.
constexpr std::uint32_t alwaysReportedCrashes = 2;
constexpr std::chrono::minutes countRetention{10};

} // namespace

CrashWatch::CrashWatch(const HolderId &counter, std::string region)
    : suspects_(counter, std::move(region),
                {.regionLimit = crashLimit, .fleetLimit = crashLimit, .retention = countRetention})
{ }

void CrashWatch::onAttemptLost(std::uint64_t request, std::uint64_t target, TimePoint now)
{
    lostAttempts_[target].push_back({request, now});
}

std::vector<std::uint64_t> CrashWatch::onTargetDown(std::uint64_t target, TimePoint now)
{
    const auto found = lostAttempts_.find(target);
    if (found == lostAttempts_.end())
        return {};
    std::vector<std::uint64_t> charged;
    for (const LostAttempt &lost : found->second) {
        const bool isCharged =
                std::find(charged.begin(), charged.end(), lost.request) != charged.end();
        if (isCharged || now - lost.when > lostAttemptRetention)
            continue;
        charged.push_back(lost.request);
        suspects_.recordCrash(lost.request, now);
        lastChanged_[lost.request] = now;
    }
    lostAttempts_.erase(found);
    return charged;
}

void CrashWatch::onAnswered(std::uint64_t request, TimePoint now)
{
    if (!lastChanged_.contains(request))
        return;
    suspects_.clearAfterSuccess(request, now);
    lastChanged_[request] = now;
}

bool CrashWatch::mayBeSent(std::uint64_t request, TimePoint now) const
{
    return suspects_.verdict(request, now) != SuspectVerdict::Refused;
}

std::vector<CrashCount> CrashWatch::countsToReport(TimePoint now) const
{
    if (isEmpty())
        return {};
    std::vector<CrashCount> counts = suspects_.counts(now);
    std::map<std::uint64_t, std::uint32_t> crashes; // uncleared crashes in the fleet, by request
    for (const CrashCount &count : counts)
        crashes[count.fingerprint] += count.crashes - count.cleared;
    std::erase_if(counts, [&](const CrashCount &count) {
        const auto changed = lastChanged_.find(count.fingerprint);
        const bool isRecent = changed != lastChanged_.end() && now - changed->second < reportPeriod;
        return !isRecent && crashes[count.fingerprint] < alwaysReportedCrashes;
    });
    // Requests closest to the limit first.
    std::stable_sort(counts.begin(), counts.end(),
                     [&crashes](const CrashCount &a, const CrashCount &b) {
                         return crashes[a.fingerprint] > crashes[b.fingerprint];
                     });
    if (counts.size() > maxReportedCounts)
        counts.resize(maxReportedCounts);
    return counts;
}

void CrashWatch::merge(std::span<const CrashCount> counts, TimePoint now)
{
    suspects_.merge(counts, now);
    // Not a recent change here: the instance that made the change reports it to all others.
    for (const CrashCount &count : counts)
        lastChanged_.try_emplace(count.fingerprint, now - reportPeriod);
}

void CrashWatch::expire(TimePoint now)
{
    suspects_.expire(now);
    std::erase_if(lastChanged_,
                  [now](const auto &entry) { return now - entry.second > countRetention; });
    for (auto &[target, list] : lostAttempts_)
        std::erase_if(list, [now](const LostAttempt &lost) {
            return now - lost.when > lostAttemptRetention;
        });
    std::erase_if(lostAttempts_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace chestnutvane
