#include "chestnutvane/base/enum_names.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/request/outcome.h"

namespace chestnutvane {
namespace {

// Guards against a reason that was added without a name: callers would see "?" in Vane-Reason.
TEST(EnumNamesTest, EveryReasonHasAName)
{
    for (int i = 0; i <= static_cast<int>(Reason::Cancelled); ++i)
        EXPECT_NE(enumName(reasonNames, static_cast<Reason>(i)), "?") << "reason " << i;
}

// Guards against two enumerators that share a name and so cannot be read back.
TEST(EnumNamesTest, NamesReadBack)
{
    for (const auto &row : reasonNames)
        EXPECT_EQ(enumFromName(reasonNames, row.name), row.value);
    EXPECT_EQ(enumFromName(reasonNames, "no-such-reason"), std::nullopt);
}

// Guards against a hash point outside [0, 1), which would select no region for a caller.
RC_GTEST_PROP(HashTest, UnitIntervalStaysInRange, (std::uint64_t hash))
{
    const double point = unitInterval(hash);
    RC_ASSERT(point >= 0.0 && point < 1.0);
}

} // namespace
} // namespace chestnutvane
