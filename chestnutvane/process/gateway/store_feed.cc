#include "chestnutvane/process/gateway/store_feed.h"

#include <algorithm>

#include "chestnutvane/process/gateway/instance_entry.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// The entry of an instance that died is gone after this time, and with a read of the list after
// instancePeriodAlone callers are not sent there any more after four seconds.
constexpr Milliseconds leaseTtl{3000};
constexpr Milliseconds leaseRenewal{1000}; // two renewals may fail
// An instance that starts tells all that it finds in the list, and reports tell of deaths, so that
// later reads only find instances whose first reports were lost.
constexpr Milliseconds instancePeriod{6000};
// An instance that hears no other one of its region may have to go by the list.
constexpr Milliseconds instancePeriodAlone{800};
// Instances that start together find each other sooner with more frequent reads at first.
constexpr Milliseconds startPeriod{400};
constexpr std::chrono::seconds startPhase{6};
// Pauses after failed calls.
constexpr Milliseconds firstPause{150};
constexpr Milliseconds longestPause{800};

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &io, Store store, FeedFormat format, PeerIdentity self,
                     FeedEvents events)
    : store_(std::move(store)), format_(std::move(format)), self_(std::move(self)),
      events_(std::move(events)),
      random_(static_cast<std::mt19937::result_type>(self_.incarnation)), owner_(io)
{
    for (LoopState &loop : loops_)
        loop.timer = std::make_unique<boost::asio::steady_timer>(io);
}

void StoreFeed::start()
{
    started_ = Clock::now();
    for (const Loop loop : {Loop::Operator, Loop::Targets, Loop::Lease, Loop::Instances})
        run(loop);
}

void StoreFeed::after(Loop loop, Milliseconds pause)
{
    auto &timer = *loops_[indexOf(loop)].timer;
    timer.expires_after(pause);
    timer.async_wait(owner_.guarded([this, loop](const boost::system::error_code &ended) {
        if (ended)
            return;
        loops_[indexOf(loop)].waitsAfterFailure = false;
        run(loop);
    }));
}

void StoreFeed::run(Loop loop)
{
    loops_[indexOf(loop)].callStart = Clock::now();
    switch (loop) {
    case Loop::Operator:
    case Loop::Targets:
        return check(loop);
    case Loop::Lease:
        return renewLease();
    case Loop::Instances:
        return readInstances();
    }
}

// Wraps a function for the result of a store call: failures are repeated, results are taken on the
// thread of the io_context.
template <class T, class Take>
auto StoreFeed::posted(Loop loop, Take take)
{
    return owner_.posted<Result<T, StoreError>>([this, loop, take](Result<T, StoreError> result) {
        if (!isOk(result))
            return retry(loop, error(result));
        succeeded(loop);
        take(value(std::move(result)));
    });
}

void StoreFeed::retry(Loop loop, const StoreError &failure)
{
    LoopState &state = loops_[indexOf(loop)];
    ++state.failures;
    state.waitsAfterFailure = true;
    // A call that was sent before contact was back tells nothing of the time since.
    if (!contactLost_ && state.callStart > regained_) {
        contactLost_ = true;
        logEvent(Event::StoreFailed,
                 {{"reason", enumName(storeFailureNames, failure.failure)},
                  {"detail", failure.detail}});
    }
    // Refused calls are priced. The reads find a store that is back, and all else follows at once.
    const bool isRead = loop == Loop::Operator || loop == Loop::Targets;
    const bool readsWait = loops_[indexOf(Loop::Operator)].waitsAfterFailure
            || loops_[indexOf(Loop::Targets)].waitsAfterFailure;
    if (contactLost_ && !isRead && readsWait)
        return;
    constexpr int maxDoublings = 4;
    const auto pause =
            std::min(longestPause, firstPause * (1 << std::min(state.failures - 1, maxDoublings)));
    std::uniform_int_distribution<Milliseconds::rep> part(pause.count() / 2, pause.count());
    after(loop, Milliseconds(part(random_)));
}

void StoreFeed::succeeded(Loop loop)
{
    loops_[indexOf(loop)].failures = 0;
    if (!contactLost_)
        return;
    contactLost_ = false;
    regained_ = Clock::now();
    logEvent(Event::StoreRegained, {});
    for (const Loop other : {Loop::Operator, Loop::Targets, Loop::Lease, Loop::Instances}) {
        if (other != loop && loops_[indexOf(other)].waitsAfterFailure)
            after(other, Milliseconds{0});
    }
}

FeedFreshness &StoreFeed::freshness(Loop loop)
{
    return loop == Loop::Operator ? operatorFreshness_ : targetsFreshness_;
}

bool StoreFeed::isDue(Loop loop)
{
    if (loop == Loop::Targets && keptTargets_ && Clock::now() >= regained_ + returnOfEntries)
        return true; // this list decides about the targets that were kept
    return isReadDue(freshness(loop), isReader_, BootClock::now());
}

void StoreFeed::check(Loop loop)
{
    LoopState &state = loops_[indexOf(loop)];
    if (state.busy)
        return;
    if (isDue(loop)) {
        state.busy = true;
        state.callStart = Clock::now();
        state.readStart = BootClock::now();
        const auto &prefix = loop == Loop::Operator ? format_.operatorPrefix : format_.targetPrefix;
        return store_.list(prefix,
                           owner_.posted<Result<WatchResult, StoreError>>(
                                   [this, loop](const auto &r) { onList(loop, r); }));
    }
    const Milliseconds limit = isReader_ ? readerPeriod : confirmationLimit;
    const auto dueIn = std::chrono::duration_cast<Milliseconds>(freshness(loop).confirmedAt()
                                                                + limit - BootClock::now());
    Milliseconds pause = std::clamp(dueIn + Milliseconds{1}, Milliseconds{1}, limit);
    if (loop == Loop::Targets && keptTargets_) {
        const auto untilFinal = std::chrono::duration_cast<Milliseconds>(regained_ + returnOfEntries
                                                                         - Clock::now());
        pause = std::clamp(untilFinal + Milliseconds{1}, Milliseconds{1}, pause);
    }
    after(loop, pause);
}

void StoreFeed::onList(Loop loop, const Result<WatchResult, StoreError> &result)
{
    LoopState &state = loops_[indexOf(loop)];
    state.busy = false;
    if (!isOk(result))
        return retry(loop, error(result));
    const BootTime start = state.readStart;
    succeeded(loop);
    // A change that was applied meanwhile may be newer than this list.
    if (start > state.changedByPeer)
        take(loop, value(result), start);
    check(loop);
}

bool StoreFeed::hasReadAll() const
{
    return operatorFreshness_.hasRead() && targetsFreshness_.hasRead();
}

void StoreFeed::onPeer(const LoadReport &report)
{
    const BootTime now = BootClock::now();
    heardPeer_ = Clock::now();
    if (!report.change.empty())
        applyPeerChange(report);
    targetsFreshness_.onPeer(report.targetsFeed, now);
    operatorFreshness_.onPeer(report.operatorFeed, now);
    if (!operatorFreshness_.isOutdated() && !targetsFreshness_.isOutdated())
        return;
    // The reader of the region reads; the others ask it first.
    if (isReader_)
        readOutdated();
    else
        events_.askPeer(report.sender);
}

void StoreFeed::readOutdated()
{
    for (const Loop loop : {Loop::Operator, Loop::Targets}) {
        if (freshness(loop).isOutdated() && !loops_[indexOf(loop)].waitsAfterFailure)
            check(loop);
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

void StoreFeed::renewLease()
{
    if (leaving_)
        return;
    if (leaseId_ == 0) {
        entryWritten_ = false;
        return store_.grantLease(leaseTtl,
                                 posted<std::uint64_t>(Loop::Lease, [this](std::uint64_t id) {
                                     leaseId_ = id;
                                     logEvent(Event::LeaseObtained, {{"lease", id}});
                                     writeEntry();
                                 }));
    }
    if (!entryWritten_)
        return writeEntry();
    store_.keepAlive(leaseId_, owner_.posted<Result<Done, StoreError>>([this](const auto &result) {
        onLeaseAnswer(isOk(result) ? std::nullopt : std::optional(error(result)));
    }));
}

void StoreFeed::writeEntry()
{
    CompareAndSwap swap;
    // The incarnation in the key keeps a start apart from an entry of an earlier one.
    swap.key = format_.instancePrefix + self_.id + "." + std::to_string(self_.incarnation) + "."
            + std::to_string(leaseId_);
    swap.value = encodeInstanceEntry(self_);
    swap.leaseId = leaseId_;
    const auto onWritten = [this](const Result<std::uint64_t, StoreError> &result) {
        const bool isWritten = isOk(result) || error(result).failure == StoreFailure::Conflict;
        entryWritten_ = entryWritten_ || isWritten;
        onLeaseAnswer(isWritten ? std::nullopt : std::optional(error(result)));
    };
    store_.compareAndSwap(swap, owner_.posted<Result<std::uint64_t, StoreError>>(onWritten));
}

// Goes on after a renewal of the lease or a write of the entry, which may have failed.
void StoreFeed::onLeaseAnswer(const std::optional<StoreError> &failure)
{
    if (!failure) {
        succeeded(Loop::Lease);
        return after(Loop::Lease, leaseRenewal);
    }
    if (failure->failure == StoreFailure::NotFound)
        return replaceLease();
    retry(Loop::Lease, *failure);
}

void StoreFeed::replaceLease()
{
    logEvent(Event::LeaseLost, {{"lease", leaseId_}});
    leaseId_ = 0;
    succeeded(Loop::Lease); // the store answers
    after(Loop::Lease, Milliseconds{0});
}

void StoreFeed::readInstances()
{
    // Reports between instances tell who lives; the list only makes new ones known.
    store_.listStale(format_.instancePrefix,
                     posted<WatchResult>(Loop::Instances, [this](const WatchResult &result) {
                         std::vector<PeerIdentity> instances;
                         for (const StoreEntry &entry : result.entries) {
                             if (auto instance = decodeInstanceEntry(entry.value))
                                 instances.push_back(std::move(*instance));
                         }
                         events_.onInstances(std::move(instances));
                         const bool starting = Clock::now() - started_ < startPhase;
                         const bool alone = Clock::now() - heardPeer_ > FleetView::aliveLimit;
                         after(Loop::Instances,
                               starting        ? startPeriod
                                       : alone ? instancePeriodAlone
                                               : instancePeriod);
                     }));
}

void StoreFeed::leave()
{
    leaving_ = true;
    loops_[indexOf(Loop::Lease)].timer->cancel();
    if (leaseId_ == 0)
        return;
    store_.revokeLease(leaseId_, [](const Result<Done, StoreError> &result) {
        if (!isOk(result)) // the entry goes with its lease in a few seconds
            logEvent(Event::StoreFailed, {{"reason", "leave"}, {"detail", error(result).detail}});
    });
}

} // namespace chestnutvane
