// The state machine of the store stand-in: versions, leases and watches, without I/O.
//
// Not thread-safe. Time is passed in; expire() must be called before each use at a later time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// A compare-and-swap that was refused, with the version the key has (0: it does not exist).
struct SwapRefusal
{
    StoreFailure failure = StoreFailure::Conflict; // Conflict, TooLarge or NotFound (the lease)
    std::uint64_t version = 0;
};

class KvStore
{
public:
    using WatchCallback = std::function<void(WatchResult)>;

    // Returns the entry, or null if the key does not exist.
    [[nodiscard]] const StoreEntry *get(const std::string &key) const;
    [[nodiscard]] WatchResult list(std::string_view prefix) const;

    // Writes or removes a key and returns the version of this change.
    Result<std::uint64_t, SwapRefusal> compareAndSwap(const CompareAndSwap &swap);

    std::uint64_t grantLease(Milliseconds ttl, TimePoint now);

    // Renews a lease; false if it does not exist.
    bool keepAlive(std::uint64_t leaseId, TimePoint now);

    // Ends a lease and removes its keys; false if it does not exist.
    bool revokeLease(std::uint64_t leaseId);

    // Ends the leases whose time has passed and answers the watches whose wait has.
    void expire(TimePoint now);

    // Calls back once, with the prefix's entries, when a key with the prefix has been written or
    // removed after the version (at once if that is so already), or at the deadline.
    void watch(std::string prefix, std::uint64_t afterVersion, TimePoint deadline,
               WatchCallback callback);

private:
    struct Lease
    {
        Milliseconds ttl;
        TimePoint end;
    };
    struct Record
    {
        StoreEntry entry;
        std::uint64_t leaseId = 0;
    };
    struct Watch
    {
        std::string prefix;
        std::uint64_t afterVersion = 0;
        TimePoint deadline;
        WatchCallback callback;
    };

    [[nodiscard]] bool changedAfter(std::string_view prefix, std::uint64_t version) const;
    void remove(const std::string &key);
    template <class Predicate>
    void answerWatches(Predicate isDue);

    std::uint64_t version_ = 0;
    std::uint64_t lastLease_ = 0;
    std::map<std::string, Record, std::less<>> records_;
    std::map<std::string, std::uint64_t, std::less<>> lastChange_; // also of removed keys
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Watch> watches_;
};

} // namespace chestnutvane
