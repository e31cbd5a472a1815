#include "chestnutvane/base/deflate.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

// Guards against bytes that are lost on the way.
RC_GTEST_PROP(DeflateTest, InflatedBytesEqualTheDeflatedOnes, (const std::string &bytes))
{
    RC_ASSERT(inflateBytes(deflateBytes(bytes), bytes.size()) == bytes);
}

// Guards against a large content that does not fit into one step, and against growth without bound.
TEST(DeflateTest, TheSizeIsBounded)
{
    const std::string bytes(100000, 'x');
    const std::string packed = deflateBytes(bytes);
    EXPECT_LT(packed.size(), 1000);
    EXPECT_EQ(inflateBytes(packed, bytes.size()), bytes);
    EXPECT_FALSE(inflateBytes(packed, bytes.size() - 1));
}

// Guards against content made up from bytes that were cut, changed or continued.
TEST(DeflateTest, OtherBytesAreRefused)
{
    const std::string packed = deflateBytes("the content of a prefix");
    for (std::size_t length = 0; length < packed.size(); ++length)
        EXPECT_FALSE(inflateBytes(packed.substr(0, length), 100)) << length;
    EXPECT_FALSE(inflateBytes(packed + "x", 100));
    EXPECT_FALSE(inflateBytes("no such format", 100));
}

} // namespace
} // namespace chestnutvane
