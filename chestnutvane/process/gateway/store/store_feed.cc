#include "chestnutvane/process/gateway/store/store_feed.h"

#include <algorithm>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Bounds of the exponential back-off after failed calls.
constexpr Milliseconds minRetryDelay{150};
constexpr Milliseconds maxRetryDelay{800};

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &io, Store store, FeedFormat format, PeerIdentity self,
                     FeedCallbacks callbacks)
    : store_(std::move(store)), format_(std::move(format)), self_(std::move(self)),
      callbacks_(std::move(callbacks)),
      random_(static_cast<std::mt19937::result_type>(self_.incarnation)), owner_(io)
{
    for (LoopState &loop : loops_)
        loop.timer = std::make_unique<boost::asio::steady_timer>(io);
}

void StoreFeed::start()
{
    if (store_.changesSince)
        loops_[indexOf(Loop::Targets)].readKind = ReadKind::StaleList;
    for (const Loop loop : {Loop::Operator, Loop::Targets, Loop::Lease, Loop::Instances})
        run(loop);
}

void StoreFeed::scheduleRun(Loop loop, Milliseconds delay)
{
    loops_[indexOf(loop)].isParked = false;
    auto &timer = *loops_[indexOf(loop)].timer;
    timer.expires_after(delay);
    timer.async_wait(owner_.guarded([this, loop](const boost::system::error_code &cancelled) {
        if (cancelled)
            return;
        loops_[indexOf(loop)].awaitsRetry = false;
        run(loop);
    }));
}

void StoreFeed::run(Loop loop)
{
    loops_[indexOf(loop)].callStart = Clock::now();
    switch (loop) {
    case Loop::Operator:
    case Loop::Targets:
        return readOrReschedule(loop);
    case Loop::Lease:
        return renewLease();
    case Loop::Instances:
        return readInstances();
    }
}

void StoreFeed::retry(Loop loop, const StoreError &failure)
{
    LoopState &state = loops_[indexOf(loop)];
    ++state.failures;
    state.awaitsRetry = true;
    // The failure of a call that was sent before the store became reachable again says nothing
    // about its current state.
    if (!storeUnreachable_ && state.callStart > reachableSince_) {
        storeUnreachable_ = true;
        logEvent(Event::StoreFailed,
                 {{"reason", enumName(storeFailureNames, failure.failure)},
                  {"detail", failure.detail}});
    }
    // The platform charges for refused calls too. While the store is unreachable only the reads
    // probe it; the other loops resume as soon as one of them succeeds.
    const bool isRead = loop == Loop::Operator || loop == Loop::Targets;
    const bool readAwaitsRetry = loops_[indexOf(Loop::Operator)].awaitsRetry
            || loops_[indexOf(Loop::Targets)].awaitsRetry;
    if (storeUnreachable_ && !isRead && readAwaitsRetry) {
        state.isParked = true;
        return;
    }
    constexpr int maxDoublings = 4;
    const auto delay = std::min(maxRetryDelay,
                                minRetryDelay * (1 << std::min(state.failures - 1, maxDoublings)));
    std::uniform_int_distribution<Milliseconds::rep> jitteredDelay(delay.count() / 2,
                                                                   delay.count());
    scheduleRun(loop, Milliseconds(jitteredDelay(random_)));
}

void StoreFeed::onSuccess(Loop loop)
{
    loops_[indexOf(loop)].failures = 0;
    if (!storeUnreachable_)
        return;
    storeUnreachable_ = false;
    reachableSince_ = Clock::now();
    logEvent(Event::StoreRegained, {});
    for (const Loop other : {Loop::Operator, Loop::Targets, Loop::Lease, Loop::Instances}) {
        if (other != loop && loops_[indexOf(other)].awaitsRetry)
            scheduleRun(other, Milliseconds{0});
    }
}

FeedFreshness &StoreFeed::freshness(Loop loop)
{
    return loop == Loop::Operator ? operatorFreshness_ : targetsFreshness_;
}

bool StoreFeed::isDue(Loop loop)
{
    if (const auto end = graceEnd(loop);
        loops_[indexOf(loop)].removalsDeferred && end && Clock::now() >= *end)
        return true; // this read removes the entries that were not written again
    return isReadDue(freshness(loop), isReader_, BootClock::now());
}

void StoreFeed::readOrReschedule(Loop loop)
{
    LoopState &state = loops_[indexOf(loop)];
    if (state.readRunning)
        return;
    if (isDue(loop))
        return startRead(loop);
    resumeParkedLoops();
    const Milliseconds limit = isReader_ ? readerReadPeriod : confirmationTimeout;
    const auto dueIn = std::chrono::duration_cast<Milliseconds>(freshness(loop).confirmedAt()
                                                                + limit - BootClock::now());
    Milliseconds delay = std::clamp(dueIn + Milliseconds{1}, Milliseconds{1}, limit);
    if (const auto end = graceEnd(loop); state.removalsDeferred && end) {
        const auto untilGraceEnds = std::chrono::duration_cast<Milliseconds>(*end - Clock::now());
        delay = std::clamp(untilGraceEnds + Milliseconds{1}, Milliseconds{1}, delay);
    }
    scheduleRun(loop, delay);
}

// Lets the other loops probe an unreachable store by themselves when no read does, because the
// reports of other instances confirm the content.
void StoreFeed::resumeParkedLoops()
{
    if (loops_[indexOf(Loop::Operator)].awaitsRetry || loops_[indexOf(Loop::Targets)].awaitsRetry)
        return;
    for (const Loop loop : {Loop::Lease, Loop::Instances}) {
        if (loops_[indexOf(loop)].isParked)
            scheduleRun(loop, Milliseconds{0});
    }
}

void StoreFeed::startRead(Loop loop)
{
    LoopState &state = loops_[indexOf(loop)];
    state.readRunning = true;
    state.callStart = Clock::now();
    state.readStart = BootClock::now();
    const auto &prefix = loop == Loop::Operator ? format_.operatorPrefix : format_.targetPrefix;
    switch (state.readKind) {
    case ReadKind::Changes:
        return store_.changesSince(
                prefix, state.staleList ? state.staleList->version : state.lastList.version,
                owner_.posted<Result<StoreChanges, StoreError>>(
                        [this, loop](const auto &r) { onChanges(loop, r); }));
    case ReadKind::StaleList:
        return store_.listStale(prefix,
                                owner_.posted<Result<WatchResult, StoreError>>(
                                        [this, loop](const auto &r) { onStaleList(loop, r); }));
    case ReadKind::List:
        return store_.list(prefix,
                           owner_.posted<Result<WatchResult, StoreError>>(
                                   [this, loop](const auto &r) { onList(loop, r); }));
    }
}

void StoreFeed::onStaleList(Loop loop, const Result<WatchResult, StoreError> &result)
{
    LoopState &state = loops_[indexOf(loop)];
    state.readRunning = false;
    if (!isOk(result))
        return retry(loop, error(result));
    onSuccess(loop);
    if (!takeEra(loop, value(result).era, ReadKind::StaleList))
        return;
    if (value(result).version == 0) {
        state.readKind = ReadKind::List;
    } else {
        state.staleList = value(result);
        state.readKind = ReadKind::Changes;
    }
    startRead(loop);
}

void StoreFeed::onChanges(Loop loop, const Result<StoreChanges, StoreError> &result)
{
    LoopState &state = loops_[indexOf(loop)];
    state.readRunning = false;
    const bool needsList = !isOk(result)
            && (error(result).failure == StoreFailure::HistoryCompacted
                || error(result).failure == StoreFailure::TooLarge);
    if (needsList) {
        onSuccess(loop);
        if (!takeEra(loop, error(result).era, ReadKind::Changes))
            return;
        // If even the version of a stale list is too old, only a list of the current entries helps.
        const bool wasStale = state.staleList.has_value();
        logEvent(Event::HistoryGap,
                 {{"prefix",
                   enumName(feedPrefixNames,
                            loop == Loop::Operator ? FeedPrefix::OperatorKeys
                                                   : FeedPrefix::Targets)},
                  {"reason", enumName(storeFailureNames, error(result).failure)},
                  {"after", wasStale ? state.staleList->version : state.lastList.version}});
        state.staleList.reset();
        state.readKind = wasStale || loop == Loop::Operator ? ReadKind::List : ReadKind::StaleList;
        return startRead(loop);
    }
    if (!isOk(result))
        return retry(loop, error(result));
    onSuccess(loop);
    if (!takeEra(loop, value(result).era, ReadKind::Changes))
        return;
    const auto staleList = std::exchange(state.staleList, std::nullopt);
    onContentRead(loop, applyStoreChanges(staleList ? *staleList : state.lastList, value(result)));
}

void StoreFeed::onList(Loop loop, const Result<WatchResult, StoreError> &result)
{
    LoopState &state = loops_[indexOf(loop)];
    state.readRunning = false;
    if (!isOk(result))
        return retry(loop, error(result));
    onSuccess(loop);
    if (!takeEra(loop, value(result).era, ReadKind::List))
        return;
    if (store_.changesSince)
        state.readKind = ReadKind::Changes;
    onContentRead(loop, value(result));
}

void StoreFeed::onContentRead(Loop loop, WatchResult list)
{
    list.era = era_;
    const LoopState &state = loops_[indexOf(loop)];
    // A peer's change that was applied while the read was in flight may be newer than this list.
    if (state.readStart > state.peerChangeReadAt)
        applyList(loop, list, state.readStart, ContentSource::Store);
    callbacks_.onContentConfirmed();
    readOrReschedule(loop);
}

bool StoreFeed::takeEra(Loop loop, std::uint64_t era, ReadKind kind)
{
    LoopState &state = loops_[indexOf(loop)];
    if (era == 0)
        era = era_; // the answer tells none
    if (era > era_)
        beginEra(era, ContentSource::Store);
    // What the history starts from may be of an earlier era than the answer.
    const std::uint64_t base = state.staleList ? state.staleList->era : state.lastList.era;
    if (era == era_ && (kind != ReadKind::Changes || base == era_))
        return true;
    state.staleList.reset();
    state.readKind = ReadKind::List;
    if (era == era_)
        startRead(loop);
    else
        scheduleRun(loop, minRetryDelay); // the answer was sent before the store came back
    return false;
}

void StoreFeed::beginEra(std::uint64_t era, ContentSource source)
{
    const std::uint64_t before = std::exchange(era_, era);
    if (before == 0 && !operatorFreshness_.hasContent() && !targetsFreshness_.hasContent())
        return; // nothing was read from an earlier one
    eraSince_ = Clock::now();
    logEvent(Event::StoreEraChanged,
             {{"from", before}, {"to", era}, {"source", enumName(contentSourceNames, source)}});
    for (const Loop loop : {Loop::Operator, Loop::Targets}) {
        LoopState &state = loops_[indexOf(loop)];
        state.staleList.reset();
        state.readKind = ReadKind::List;
        freshness(loop).markOutdated();
        if (!state.readRunning)
            scheduleRun(loop, Milliseconds{0});
    }
    // The id of the old lease may be another instance's, so it is neither renewed nor revoked.
    leaseId_ = 0;
    if (!deregistered_)
        scheduleRun(Loop::Lease, Milliseconds{0});
    callbacks_.onEraChanged(source);
}

std::optional<TimePoint> StoreFeed::graceEnd(Loop loop) const
{
    // An outage makes the entries of targets expire, but none of the operator's.
    const TimePoint since =
            loop == Loop::Targets ? std::max(reachableSince_, eraSince_) : eraSince_;
    if (since == TimePoint{})
        return std::nullopt;
    return since + reregistrationGrace;
}

bool StoreFeed::hasAllContent() const
{
    return operatorFreshness_.hasContent() && targetsFreshness_.hasContent();
}

void StoreFeed::onPeerReport(const LoadReport &report)
{
    const BootTime now = BootClock::now();
    lastPeerReport_ = Clock::now();
    if (!report.feedChange.empty())
        applyPeerChange(report);
    targetsFreshness_.onPeerStatus(report.targetsFeed, now);
    operatorFreshness_.onPeerStatus(report.operatorFeed, now);
    if (!operatorFreshness_.isOutdated() && !targetsFreshness_.isOutdated())
        return;
    // The reader of the region reads from the store; other instances ask the peer first.
    if (isReader_)
        readOutdated();
    else
        callbacks_.askPeer(report.sender);
}

void StoreFeed::readOutdated()
{
    for (const Loop loop : {Loop::Operator, Loop::Targets}) {
        if (freshness(loop).isOutdated() && !loops_[indexOf(loop)].awaitsRetry)
            readOrReschedule(loop);
    }
}

FeedStatus StoreFeed::targetsStatus() const
{
    return targetsFreshness_.status(BootClock::now());
}

FeedStatus StoreFeed::operatorStatus() const
{
    return operatorFreshness_.status(BootClock::now());
}

Milliseconds StoreFeed::targetsAge() const
{
    return std::chrono::ceil<Milliseconds>(BootClock::now() - targetsFreshness_.confirmedAt());
}

Milliseconds StoreFeed::operatorAge() const
{
    return std::chrono::ceil<Milliseconds>(BootClock::now() - operatorFreshness_.confirmedAt());
}

} // namespace chestnutvane
