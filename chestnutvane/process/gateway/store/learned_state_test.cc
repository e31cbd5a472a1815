#include "chestnutvane/process/gateway/store/learned_state.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

LearnedState sample()
{
    LearnedState state;
    state.times.routes["r-1"] = {{0.15, 20}, {0.48, 3}};
    state.times.services["s-1"] = {0.2, 23};
    state.warmCapacities["s-1"] = 22;
    state.targets = {{7, 1700000000123, {4000000000, 5}}, {8, 0, {}}};
    return state;
}

// Guards against a field that is encoded but not decoded.
TEST(LearnedStateTest, ADecodedStateEqualsTheEncodedOne)
{
    const auto decoded = decodeLearnedState(encodeLearnedState(sample()));
    ASSERT_TRUE(isOk(decoded));
    EXPECT_EQ(value(decoded), sample());
}

// Guards against an instance that starts with state decoded from truncated or foreign bytes.
TEST(LearnedStateTest, OtherBytesAreRefused)
{
    const std::string whole = encodeLearnedState(sample());
    for (std::size_t length = 0; length < whole.size(); ++length)
        EXPECT_FALSE(isOk(decodeLearnedState(whole.substr(0, length)))) << length;
    EXPECT_FALSE(isOk(decodeLearnedState("{\"targets\":[]}")));
}

} // namespace
} // namespace chestnutvane
