#include "chestnutvane/process/gateway/feed_change.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

// A content is the hash of the part of the value before a slash; the rest stands for a heartbeat.
FeedContents contentsOf(const WatchResult &list)
{
    FeedContents contents;
    for (const StoreEntry &entry : list.entries)
        contents[entry.key] = hash64(entry.value.substr(0, entry.value.find('/')));
    return contents;
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

// Guards against instances that end up with other content than the one that read the store, also if
// they read the same content at another heartbeat.
RC_GTEST_PROP(FeedChangeTest, AChangeLeadsToTheContentOfTheReader, ())
{
    const auto values =
            rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 20), rc::gen::inRange(0, 4));
    const auto before = *values;
    const auto after = *values;
    const WatchResult read = listOf(after, 2);
    const FeedChange change = changeBetween(contentsOf(listOf(before, 1)), contentsOf(read), read);
    const WatchResult applied = applyChange(listOf(before, 0), change);
    RC_ASSERT(contentsOf(applied) == contentsOf(read));
    RC_ASSERT(fingerprintOf(contentsOf(applied)) == change.to);
    RC_ASSERT(change.from == fingerprintOf(contentsOf(listOf(before, 0))));
}

// Guards against reports that repeat the whole list after a heartbeat.
TEST(FeedChangeTest, AHeartbeatIsNoChange)
{
    const WatchResult read = listOf({{1, 1}, {2, 2}}, 5);
    const FeedChange change =
            changeBetween(contentsOf(listOf({{1, 1}, {2, 2}}, 4)), contentsOf(read), read);
    EXPECT_EQ(change.from, change.to);
    EXPECT_TRUE(change.written.empty());
    EXPECT_TRUE(change.removed.empty());
}

// Guards against reports that fill the link of an instance.
TEST(FeedChangeTest, ALargeChangeIsNotSent)
{
    FeedChange change;
    change.written.push_back({"b/1", std::string(maxChangeBytes - 3, 'x'), 1});
    EXPECT_TRUE(isSmall(change));
    change.removed.emplace_back("b");
    EXPECT_FALSE(isSmall(change));
}

// Guards against a state of a target that instances do not tell each other of.
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

} // namespace
} // namespace chestnutvane
