#include "chestnutvane/process/gateway/store/feed_content.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

FeedContent sample()
{
    FeedContent content;
    content.operatorKeys = {{41, {{"a/config", "{\"version\":3}", 40}}, false, 5},
                            Milliseconds(120)};
    content.targets = {{43, {{"b/1", std::string("\xff\x00\xfe", 3), 42}, {"b/2", "", 43}}, false},
                       Milliseconds(0)};
    return content;
}

std::string encoded(const FeedContent &content)
{
    return encodeFeedContent(packLists(content.operatorKeys.list, content.targets.list),
                             content.operatorKeys.age, content.targets.age);
}

// Guards against a value that changes when encoded and decoded, such as one that is not text.
TEST(FeedContentTest, DecodedContentEqualsTheEncodedOne)
{
    const FeedContent sent = sample();
    const auto decoded = decodeFeedContent(encoded(sent));
    ASSERT_TRUE(isOk(decoded));
    const std::pair<PrefixContent, PrefixContent> parts[] = {
            {value(decoded).operatorKeys, sent.operatorKeys},
            {value(decoded).targets, sent.targets}};
    for (const auto &[got, wanted] : parts) {
        EXPECT_EQ(got.age, wanted.age);
        EXPECT_EQ(got.list.version, wanted.list.version);
        EXPECT_EQ(got.list.era, wanted.list.era);
        ASSERT_EQ(got.list.entries.size(), wanted.list.entries.size());
        for (std::size_t i = 0; i < wanted.list.entries.size(); ++i) {
            EXPECT_EQ(got.list.entries[i].key, wanted.list.entries[i].key);
            EXPECT_EQ(got.list.entries[i].value, wanted.list.entries[i].value);
            EXPECT_EQ(got.list.entries[i].version, wanted.list.entries[i].version);
        }
    }
}

// Guards against an instance that starts with content decoded from a truncated or foreign response.
TEST(FeedContentTest, OtherBytesAreRefused)
{
    const std::string whole = encoded(sample());
    for (std::size_t length = 0; length < whole.size(); ++length)
        EXPECT_FALSE(isOk(decodeFeedContent(whole.substr(0, length)))) << length;
    EXPECT_FALSE(isOk(decodeFeedContent("# HELP vane_requests_total")));
}

} // namespace
} // namespace chestnutvane
