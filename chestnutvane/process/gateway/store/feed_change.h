// Difference between two successive reads of a prefix of the store, for instances that have the
// earlier content.
//
// Saves store calls in large fleets whose targets register one after another. With 516 targets and
// 67 instances, each change made every instance read the list, which was the largest cost of the
// platform. Instead, the reader of a region sends the few entries that differ with its report.
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

// Hash of each entry by key, without the fields that change with each heartbeat. Contents with
// equal hashes are equivalent, even if their entries differ in a heartbeat.
using EntryHashes = std::map<std::string, std::uint64_t>;

// The prefixes of the store whose content instances share.
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
    std::uint64_t from = 0; // fingerprint of the content that the change applies to
    std::uint64_t to = 0; // fingerprint of the resulting content
    std::uint64_t version = 0; // of the store at the read that found the change
    std::vector<StoreEntry> written; // added or changed entries
    std::vector<std::string> removed; // keys of removed entries

    friend bool operator==(const FeedChange &, const FeedChange &) = default;
};

// Largest encoded change, in bytes, that is sent with reports. Reports of this size to 27
// instances of a region take 0.1 s on a link of 10 Mbit/s, the slowest of the platform.
inline constexpr std::size_t maxChangeBytes = 4000;

struct FeedChangeError
{
    std::string detail;
};

// Returns the hash of an entry without the fields that change with each heartbeat.
std::uint64_t contentHash(const TargetEntry &entry);

// Returns the fingerprint of a content, never 0, from the hashes of its entries.
std::uint64_t fingerprintOf(const EntryHashes &entryHashes);

// Returns the change from one content to another, where `list` holds the entries of the second.
// Entries with equal hashes are omitted.
FeedChange changeBetween(const EntryHashes &before, const EntryHashes &after,
                         const WatchResult &list);

// Encodes a change (CBOR, compressed).
std::string encodeChange(const FeedChange &change);

// Decodes a change. Errors: anything that encodeChange() does not write.
Result<FeedChange, FeedChangeError> decodeChange(std::string_view bytes);

// Returns the list with the change applied, sorted by key. Both must be of the same era.
WatchResult applyChange(const WatchResult &list, const FeedChange &change);

// Returns the list, sorted by key, with changes that the store told. The list may already include
// some of them, or later ones: a change of a key does not replace a newer version of it. Both must
// be of the same era.
WatchResult applyStoreChanges(WatchResult list, const StoreChanges &changes);

} // namespace chestnutvane
