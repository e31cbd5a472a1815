#include "chestnutvane/process/gateway/store/feed_change.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

// Hashes the part of each value before the slash; the part after it represents a heartbeat.
EntryHashes entryHashesOf(const WatchResult &list)
{
    EntryHashes entryHashes;
    for (const StoreEntry &entry : list.entries)
        entryHashes[entry.key] = hash64(entry.value.substr(0, entry.value.find('/')));
    return entryHashes;
}

WatchResult listOf(const std::map<int, int> &values, int heartbeat)
{
    WatchResult list;
    list.version = static_cast<std::uint64_t>(heartbeat) + 1;
    for (const auto &[key, number] : values)
        list.entries.push_back({"b/" + std::to_string(key),
                                std::to_string(number) + "/" + std::to_string(heartbeat),
                                list.version});
    return list;
}

// Guards against instances whose content differs from the reader's after a change, also if they
// read the earlier content at a different heartbeat.
RC_GTEST_PROP(FeedChangeTest, AChangeLeadsToTheContentOfTheReader, ())
{
    const auto values =
            rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 20), rc::gen::inRange(0, 4));
    const auto before = *values;
    const auto after = *values;
    const WatchResult read = listOf(after, 2);
    const FeedChange change =
            changeBetween(entryHashesOf(listOf(before, 1)), entryHashesOf(read), read);
    const WatchResult applied = applyChange(listOf(before, 0), change);
    RC_ASSERT(entryHashesOf(applied) == entryHashesOf(read));
    RC_ASSERT(fingerprintOf(entryHashesOf(applied)) == change.to);
    RC_ASSERT(change.from == fingerprintOf(entryHashesOf(listOf(before, 0))));
}

// Guards against changes that contain the whole list after a heartbeat.
TEST(FeedChangeTest, AHeartbeatIsNoChange)
{
    const WatchResult read = listOf({{1, 1}, {2, 2}}, 5);
    const FeedChange change =
            changeBetween(entryHashesOf(listOf({{1, 1}, {2, 2}}, 4)), entryHashesOf(read), read);
    EXPECT_EQ(change.from, change.to);
    EXPECT_TRUE(change.written.empty());
    EXPECT_TRUE(change.removed.empty());
}

// Guards against a change that differs after decoding, and against one decoded from truncated
// bytes.
TEST(FeedChangeTest, ADecodedChangeEqualsTheEncodedOne)
{
    const FeedChange change{
            FeedPrefix::Targets, 10, 11, 77, {{"t/1", std::string("\xff\x00", 2), 76}}, {"t/2"}};
    const std::string bytes = encodeChange(change);
    const auto decoded = decodeChange(bytes);
    ASSERT_TRUE(isOk(decoded));
    EXPECT_EQ(value(decoded), change);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        EXPECT_FALSE(isOk(decodeChange(bytes.substr(0, length)))) << length;
}

// Guards against a change of many targets that does not fit into a report, so that each instance
// reads the list: in a large fleet, 86 of 516 targets were replaced within a second.
TEST(FeedChangeTest, AChangeOfManyTargetsFitsIntoAReport)
{
    FeedChange change;
    for (int i = 0; i < 86; ++i) {
        const std::string id = std::to_string(hash64(std::to_string(i)));
        change.written.push_back({"t/" + id,
                                  R"({"service":"matchday","address":"10.4.64.)" + std::to_string(i)
                                          + R"(:8363","zone":"andina-bog","version":"1","slots":4,)"
                                          + R"("state":"ready","cold":2.5,"sequence":17,"born":1)"
                                          + id.substr(0, 9) + "}",
                                  static_cast<std::uint64_t>(i)});
    }
    EXPECT_LE(encodeChange(change).size(), maxChangeBytes);
}

// Guards against a field of a target whose changes are not sent to peers.
TEST(FeedChangeTest, EachFieldOfATargetButItsHeartbeatCounts)
{
    const TargetEntry entry{"i-1", "s", "10.0.0.1:80", "z", "v1", 3, false, Milliseconds(0), 4, 5};
    const auto differs = [&entry](auto change) {
        TargetEntry other = entry;
        change(other);
        return contentHash(other) != contentHash(entry);
    };
    EXPECT_TRUE(differs([](TargetEntry &other) { other.service = "t"; }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.address = "10.0.0.2:80"; }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.zone = "y"; }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.slots = 4; }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.draining = true; }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.coldRemaining = Milliseconds(1); }));
    EXPECT_TRUE(differs([](TargetEntry &other) { other.startedAt = 6; }));
    EXPECT_FALSE(differs([](TargetEntry &other) { other.sequence = 5; }));
}

// Guards against content that differs from the store's after any sequence of writes and removals,
// whichever version the list that the changes are applied to has.
RC_GTEST_PROP(StoreChangesTest, AnyOlderListPlusTheChangesIsTheNewList, ())
{
    std::map<std::string, StoreEntry> current;
    std::vector<StoreChange> history;
    std::vector<std::map<std::string, StoreEntry>> snapshots{current}; // by version
    const auto writes = *rc::gen::container<std::vector<std::pair<int, bool>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::arbitrary<bool>()));
    for (const auto &[number, removes] : writes) {
        const std::string key = "t/" + std::to_string(number);
        const std::uint64_t version = snapshots.size();
        const bool removed = removes && current.contains(key);
        const StoreEntry entry{key, removed ? "" : std::to_string(version), version};
        history.push_back({entry, removed});
        if (removed)
            current.erase(key);
        else
            current[key] = entry;
        snapshots.push_back(current);
    }
    // The list may include changes after the version from which the changes are told.
    const auto listed = *rc::gen::inRange<std::size_t>(0, snapshots.size());
    const auto from = *rc::gen::inRange<std::size_t>(0, listed + 1);
    WatchResult list;
    list.version = from;
    for (const auto &[key, entry] : snapshots[listed])
        list.entries.push_back(entry);
    StoreChanges changes;
    changes.version = history.size();
    changes.changes.assign(history.begin() + static_cast<std::ptrdiff_t>(from), history.end());
    const WatchResult result = applyStoreChanges(list, changes);
    RC_ASSERT(result.version == history.size());
    std::map<std::string, StoreEntry> got;
    for (const StoreEntry &entry : result.entries)
        got[entry.key] = entry;
    RC_ASSERT(got == current);
}

} // namespace
} // namespace chestnutvane
