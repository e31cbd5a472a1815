// Persists the learned state of a region's targets in the store, and restores it when an instance
// starts.
//
// One instance of each region writes the state periodically, under the key of the region. A
// starting instance reads the keys of all regions once, as it may send requests to each. It writes
// nothing before that read has succeeded, so that a restarted fleet does not overwrite the state
// with the incomplete one that it has learned since.
//
// Example:
//
//   LearnedStatePersister persister(io, store, prefix, region, {snapshot, restore, isWriter});
//   persister.start();
//
// Not thread-safe: everything runs on the single thread of the io_context. The store may invoke its
// callbacks on any thread, even after the persister has been destroyed.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/process/gateway/store/learned_state.h"
#include "chestnutvane/process/owner_thread.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// Callbacks of the persister, invoked on the thread of the io_context.
struct LearnedStateCallbacks
{
    std::function<LearnedState()> snapshot; // returns the state to write
    std::function<void(const LearnedState &)> restore; // called once for each region
    std::function<bool()> isWriter; // whether this instance writes for its region
};

class LearnedStatePersister
{
public:
    // Under high load objects move between targets within seconds; under low load they stay. With
    // this period the writes of three regions add up to one call a second.
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
    // Writes the state if the value in the store still has this version; 0: if there is no value.
    void writeIfVersion(std::uint64_t version);
    void onVersionRead(const Result<StoreEntry, StoreError> &result);
    void onWritten(const Result<std::uint64_t, StoreError> &result);
    // Logs the first failure since the last success.
    void logFailure(std::string_view what, std::string_view reason, const std::string &detail);

    Store store_;
    std::string prefix_;
    std::string key_;
    LearnedStateCallbacks callbacks_;
    boost::asio::steady_timer timer_;
    Milliseconds readRetryDelay_{0};
    // Store version of the value, if this instance wrote it last.
    std::optional<std::uint64_t> version_;
    bool failureLogged_ = false; // reset by the next success
    OwnerThread owner_; // the last member, so that it is destroyed first
};

} // namespace chestnutvane
