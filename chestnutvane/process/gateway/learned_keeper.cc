#include "chestnutvane/process/gateway/learned_keeper.h"

#include <algorithm>
#include <utility>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Pauses after a first read that failed.
constexpr Milliseconds firstPause{200};
constexpr Milliseconds longestPause{1600};

} // namespace

LearnedKeeper::LearnedKeeper(boost::asio::io_context &io, Store store, std::string prefix,
                             const std::string &region, LearnedSource source)
    : store_(std::move(store)), prefix_(std::move(prefix)), key_(prefix_ + region),
      source_(std::move(source)), timer_(io), owner_(io)
{ }

void LearnedKeeper::start()
{
    read();
}

void LearnedKeeper::fail(std::string_view what, std::string_view reason, const std::string &detail)
{
    if (!std::exchange(failing_, true))
        logEvent(Event::LearnedFailed, {{"what", what}, {"reason", reason}, {"detail", detail}});
}

void LearnedKeeper::read()
{
    store_.listStale(prefix_,
                     owner_.posted<Result<WatchResult, StoreError>>(
                             [this](const auto &result) { onRead(result); }));
}

void LearnedKeeper::onRead(const Result<WatchResult, StoreError> &result)
{
    if (!isOk(result)) {
        fail("read", enumName(storeFailureNames, error(result).failure), error(result).detail);
        readPause_ = std::clamp(readPause_ * 2, firstPause, longestPause);
        return arrange(readPause_, &LearnedKeeper::read);
    }
    failing_ = false;
    for (const StoreEntry &entry : value(result).entries) {
        const auto state = decodeLearnedState(entry.value);
        if (!isOk(state)) {
            fail("decode", "not-readable", error(state).detail);
            continue;
        }
        logEvent(Event::LearnedTaken,
                 {{"key", entry.key},
                  {"store-version", entry.version},
                  {"targets", value(state).targets.size()},
                  {"routes", value(state).times.routes.size()}});
        source_.taken(value(state));
    }
    arrangeWrite();
}

void LearnedKeeper::arrange(Milliseconds pause, void (LearnedKeeper::*step)())
{
    timer_.expires_after(pause);
    timer_.async_wait(owner_.guarded([this, step](const boost::system::error_code &ended) {
        if (!ended)
            (this->*step)();
    }));
}

void LearnedKeeper::arrangeWrite()
{
    arrange(period, &LearnedKeeper::write);
}

void LearnedKeeper::write()
{
    if (!source_.isWriter()) {
        version_.reset(); // another one writes
        return arrangeWrite();
    }
    if (version_)
        return writeAfter(*version_);
    store_.get(key_, owner_.posted<Result<StoreEntry, StoreError>>([this](const auto &result) {
        onVersion(result);
    }));
}

void LearnedKeeper::onVersion(const Result<StoreEntry, StoreError> &result)
{
    if (isOk(result))
        return writeAfter(value(result).version);
    if (error(result).failure == StoreFailure::NotFound)
        return writeAfter(0);
    fail("version", enumName(storeFailureNames, error(result).failure), error(result).detail);
    arrangeWrite();
}

void LearnedKeeper::writeAfter(std::uint64_t version)
{
    CompareAndSwap swap;
    swap.key = key_;
    swap.expectedVersion = version;
    swap.value = encodeLearnedState(source_.learned());
    store_.compareAndSwap(swap,
                          owner_.posted<Result<std::uint64_t, StoreError>>(
                                  [this](const auto &result) { onWritten(result); }));
}

void LearnedKeeper::onWritten(const Result<std::uint64_t, StoreError> &result)
{
    if (isOk(result)) {
        version_ = value(result);
        failing_ = false;
    } else {
        version_.reset(); // another one wrote, or it is not known
        if (error(result).failure != StoreFailure::Conflict)
            fail("write", enumName(storeFailureNames, error(result).failure), error(result).detail);
    }
    arrangeWrite();
}

} // namespace chestnutvane
