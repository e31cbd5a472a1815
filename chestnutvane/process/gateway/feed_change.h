// What has changed in a prefix of the store from one read to the next, for instances that know the
// earlier content.
//
// Answers the load of large fleets whose targets register one after another: with 516 targets and
// 67 instances each change made every instance read the list, which was the largest price of the
// platform. The reader of a region sends the few entries that differ with its report instead.
//
// Example:
//
//   std::string bytes = encodeChange(changeBetween(before, after, list));
//   ...
//   if (auto change = decodeChange(bytes); isOk(change) && value(change).from == own)
//       list = applyChange(list, value(change));
//
// Pure functions without state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/result.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// Hashes of what counts in each entry, by key. Two contents with equal hashes mean the same, also
// if their entries differ in a heartbeat.
using EntryHashes = std::map<std::string, std::uint64_t>;

// The prefixes of the store that instances tell each other of.
enum class FeedPrefix {
    OperatorKeys,
    Targets,
};

inline constexpr EnumName<FeedPrefix> feedPrefixNames[] = {
        {FeedPrefix::OperatorKeys, "operator-keys"},
        {FeedPrefix::Targets, "targets"},
};

struct FeedChange
{
    FeedPrefix prefix = FeedPrefix::Targets;
    std::uint64_t from = 0; // fingerprint of the content that it applies to
    std::uint64_t to = 0; // fingerprint of the content that it leads to
    std::uint64_t version = 0; // of the store at the read that showed it
    std::vector<StoreEntry> written;
    std::vector<std::string> removed; // keys

    friend bool operator==(const FeedChange &, const FeedChange &) = default;
};

// A change that takes more bytes is not sent with reports: those of this size to 27 instances of a
// region take a tenth of a second on a link of 10 Mbit/s, the narrowest of the platform.
inline constexpr std::size_t maxChangeBytes = 4000;

struct FeedChangeError
{
    std::string detail;
};

// Returns the hash of all of an entry but what changes with each heartbeat.
std::uint64_t contentHash(const TargetEntry &entry);

// Returns the fingerprint of a content, never 0.
std::uint64_t fingerprintOf(const EntryHashes &entryHashes);

// Returns the change between two contents, the second of which was read as the list given. Entries
// whose hashes are equal are left out.
FeedChange changeBetween(const EntryHashes &before, const EntryHashes &after,
                         const WatchResult &list);

// Encodes a change (CBOR, compressed).
std::string encodeChange(const FeedChange &change);

// Decodes it. Errors: anything that encodeChange() does not write.
Result<FeedChange, FeedChangeError> decodeChange(std::string_view bytes);

// Returns the list with the change applied, in the order of the keys.
WatchResult applyChange(const WatchResult &list, const FeedChange &change);

} // namespace chestnutvane
