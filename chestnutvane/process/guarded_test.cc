#include "chestnutvane/process/guarded.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against locks taken in an order that can deadlock.
TEST(GuardedTest, WrongOrderAborts)
{
    Guarded<int, LockRank::Membership> first(1);
    Guarded<int, LockRank::OnceTable> last(2);
    const int sum = first.use([&](int &a) { return last.use([&](int &b) { return a + b; }); });
    EXPECT_EQ(sum, 3);
    const auto wrongOrder = [&] { last.use([&](int &) { first.use([](int &) {}); }); };
    EXPECT_DEATH(wrongOrder(), "lock order violated at membership");
}

} // namespace
} // namespace chestnutvane
