// The registration of this instance in the store, and the list of the others.

#include <algorithm>

#include "chestnutvane/process/gateway/store/instance_entry.h"
#include "chestnutvane/process/gateway/store/store_feed.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// The lease of instanceEntryTtl survives two failed renewals.
constexpr Milliseconds leaseRenewalPeriod{1000};
// A starting instance sends reports to all instances in the list, and missing reports reveal dead
// instances. Later reads only discover instances whose first reports were lost. Their period grows
// with the fleet, which reads about 10 lists a second in all.
constexpr Milliseconds minInstanceReadPeriod{6000};
constexpr Milliseconds maxInstanceReadPeriod{30000};
constexpr Milliseconds instanceReadPeriodPerInstance{100};
// Delay before the second read of an instance that starts, so that instances that start together
// discover each other. It doubles with each read.
constexpr Milliseconds firstInstanceReadPeriod{400};

} // namespace

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

void StoreFeed::renewLease()
{
    if (deregistered_)
        return;
    if (leaseId_ == 0) {
        entryWritten_ = false;
        return store_.grantLease(
                instanceEntryTtl,
                withRetry<std::uint64_t>(Loop::Lease, [this, since = eraSince_](auto id) {
                    if (since != eraSince_)
                        return; // of a store that is gone
                    leaseId_ = id;
                    logEvent(Event::LeaseObtained, {{"lease", id}});
                    writeEntry();
                }));
    }
    if (!entryWritten_)
        return writeEntry();
    const auto onRenewed = [this, since = eraSince_](const Result<Done, StoreError> &result) {
        if (since == eraSince_)
            onLeaseResult(isOk(result) ? std::nullopt : std::optional(error(result)));
    };
    store_.keepAlive(leaseId_, owner_.posted<Result<Done, StoreError>>(onRenewed));
}

void StoreFeed::writeEntry()
{
    CompareAndSwap swap;
    // The incarnation distinguishes the key from entries of earlier starts of this instance.
    swap.key = format_.instancePrefix + self_.id + "." + std::to_string(self_.incarnation) + "."
            + std::to_string(leaseId_);
    swap.value = encodeInstanceEntry(self_);
    swap.leaseId = leaseId_;
    const auto onWritten = [this,
                            since = eraSince_](const Result<std::uint64_t, StoreError> &result) {
        if (since != eraSince_)
            return; // the lease of that era was given up
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
    const bool hasLostPeers =
            hearsNobody_ || (lastPeerReport_ != TimePoint{} && hearsNobodyInRegion());
    const bool isBehindOutage =
            reachableSince_ != TimePoint{} && Clock::now() < reachableSince_ + instanceEntryTtl;
    LoopState &state = loops_[indexOf(Loop::Instances)];
    state.readRunning = true;
    state.readStart = BootClock::now();
    const auto &list = hasLostPeers ? store_.list : store_.listStale;
    list(format_.instancePrefix,
         owner_.posted<Result<WatchResult, StoreError>>(
                 [this, hasCurrentLeases = hasLostPeers && !isBehindOutage](const auto &result) {
                     onInstanceList(result, hasCurrentLeases);
                 }));
}

void StoreFeed::onInstanceList(const Result<WatchResult, StoreError> &result, bool hasCurrentLeases)
{
    LoopState &state = loops_[indexOf(Loop::Instances)];
    state.readRunning = false;
    if (!isOk(result))
        return retry(Loop::Instances, error(result));
    onSuccess(Loop::Instances);
    InstanceList list{{}, state.readStart, hasCurrentLeases};
    for (const StoreEntry &entry : value(result).entries) {
        if (auto instance = decodeInstanceEntry(entry.value))
            list.instances.push_back(std::move(*instance));
    }
    keepUnlistedInstances(list.instances);
    const std::size_t count = list.instances.size();
    callbacks_.onInstances(std::move(list));
    scheduleRun(Loop::Instances, nextInstanceRead(count));
}

void StoreFeed::setHearsNobody(bool hearsNobody)
{
    const bool wasHearing = !std::exchange(hearsNobody_, hearsNobody);
    const LoopState &state = loops_[indexOf(Loop::Instances)];
    if (hearsNobody && wasHearing && !state.readRunning && !state.awaitsRetry)
        scheduleRun(Loop::Instances, Milliseconds{0});
}

bool StoreFeed::canReadInstances() const
{
    return loops_[indexOf(Loop::Instances)].failures == 0;
}

// Adds the instances of the previous list that a copy of the store lacks, until they have
// registered again.
void StoreFeed::keepUnlistedInstances(std::vector<PeerIdentity> &instances)
{
    if (eraSince_ != TimePoint{} && Clock::now() < eraSince_ + reregistrationGrace) {
        for (const PeerIdentity &known : listedInstances_) {
            const bool isListed =
                    std::any_of(instances.begin(), instances.end(),
                                [&known](const PeerIdentity &peer) { return peer.id == known.id; });
            if (!isListed)
                instances.push_back(known);
        }
    }
    listedInstances_ = instances;
}

bool StoreFeed::hearsNobodyInRegion() const
{
    return Clock::now() - lastPeerReport_ > FleetView::livenessTimeout;
}

Milliseconds StoreFeed::nextInstanceRead(std::size_t instances)
{
    constexpr int maxDoublings = 8;
    const Milliseconds startup =
            firstInstanceReadPeriod * (1 << std::min(instanceReads_++, maxDoublings));
    const Milliseconds regular = hearsNobody_ || hearsNobodyInRegion()
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
        if (!isOk(result)) // the entry expires with its lease
            logEvent(Event::StoreFailed, {{"reason", "leave"}, {"detail", error(result).detail}});
    });
}

} // namespace chestnutvane
