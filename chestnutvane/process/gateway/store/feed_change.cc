#include "chestnutvane/process/gateway/store/feed_change.h"

#include <algorithm>

#include "chestnutvane/base/deflate.h"
#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/gateway/store/entry_codec.h"

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

// Many times the decompressed size of a change of maxChangeBytes.
constexpr std::size_t maxUnpackedBytes = 1U << 20U;

} // namespace

// Each heartbeat in a cold start counts, as a target may turn cold again while it is cold.
std::uint64_t contentHash(const TargetEntry &entry)
{
    std::string text;
    for (const auto &field : {entry.id, entry.service, entry.address, entry.zone, entry.version})
        text += field + ' ';
    text += std::to_string(entry.slots) + (entry.draining ? " draining " : " ready ")
            + std::to_string(entry.startedAt);
    if (entry.coldRemaining.count() > 0)
        text += " cold " + std::to_string(entry.sequence);
    return hash64(text);
}

std::uint64_t fingerprintOf(const EntryHashes &entryHashes)
{
    std::string text;
    for (const auto &[key, hash] : entryHashes)
        text += key + ' ' + std::to_string(hash) + '\n';
    const std::uint64_t hash = hash64(text);
    return hash == 0 ? 1 : hash; // 0 means no content
}

FeedChange changeBetween(const EntryHashes &before, const EntryHashes &after,
                         const WatchResult &list)
{
    FeedChange change;
    change.from = fingerprintOf(before);
    change.to = fingerprintOf(after);
    change.version = list.version;
    for (const StoreEntry &entry : list.entries) {
        const auto oldHash = before.find(entry.key);
        const auto newHash = after.find(entry.key);
        if (newHash != after.end()
            && (oldHash == before.end() || oldHash->second != newHash->second))
            change.written.push_back(entry);
    }
    for (const auto &[key, hash] : before) {
        if (!after.contains(key))
            change.removed.push_back(key);
    }
    return change;
}

std::string encodeChange(const FeedChange &change)
{
    std::string bytes;
    Json::to_cbor(Json::array({static_cast<int>(change.prefix), change.from, change.to,
                               change.version, encodeEntries(change.written), change.removed}),
                  bytes);
    return deflateBytes(bytes);
}

Result<FeedChange, FeedChangeError> decodeChange(std::string_view bytes)
{
    const auto unpacked = inflateBytes(bytes, maxUnpackedBytes);
    if (!unpacked)
        return FeedChangeError{
                "feed change is not valid compressed data, or exceeds 1 MiB decompressed"};
    try {
        const Json json = Json::from_cbor(*unpacked);
        FeedChange change;
        change.prefix = json.at(0).get<int>() == 0 ? FeedPrefix::OperatorKeys : FeedPrefix::Targets;
        change.from = json.at(1);
        change.to = json.at(2);
        change.version = json.at(3);
        change.written = decodeEntries(json.at(4));
        change.removed = json.at(5).get<std::vector<std::string>>();
        return change;
    } catch (const Json::exception &failure) {
        return FeedChangeError{failure.what()};
    }
}

WatchResult applyStoreChanges(WatchResult list, const StoreChanges &changes)
{
    std::map<std::string, StoreEntry> entries;
    for (StoreEntry &entry : list.entries)
        entries[entry.key] = std::move(entry);
    for (const auto &[entry, removed] : changes.changes) {
        const auto known = entries.find(entry.key);
        if (known != entries.end() && known->second.version >= entry.version)
            continue;
        if (removed)
            entries.erase(entry.key);
        else
            entries[entry.key] = entry;
    }
    list.version = std::max(list.version, changes.version);
    list.entries.clear();
    for (auto &[key, entry] : entries)
        list.entries.push_back(std::move(entry));
    return list;
}

WatchResult applyChange(const WatchResult &list, const FeedChange &change)
{
    std::map<std::string, StoreEntry> entries;
    for (const StoreEntry &entry : list.entries)
        entries[entry.key] = entry;
    for (const StoreEntry &entry : change.written)
        entries[entry.key] = entry;
    for (const std::string &key : change.removed)
        entries.erase(key);
    WatchResult result;
    result.version = change.version;
    result.era = list.era;
    for (auto &[key, entry] : entries)
        result.entries.push_back(std::move(entry));
    return result;
}

} // namespace chestnutvane
