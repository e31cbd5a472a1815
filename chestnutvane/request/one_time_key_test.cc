#include "chestnutvane/request/one_time_key.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace {

// Guards against accepting two texts for the same key. A request could then run once for each.
RC_GTEST_PROP(OneTimeKeyTest, AcceptedTextIsCanonical, (std::uint64_t high, std::uint64_t low))
{
    const OneTimeKey key{formatIncarnation(high, low), low | 1U, "abcDEF012345-_xyz"};
    const std::string text = formatOneTimeKey(key);
    RC_ASSERT(parseOneTimeKey(text) == (Result<OneTimeKey, KeyParseError>{key}));
    std::string changed = text;
    changed[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    if (const auto parsed = parseOneTimeKey(changed); isOk(parsed))
        RC_ASSERT(formatOneTimeKey(value(parsed)) == changed);
}

// Guards against accepting a malformed text as the key of some incarnation.
TEST(OneTimeKeyTest, MalformedTextIsRejectedWithError)
{
    const std::string id = formatIncarnation(1, 2);
    const std::string random(16, 'r');
    const std::pair<std::string, KeyParseError> cases[] = {
            {"", KeyParseError::Parts},
            {id + ".1", KeyParseError::Parts},
            {"A" + id.substr(1) + ".1." + random, KeyParseError::Incarnation},
            {id + "0.1." + random, KeyParseError::Incarnation},
            {id + ".." + random, KeyParseError::Window},
            {id + ".01." + random, KeyParseError::Window},
            {id + ".0." + random, KeyParseError::Window},
            {id + ".-1." + random, KeyParseError::Window},
            {id + ".18446744073709551616." + random, KeyParseError::Window},
            {id + ".1." + random.substr(1), KeyParseError::RandomLength},
            {id + ".1." + std::string(65, 'r'), KeyParseError::RandomLength},
            {id + ".1.x." + random, KeyParseError::RandomCharacter},
    };
    for (const auto &[text, expectedError] : cases)
        EXPECT_EQ(parseOneTimeKey(text), (Result<OneTimeKey, KeyParseError>{expectedError}))
                << text;
}

// Guards against a hash that differs between builds. Instances of two releases run at the same time
// and must compute the same hash.
TEST(FingerprintTest, ValueIsStable)
{
    const auto hash = fingerprint({"box-office", "POST", "/checkout", "a=1", "body"});
    EXPECT_EQ(formatIncarnation(hash.high, hash.low), "65efbfa07425e7f1c601e89923314157");
}

// Guards against equal hashes of requests that differ only in the boundary between two parts.
TEST(FingerprintTest, PartBoundariesChangeTheValue)
{
    EXPECT_NE(fingerprint({"s", "GET", "/ab", "c", ""}), fingerprint({"s", "GET", "/a", "bc", ""}));
    EXPECT_NE(fingerprint({"s", "GET", "/a", "b", ""}), fingerprint({"s", "GET", "/a", "", "b"}));
}

} // namespace
} // namespace chestnutvane
