#include "chestnutvane/process/gateway/admission/unknown_keys.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Guards against a 401 for a key that was written after the last confirmation of the configuration.
TEST(UnknownKeysTest, AKeyIsWrongOnceTheConfigurationWasConfirmedAfterItWasSeen)
{
    UnknownKeys keys;
    const BootTime begin = BootClock::now();
    EXPECT_EQ(keys.judge("k", begin, 800ms), KeyJudgement::Undecided);
    EXPECT_EQ(keys.judge("k", begin + 500ms, 1300ms), KeyJudgement::Undecided);
    EXPECT_EQ(keys.judge("k", begin + 900ms, 100ms), KeyJudgement::Wrong);
}

// Guards against a store outage in which new keys are called wrong: nothing confirms the
// configuration meanwhile, however long it lasts.
TEST(UnknownKeysTest, NothingIsWrongWithoutAConfirmation)
{
    UnknownKeys keys;
    const BootTime begin = BootClock::now();
    for (auto elapsed = 0ms; elapsed < 10min; elapsed += 10s)
        EXPECT_EQ(keys.judge("k", begin + elapsed, 1s + elapsed), KeyJudgement::Undecided);
}

// Guards against memory that grows with the keys of a flood.
TEST(UnknownKeysTest, AFloodOfKeysIsBounded)
{
    UnknownKeys keys;
    const BootTime begin = BootClock::now();
    for (std::size_t i = 0; i < UnknownKeys::maxKeys * 3; ++i)
        keys.judge("key-" + std::to_string(i), begin, 0ms);
    EXPECT_EQ(keys.size(), UnknownKeys::maxKeys);
    EXPECT_EQ(keys.judge("key-0", begin + 1s, 0ms), KeyJudgement::Undecided);
}

} // namespace
} // namespace chestnutvane
