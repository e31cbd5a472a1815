#include "chestnutvane/process/gateway/fleet/feed_sharing.h"

#include <algorithm>
#include <utility>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

void FeedFreshness::onContentRead(BootTime start, std::uint64_t fingerprint, ContentSource source,
                                  std::uint64_t era)
{
    era_ = era;
    fingerprint_ = fingerprint;
    confirmedAt_ = std::max(confirmedAt_, start);
    if (source == ContentSource::Store)
        ownReadAt_ = start;
    outdated_ = false;
}

void FeedFreshness::onPeerStatus(const FeedStatus &status, BootTime now)
{
    if (status.fingerprint == 0 || status.era < era_)
        return;
    if (status.era > era_) {
        outdated_ = true;
        return;
    }
    const BootTime readAt = now - status.age - maxReportTransit;
    if (readAt <= confirmedAt_)
        return;
    if (status.fingerprint == fingerprint_) {
        confirmedAt_ = readAt;
        outdated_ = false;
    } else {
        outdated_ = true;
    }
}

bool FeedFreshness::mayApplyChange(std::uint64_t from, BootTime readAt, std::uint64_t era) const
{
    return hasContent() && era == era_ && from == fingerprint_ && readAt > confirmedAt_;
}

FeedStatus FeedFreshness::status(BootTime now) const
{
    return {fingerprint_, std::chrono::duration_cast<Milliseconds>(now - ownReadAt_), era_};
}

bool isReadDue(const FeedFreshness &freshness, bool isReader, BootTime now)
{
    const Milliseconds limit = isReader ? readerReadPeriod : confirmationTimeout;
    return freshness.isOutdated() || now - freshness.confirmedAt() >= limit;
}

void StallDetector::onTick(BootTime now)
{
    // Time to read the datagrams that were buffered during the stall.
    constexpr Milliseconds bufferReadTime{200};
    if (now - lastTick_ > stallThreshold)
        staleUntil_ = now + bufferReadTime;
    lastTick_ = now;
}

bool StallDetector::datagramsMayBeStale(BootTime now) const
{
    return now < staleUntil_ || now - lastTick_ > stallThreshold;
}

bool isReader(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    const auto order = [](const ReaderCandidate &candidate) {
        return std::pair(-candidate.coreShare, hash64(candidate.id));
    };
    return std::none_of(others.begin(), others.end(), [&](const ReaderCandidate &other) {
        return other.age < confirmationTimeout && order(other) < order(self);
    });
}

} // namespace chestnutvane
