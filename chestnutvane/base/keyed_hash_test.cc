#include "chestnutvane/base/keyed_hash.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against digests that are the same in each process: a table of them could then be searched
// for known keys.
TEST(KeyedHashTest, DigestsDependOnTheProcessSecret)
{
    const KeyedHash first = KeyedHash::createRandom();
    const KeyedHash second = KeyedHash::createRandom();
    EXPECT_EQ(first("key-1"), first("key-1"));
    EXPECT_NE(first("key-1"), first("key-2"));
    EXPECT_NE(first("key-1"), second("key-1"));
}

} // namespace
} // namespace chestnutvane
