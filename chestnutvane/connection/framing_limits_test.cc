#include "chestnutvane/connection/framing_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

std::string repeated(std::size_t count, char letter)
{
    return std::string(count, letter); // NOLINT(modernize-return-braced-init-list)
}

// Guards against a line or a block of fields without end, and against bounds on whole ones.
TEST(FramingLimitsTest, LinesAndTrailersHaveBoundsOfTheirOwn)
{
    const std::string longest = "4;x=" + repeated(maxChunkLineBytes - 4, 'e');
    EXPECT_EQ(chunkFramingExcess(""), std::nullopt);
    EXPECT_EQ(chunkFramingExcess(longest), std::nullopt);
    EXPECT_EQ(chunkFramingExcess("\r\n" + longest + "\r\n"), std::nullopt);
    EXPECT_EQ(chunkFramingExcess(longest + "e"), http::status::bad_request);
    EXPECT_EQ(chunkFramingExcess("\r\n" + longest + "e\r\n"), http::status::bad_request);
    EXPECT_EQ(chunkFramingExcess("0\r\nX-A: " + repeated(maxTrailerBytes - 10, 't')), std::nullopt);
    EXPECT_EQ(chunkFramingExcess("0\r\nX-A: " + repeated(maxTrailerBytes, 't')),
              http::status::request_header_fields_too_large);
}

// Guards against any content that is kept beyond the sum of the bounds.
RC_GTEST_PROP(FramingLimitsTest, NothingBeyondTheSumOfTheBoundsIsKept, (const std::string &start))
{
    const auto filler = *rc::gen::element('\r', '\n', 'a', '0', ';');
    const std::string bytes = start + repeated(maxChunkLineBytes + maxTrailerBytes + 4, filler);
    RC_ASSERT(chunkFramingExcess(bytes).has_value());
}

} // namespace
} // namespace chestnutvane
