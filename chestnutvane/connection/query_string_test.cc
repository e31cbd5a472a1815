#include "chestnutvane/connection/query_string.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a name that matches the end of a longer one, and against a broken escape that
// swallows text.
TEST(QueryStringTest, FindsDecodedValues)
{
    const std::string_view query = "xservice=1&service=box%2Doffice&client=&bad=%2&worse=%zz";
    EXPECT_EQ(queryValue(query, "service"), "box-office");
    EXPECT_EQ(queryValue(query, "client"), "");
    EXPECT_EQ(queryValue(query, "bad"), "%2");
    EXPECT_EQ(queryValue(query, "worse"), "%zz");
    EXPECT_EQ(queryValue(query, "none"), "");
}

// Guards against keys that are changed on their way to a store.
TEST(QueryStringTest, EncodedTextDecodesToItself)
{
    for (const std::string text : {"config/head", "a b+c%d&e=f?g#h", "\xff\x01~", ""})
        EXPECT_EQ(decodePercent(encodePercent(text)), text);
    EXPECT_EQ(encodePercent("a/b c"), "a%2Fb%20c");
}

} // namespace
} // namespace chestnutvane
