#include "chestnutvane/process/gateway/store/learned_state_persister.h"

#include <algorithm>
#include <utility>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Bounds of the exponential back-off after failures of the initial read.
constexpr Milliseconds minRetryDelay{200};
constexpr Milliseconds maxRetryDelay{1600};

} // namespace

LearnedStatePersister::LearnedStatePersister(boost::asio::io_context &io, Store store,
                                             std::string prefix, const std::string &region,
                                             LearnedStateCallbacks callbacks)
    : store_(std::move(store)), prefix_(std::move(prefix)), key_(prefix_ + region),
      callbacks_(std::move(callbacks)), timer_(io), owner_(io)
{ }

void LearnedStatePersister::start()
{
    read();
}

void LearnedStatePersister::logFailure(std::string_view what, std::string_view reason,
                                       const std::string &detail)
{
    if (!std::exchange(failureLogged_, true))
        logEvent(Event::LearnedFailed, {{"what", what}, {"reason", reason}, {"detail", detail}});
}

void LearnedStatePersister::read()
{
    store_.listStale(prefix_,
                     owner_.posted<Result<WatchResult, StoreError>>(
                             [this](const auto &result) { onRead(result); }));
}

void LearnedStatePersister::onRead(const Result<WatchResult, StoreError> &result)
{
    if (!isOk(result)) {
        logFailure("read", enumName(storeFailureNames, error(result).failure),
                   error(result).detail);
        readRetryDelay_ = std::clamp(readRetryDelay_ * 2, minRetryDelay, maxRetryDelay);
        return schedule(readRetryDelay_, &LearnedStatePersister::read);
    }
    failureLogged_ = false;
    for (const StoreEntry &entry : value(result).entries) {
        const auto state = decodeLearnedState(entry.value);
        if (!isOk(state)) {
            logFailure("decode", "not-readable", error(state).detail);
            continue;
        }
        logEvent(Event::LearnedTaken,
                 {{"key", entry.key},
                  {"store-version", entry.version},
                  {"targets", value(state).targets.size()},
                  {"routes", value(state).times.routes.size()}});
        callbacks_.restore(value(state));
    }
    scheduleWrite();
}

void LearnedStatePersister::schedule(Milliseconds delay, void (LearnedStatePersister::*step)())
{
    timer_.expires_after(delay);
    timer_.async_wait(owner_.guarded([this, step](const boost::system::error_code &cancelled) {
        if (!cancelled)
            (this->*step)();
    }));
}

void LearnedStatePersister::scheduleWrite()
{
    schedule(writePeriod, &LearnedStatePersister::write);
}

void LearnedStatePersister::write()
{
    if (!callbacks_.isWriter()) {
        version_.reset(); // another instance writes for the region
        return scheduleWrite();
    }
    if (version_)
        return writeIfVersion(*version_);
    store_.get(key_, owner_.posted<Result<StoreEntry, StoreError>>([this](const auto &result) {
        onVersionRead(result);
    }));
}

void LearnedStatePersister::onVersionRead(const Result<StoreEntry, StoreError> &result)
{
    if (isOk(result))
        return writeIfVersion(value(result).version);
    if (error(result).failure == StoreFailure::NotFound)
        return writeIfVersion(0);
    logFailure("version", enumName(storeFailureNames, error(result).failure), error(result).detail);
    scheduleWrite();
}

void LearnedStatePersister::writeIfVersion(std::uint64_t version)
{
    CompareAndSwap swap;
    swap.key = key_;
    swap.expectedVersion = version;
    swap.value = encodeLearnedState(callbacks_.snapshot());
    store_.compareAndSwap(swap,
                          owner_.posted<Result<std::uint64_t, StoreError>>(
                                  [this](const auto &result) { onWritten(result); }));
}

void LearnedStatePersister::onWritten(const Result<std::uint64_t, StoreError> &result)
{
    if (isOk(result)) {
        version_ = value(result);
        failureLogged_ = false;
    } else {
        version_.reset(); // another instance wrote, or the outcome is unknown
        if (error(result).failure != StoreFailure::Conflict)
            logFailure("write", enumName(storeFailureNames, error(result).failure),
                       error(result).detail);
    }
    scheduleWrite();
}

} // namespace chestnutvane
