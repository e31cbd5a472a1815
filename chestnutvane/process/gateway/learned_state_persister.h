// Keeps what the instances of a region have learned in the store, and hands it to an instance that
// starts.
//
// One instance of the region writes it at a fixed period, under a key of the region. An instance
// that starts reads the keys of all regions once, as it may send requests to each. One that has not
// read what is there writes nothing, so that a fleet which starts again does not replace it by the
// little that it knows.
//
// Example:
//
//   LearnedStatePersister keeper(io, store, prefix, region, {learned, taken, isWriter});
//   keeper.start();
//
// Not thread-safe: everything runs on the io_context's one thread; the callbacks of the store may
// come from any thread, also after the end of the keeper.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/process/gateway/learned_state.h"
#include "chestnutvane/process/owner_thread.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// What a keeper needs of its instance.
struct LearnedStateCallbacks
{
    std::function<LearnedState()> snapshot; // what is to be kept
    std::function<void(const LearnedState &)> restore; // what was learned before, once a region
    std::function<bool()> isWriter; // whether this instance writes for its region
};

class LearnedStatePersister
{
public:
    // Objects move between targets within seconds on a busy day, and on a calm one they stay. At
    // this period the writes of three regions are one call a second.
    static constexpr Milliseconds writePeriod{3000};

    LearnedStatePersister(boost::asio::io_context &io, Store store, std::string prefix,
                          const std::string &region, LearnedStateCallbacks callbacks);

    void start();

private:
    void read();
    void onRead(const Result<WatchResult, StoreError> &result);
    void schedule(Milliseconds delay, void (LearnedStatePersister::*step)());
    void scheduleWrite();
    void write();
    void writeIfVersion(std::uint64_t version);
    void onVersionRead(const Result<StoreEntry, StoreError> &result);
    void onWritten(const Result<std::uint64_t, StoreError> &result);
    void logFailure(std::string_view what, std::string_view reason, const std::string &detail);

    Store store_;
    std::string prefix_;
    std::string key_;
    LearnedStateCallbacks callbacks_;
    boost::asio::steady_timer timer_;
    Milliseconds readRetryDelay_{0};
    std::optional<std::uint64_t> version_; // of the value in the store, if this instance wrote it
    bool failureLogged_ = false; // logged once until the next success
    OwnerThread owner_; // destroyed first
};

} // namespace chestnutvane
