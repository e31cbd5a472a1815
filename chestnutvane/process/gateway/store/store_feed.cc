#include "chestnutvane/process/gateway/store/store_feed.h"

#include <algorithm>

#include "chestnutvane/process/gateway/store/instance_entry.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// The entry of a dead instance expires after this time. With a read of the list every
// isolatedInstanceReadPeriod, callers are no longer directed to it after 4 s.
constexpr Milliseconds leaseTtl{3000};
constexpr Milliseconds leaseRenewalPeriod{1000}; // the lease survives two failed renewals
// A starting instance sends reports to all instances in the list, and missing reports reveal dead
// instances. Later reads only discover instances whose first reports were lost. Their period grows
// with the fleet, which reads about 10 lists a second in all.
constexpr Milliseconds minInstanceReadPeriod{6000};
constexpr Milliseconds maxInstanceReadPeriod{30000};
constexpr Milliseconds instanceReadPeriodPerInstance{100};
// Read period of an instance that receives no reports from its region: it may depend on the list
// alone to find live instances.
constexpr Milliseconds isolatedInstanceReadPeriod{800};
// Delay before the second read of an instance that starts, so that instances that start together
// discover each other. It doubles with each read.
constexpr Milliseconds firstInstanceReadPeriod{400};
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

// Returns a callback for a store call of the loop. A failure schedules a retry; a result is passed
// to onResult on the thread of the io_context.
template <class T, class OnResult>
auto StoreFeed::withRetry(Loop loop, OnResult onResult)
{
    return owner_.posted<Result<T, StoreError>>(
            [this, loop, onResult](Result<T, StoreError> result) {
                if (!isOk(result))
                    return retry(loop, error(result));
                onSuccess(loop);
                onResult(value(std::move(result)));
            });
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
    if (loop == Loop::Targets && removalsDeferred_
        && Clock::now() >= reachableSince_ + reregistrationGrace)
        return true; // this read removes the targets that have not registered again
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
    if (loop == Loop::Targets && removalsDeferred_) {
        const auto untilGraceEnds = std::chrono::duration_cast<Milliseconds>(
                reachableSince_ + reregistrationGrace - Clock::now());
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
    if (!isOk(result) && error(result).failure == StoreFailure::HistoryCompacted) {
        onSuccess(loop);
        // If even the version of a stale list is gone, only a list of the current entries helps.
        const bool wasStale = state.staleList.has_value();
        logEvent(Event::HistoryGap,
                 {{"prefix",
                   enumName(feedPrefixNames,
                            loop == Loop::Operator ? FeedPrefix::OperatorKeys
                                                   : FeedPrefix::Targets)},
                  {"after", wasStale ? state.staleList->version : state.lastList.version}});
        state.staleList.reset();
        state.readKind = wasStale || loop == Loop::Operator ? ReadKind::List : ReadKind::StaleList;
        return startRead(loop);
    }
    if (!isOk(result))
        return retry(loop, error(result));
    onSuccess(loop);
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
    if (store_.changesSince)
        state.readKind = ReadKind::Changes;
    onContentRead(loop, value(result));
}

void StoreFeed::onContentRead(Loop loop, const WatchResult &list)
{
    const LoopState &state = loops_[indexOf(loop)];
    // A peer's change that was applied while the read was in flight may be newer than this list.
    if (state.readStart > state.peerChangeReadAt)
        applyList(loop, list, state.readStart, ContentSource::Store);
    callbacks_.onContentConfirmed();
    readOrReschedule(loop);
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

void StoreFeed::renewLease()
{
    if (deregistered_)
        return;
    if (leaseId_ == 0) {
        entryWritten_ = false;
        return store_.grantLease(leaseTtl,
                                 withRetry<std::uint64_t>(Loop::Lease, [this](std::uint64_t id) {
                                     leaseId_ = id;
                                     logEvent(Event::LeaseObtained, {{"lease", id}});
                                     writeEntry();
                                 }));
    }
    if (!entryWritten_)
        return writeEntry();
    store_.keepAlive(leaseId_, owner_.posted<Result<Done, StoreError>>([this](const auto &result) {
        onLeaseResult(isOk(result) ? std::nullopt : std::optional(error(result)));
    }));
}

void StoreFeed::writeEntry()
{
    CompareAndSwap swap;
    // The incarnation distinguishes the key from entries of earlier starts of this instance.
    swap.key = format_.instancePrefix + self_.id + "." + std::to_string(self_.incarnation) + "."
            + std::to_string(leaseId_);
    swap.value = encodeInstanceEntry(self_);
    swap.leaseId = leaseId_;
    const auto onWritten = [this](const Result<std::uint64_t, StoreError> &result) {
        const bool isWritten = isOk(result) || error(result).failure == StoreFailure::Conflict;
        entryWritten_ = entryWritten_ || isWritten;
        onLeaseResult(isWritten ? std::nullopt : std::optional(error(result)));
    };
    store_.compareAndSwap(swap, owner_.posted<Result<std::uint64_t, StoreError>>(onWritten));
}

// Handles the result of a lease renewal or of a write of the entry.
void StoreFeed::onLeaseResult(const std::optional<StoreError> &failure)
{
    if (!failure) {
        onSuccess(Loop::Lease);
        return scheduleRun(Loop::Lease, leaseRenewalPeriod);
    }
    if (failure->failure == StoreFailure::NotFound)
        return replaceLease();
    retry(Loop::Lease, *failure);
}

void StoreFeed::replaceLease()
{
    logEvent(Event::LeaseLost, {{"lease", leaseId_}});
    leaseId_ = 0;
    onSuccess(Loop::Lease); // NotFound is a response, so the store is reachable
    scheduleRun(Loop::Lease, Milliseconds{0});
}

void StoreFeed::readInstances()
{
    // Load reports decide which instances are alive, and the list only serves to discover new ones.
    // An instance that no longer hears any has nothing else to tell the dead from the living.
    const bool hasLostPeers = lastPeerReport_ != TimePoint{} && isIsolated();
    const auto &list = hasLostPeers ? store_.list : store_.listStale;
    list(format_.instancePrefix,
         withRetry<WatchResult>(Loop::Instances, [this](const WatchResult &result) {
             std::vector<PeerIdentity> instances;
             for (const StoreEntry &entry : result.entries) {
                 if (auto instance = decodeInstanceEntry(entry.value))
                     instances.push_back(std::move(*instance));
             }
             const std::size_t count = instances.size();
             callbacks_.onInstances(std::move(instances));
             scheduleRun(Loop::Instances, nextInstanceRead(count));
         }));
}

bool StoreFeed::isIsolated() const
{
    return Clock::now() - lastPeerReport_ > FleetView::livenessTimeout;
}

Milliseconds StoreFeed::nextInstanceRead(std::size_t instances)
{
    constexpr int maxDoublings = 8;
    const Milliseconds startup =
            firstInstanceReadPeriod * (1 << std::min(instanceReads_++, maxDoublings));
    const Milliseconds regular = isIsolated()
            ? isolatedInstanceReadPeriod
            : std::clamp(instanceReadPeriodPerInstance * static_cast<Milliseconds::rep>(instances),
                         minInstanceReadPeriod, maxInstanceReadPeriod);
    return std::min(startup, regular);
}

void StoreFeed::deregister()
{
    deregistered_ = true;
    loops_[indexOf(Loop::Lease)].timer->cancel();
    if (leaseId_ == 0)
        return;
    store_.revokeLease(leaseId_, [](const Result<Done, StoreError> &result) {
        if (!isOk(result)) // the entry expires with its lease within leaseTtl
            logEvent(Event::StoreFailed, {{"reason", "leave"}, {"detail", error(result).detail}});
    });
}

} // namespace chestnutvane
