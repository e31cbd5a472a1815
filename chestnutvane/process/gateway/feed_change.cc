#include "chestnutvane/process/gateway/feed_change.h"

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

std::uint64_t contentHash(const TargetEntry &entry)
{
    std::string text;
    for (const auto &part : {entry.id, entry.service, entry.address, entry.zone, entry.version})
        text += part + ' ';
    text += std::to_string(entry.slots) + (entry.draining ? " draining " : " ready ")
            + (entry.coldRemaining.count() > 0 ? "cold " : "") + std::to_string(entry.startedAt);
    return hash64(text);
}

std::uint64_t fingerprintOf(const FeedContents &contents)
{
    std::string text;
    for (const auto &[key, hash] : contents)
        text += key + ' ' + std::to_string(hash) + '\n';
    const std::uint64_t hash = hash64(text);
    return hash == 0 ? 1 : hash; // 0 stands for content that was never read
}

FeedChange changeBetween(const FeedContents &before, const FeedContents &after,
                         const WatchResult &list)
{
    FeedChange change;
    change.from = fingerprintOf(before);
    change.to = fingerprintOf(after);
    change.version = list.version;
    for (const StoreEntry &entry : list.entries) {
        const auto old = before.find(entry.key);
        const auto now = after.find(entry.key);
        if (now != after.end() && (old == before.end() || old->second != now->second))
            change.written.push_back(entry);
    }
    for (const auto &[key, hash] : before) {
        if (!after.contains(key))
            change.removed.push_back(key);
    }
    return change;
}

bool isSmall(const FeedChange &change)
{
    std::size_t bytes = 0;
    for (const StoreEntry &entry : change.written)
        bytes += entry.key.size() + entry.value.size();
    for (const std::string &key : change.removed)
        bytes += key.size();
    return bytes <= maxChangeBytes;
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
    for (auto &[key, entry] : entries)
        result.entries.push_back(std::move(entry));
    return result;
}

} // namespace chestnutvane
