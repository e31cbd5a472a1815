// Interface to the platform's key-value service: get, list, compare-and-swap, leases, watch.
//
// A Store is a plain struct of functions that an adapter such as makeHttpStore() provides. All
// functions are asynchronous and may be called from any thread. Callbacks run on a thread of the
// adapter, exactly once, and must not block.
//
// Example:
//
//   store.get("config/head", [](Result<StoreEntry, StoreError> result) { ... });
//
// A service that is restored from a copy loses its latest writes and assigns their versions again.
// Its answers tell the era, which increases with each restoration; versions are comparable within
// an era only.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Reason why a store call failed.
enum class StoreFailure {
    NotFound, // the key or the lease does not exist
    Conflict, // the key does not have the expected version
    TooLarge, // the value exceeds 1 MB, or the changes are longer than a list
    Unavailable, // the call had no effect
    ResponseLost, // the call may have taken effect; read the key to find out
    InvalidResponse, // the service sent a response that cannot be parsed
    HistoryCompacted, // changes after the version have been compacted; list instead
};

inline constexpr EnumName<StoreFailure> storeFailureNames[] = {
        {StoreFailure::NotFound, "not-found"},
        {StoreFailure::Conflict, "conflict"},
        {StoreFailure::TooLarge, "too-large"},
        {StoreFailure::Unavailable, "unavailable"},
        {StoreFailure::ResponseLost, "answer-lost"},
        {StoreFailure::InvalidResponse, "bad-answer"},
        {StoreFailure::HistoryCompacted, "history-gone"},
};

struct StoreError
{
    StoreFailure failure = StoreFailure::Unavailable;
    std::string detail;
    std::uint64_t era = 0; // of the answer; 0: unknown
};

// A key with its value. The version increases with every write to any key of the store. Within an
// era it is never reused, not even after a key was removed and written again.
struct StoreEntry
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    friend bool operator==(const StoreEntry &, const StoreEntry &) = default;
};

// A write that takes effect only if the key has the expected version. Version 0 means that the key
// must not exist.
struct CompareAndSwap
{
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    std::uint64_t leaseId = 0; // 0: no lease; else the key is removed with the lease
    bool remove = false; // remove the key instead of writing it
};

// The entries of a prefix, as returned by a list or a watch.
struct WatchResult
{
    std::uint64_t version = 0; // pass as afterVersion to the next watch
    std::vector<StoreEntry> entries; // all entries of the prefix
    bool unchanged = false; // the wait ended without a change; entries may be empty
    std::uint64_t era = 0; // of the answer; 0: unknown
};

// One write or removal of a key.
struct StoreChange
{
    StoreEntry entry; // without a value if the key was removed
    bool removed = false;

    friend bool operator==(const StoreChange &, const StoreChange &) = default;
};

// The changes of a prefix after some version, oldest first.
struct StoreChanges
{
    std::uint64_t version = 0; // pass as afterVersion to the next call
    std::vector<StoreChange> changes;
    std::uint64_t era = 0; // of the answer; 0: unknown
};

// The functions of a store adapter.
struct Store
{
    // Reads one key. Errors: NotFound, Unavailable, InvalidResponse.
    std::function<void(std::string key, std::function<void(Result<StoreEntry, StoreError>)>)> get;

    // Reads all keys with a prefix. Errors: Unavailable, InvalidResponse.
    std::function<void(std::string prefix, std::function<void(Result<WatchResult, StoreError>)>)>
            list;

    // Like list, but cheaper; the result may be some seconds old. Its version is one whose changes
    // it includes for certain, or 0 if none is known. An adapter whose service has no stale reads
    // sets it to list. Errors: Unavailable, InvalidResponse.
    std::function<void(std::string prefix, std::function<void(Result<WatchResult, StoreError>)>)>
            listStale;

    // Writes or removes one key and returns its new version. Errors: all.
    std::function<void(CompareAndSwap, std::function<void(Result<std::uint64_t, StoreError>)>)>
            compareAndSwap;

    // Creates a lease with a time to live and returns its id. Errors: Unavailable, ResponseLost.
    std::function<void(Milliseconds ttl, std::function<void(Result<std::uint64_t, StoreError>)>)>
            grantLease;

    // Renews a lease. Errors: NotFound if it has expired, Unavailable, ResponseLost.
    std::function<void(std::uint64_t leaseId, std::function<void(Result<Done, StoreError>)>)>
            keepAlive;

    // Revokes a lease and removes its keys. Errors: NotFound, Unavailable, ResponseLost.
    std::function<void(std::uint64_t leaseId, std::function<void(Result<Done, StoreError>)>)>
            revokeLease;

    // Waits until a key with the prefix was written or removed after afterVersion, or until maxWait
    // has passed, then returns the entries of the prefix. Errors: Unavailable,
    // InvalidResponse, HistoryCompacted.
    std::function<void(std::string prefix, std::uint64_t afterVersion, Milliseconds maxWait,
                       std::function<void(Result<WatchResult, StoreError>)>)>
            watch;

    // Reads what was written or removed under a prefix after afterVersion, without waiting. Not set
    // if the service cannot tell changes; callers list instead. Errors: Unavailable,
    // InvalidResponse, HistoryCompacted, TooLarge if a list is shorter than the changes.
    std::function<void(std::string prefix, std::uint64_t afterVersion,
                       std::function<void(Result<StoreChanges, StoreError>)>)>
            changesSince;
};

} // namespace chestnutvane
