#include "chestnutvane/process/gateway/learned_keeper.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Pauses after a first read that failed.
constexpr Milliseconds firstPause{200};
constexpr Milliseconds longestPause{1600};

} // namespace

LearnedKeeper::LearnedKeeper(boost::asio::io_context &io, Store store, std::string prefix,
                             const std::string &region, LearnedSource source)
    : io_(io), store_(std::move(store)), prefix_(std::move(prefix)), key_(prefix_ + region),
      source_(std::move(source)), timer_(io)
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
    store_.listStale(prefix_, [this](Result<WatchResult, StoreError> result) {
        boost::asio::post(io_, [this, result = std::move(result)] { onRead(result); });
    });
}

void LearnedKeeper::onRead(const Result<WatchResult, StoreError> &result)
{
    if (!isOk(result)) {
        fail("read", enumName(storeFailureNames, error(result).failure), error(result).detail);
        readPause_ = std::clamp(readPause_ * 2, firstPause, longestPause);
        timer_.expires_after(readPause_);
        timer_.async_wait([this](const boost::system::error_code &ended) {
            if (!ended)
                read();
        });
        return;
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

void LearnedKeeper::arrangeWrite()
{
    timer_.expires_after(period);
    timer_.async_wait([this](const boost::system::error_code &ended) {
        if (!ended)
            write();
    });
}

void LearnedKeeper::write()
{
    if (!source_.isWriter()) {
        version_.reset(); // another one writes
        return arrangeWrite();
    }
    if (version_)
        return writeAfter(*version_);
    store_.get(key_, [this](Result<StoreEntry, StoreError> result) {
        boost::asio::post(io_, [this, result = std::move(result)] { onVersion(result); });
    });
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
    store_.compareAndSwap(swap, [this](Result<std::uint64_t, StoreError> result) {
        boost::asio::post(io_, [this, result = std::move(result)] {
            if (isOk(result)) {
                version_ = value(result);
                failing_ = false;
            } else {
                version_.reset(); // another one wrote, or it is not known
                if (error(result).failure != StoreFailure::Conflict)
                    fail("write", enumName(storeFailureNames, error(result).failure),
                         error(result).detail);
            }
            arrangeWrite();
        });
    });
}

} // namespace chestnutvane
