#include "testing/kv_store.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

constexpr TimePoint start{};

CompareAndSwap swap(const std::string &key, std::uint64_t expected, std::uint64_t lease = 0,
                    bool remove = false, std::string content = "")
{
    return {key, expected, std::move(content), lease, remove};
}

std::uint64_t write(KvStore &store, const std::string &key, std::uint64_t expected,
                    std::uint64_t lease = 0)
{
    return value(store.compareAndSwap(swap(key, expected, lease)));
}

// Guards against lost updates: two writers with the same base must not both succeed.
TEST(KvStoreTest, OnlyTheExpectedVersionIsReplaced)
{
    KvStore store;
    const auto first = write(store, "k", 0);
    const auto conflict = store.compareAndSwap(swap("k", 0));
    EXPECT_EQ(error(conflict).failure, StoreFailure::Conflict);
    EXPECT_EQ(error(conflict).version, first);
    const auto tooLarge = store.compareAndSwap(swap("n", 0, 0, false, std::string(1'000'001, 'x')));
    EXPECT_EQ(error(tooLarge).failure, StoreFailure::TooLarge);
    const auto removed = value(store.compareAndSwap(swap("k", first, 0, true)));
    EXPECT_EQ(store.get("k"), nullptr);
    EXPECT_GT(write(store, "k", 0), removed) << "a version was used again";
}

// Guards against keys that outlive their lease, or go although it was renewed.
TEST(KvStoreTest, KeysGoWithTheirLease)
{
    KvStore store;
    const auto lease = store.grantLease(Milliseconds{5000}, start);
    write(store, "i/1", 0, lease);
    write(store, "i/2", 0);
    EXPECT_TRUE(store.keepAlive(lease, start + Milliseconds{3000}));
    store.expire(start + Milliseconds{7999});
    EXPECT_NE(store.get("i/1"), nullptr);
    store.expire(start + Milliseconds{8000});
    EXPECT_EQ(store.get("i/1"), nullptr);
    EXPECT_EQ(store.list("i/").entries.size(), 1U);
    EXPECT_FALSE(store.keepAlive(lease, start + Milliseconds{8000}));
    EXPECT_FALSE(store.revokeLease(lease));
    EXPECT_EQ(error(store.compareAndSwap(swap("x", 0, lease))).failure, StoreFailure::NotFound);
}

// Guards against watches that miss a change, a removal or their deadline, or answer twice.
TEST(KvStoreTest, WatchesAnswerOnChangeRemovalAndDeadline)
{
    KvStore store;
    std::vector<WatchResult> results;
    const auto watch = [&](std::uint64_t after) {
        store.watch("a/", after, start + Milliseconds{100},
                    [&](WatchResult result) { results.push_back(std::move(result)); });
    };
    watch(0);
    write(store, "b", 0);
    EXPECT_TRUE(results.empty());
    const auto version = write(store, "a/1", 0);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].entries[0].version, version);
    watch(0); // changed already
    ASSERT_EQ(results.size(), 2U);
    watch(results[1].version);
    static_cast<void>(store.compareAndSwap(swap("a/1", version, 0, true)));
    ASSERT_EQ(results.size(), 3U);
    EXPECT_TRUE(results[2].entries.empty());
    watch(results[2].version);
    store.expire(start + Milliseconds{99});
    EXPECT_EQ(results.size(), 3U);
    store.expire(start + Milliseconds{100});
    EXPECT_EQ(results.size(), 4U);
}

} // namespace
} // namespace chestnutvane
