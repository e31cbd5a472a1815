#include "chestnutvane/process/gateway/feed_sharing.h"

#include <algorithm>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

void FeedFreshness::onOwnRead(BootTime start, std::uint64_t fingerprint)
{
    fingerprint_ = fingerprint;
    confirmedAt_ = std::max(confirmedAt_, start);
    lastRead_ = start;
    outdated_ = false;
}

void FeedFreshness::onPeer(const FeedStatus &status, BootTime now)
{
    if (status.fingerprint == 0)
        return;
    const BootTime readAt = now - status.age - reportTransit;
    if (readAt <= confirmedAt_)
        return;
    if (status.fingerprint == fingerprint_) {
        confirmedAt_ = readAt;
        outdated_ = false;
    } else {
        outdated_ = true;
    }
}

bool FeedFreshness::mayApply(std::uint64_t from, BootTime readAt) const
{
    return hasRead() && from == fingerprint_ && readAt > confirmedAt_;
}

FeedStatus FeedFreshness::status(BootTime now) const
{
    return {fingerprint_, std::chrono::duration_cast<Milliseconds>(now - confirmedAt_)};
}

bool isReadDue(const FeedFreshness &freshness, bool isReader, BootTime now)
{
    const Milliseconds limit = isReader ? readerPeriod : confirmationLimit;
    return freshness.isOutdated() || now - freshness.confirmedAt() >= limit;
}

void StallGuard::onTick(BootTime now)
{
    // Time for the datagrams that waited to be taken from the buffer.
    constexpr Milliseconds emptying{200};
    if (now - lastTick_ > stallLimit)
        distrustUntil_ = now + emptying;
    lastTick_ = now;
}

bool StallGuard::mayBeOld(BootTime now) const
{
    return now < distrustUntil_ || now - lastTick_ > stallLimit;
}

bool isReader(const std::string &self, const std::vector<ReaderCandidate> &others)
{
    const std::uint64_t own = hash64(self);
    return std::none_of(others.begin(), others.end(), [own](const ReaderCandidate &other) {
        return other.age < confirmationLimit && hash64(other.id) < own;
    });
}

} // namespace chestnutvane
