#include "chestnutvane/process/gateway/store/evacuation_memory.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;
using Zones = std::set<std::string>;
using Listed = std::map<std::string, EraRevision>;

const BootTime start = BootTime{} + 1h;

// Guards against an evacuation that ends because a copy of the store does not know it, and against
// one that never ends.
TEST(EvacuationMemoryTest, AnEvacuationThatTheCopyLacksStaysForTheGrace)
{
    EvacuationMemory memory;
    EXPECT_EQ(applyEvacuations(memory, {{"z1", {1, 90}}}, ListState::Complete, 1, start),
              Zones{"z1"});
    EXPECT_EQ(applyEvacuations(memory, {}, ListState::MayLackWrites, 2, start + 1s), Zones{"z1"});
    EXPECT_EQ(applyEvacuations(memory, {}, ListState::MayLackWrites, 3, start + 2s), Zones{"z1"});
    EXPECT_EQ(applyEvacuations(memory, {}, ListState::Complete, 3, start + 4s), Zones{});
}

// Guards against an evacuation that comes back because the copy holds it still, and against one of
// the operator that is ignored.
TEST(EvacuationMemoryTest, AnEvacuationThatWasTakenBackStaysSo)
{
    EvacuationMemory memory;
    applyEvacuations(memory, {{"z1", {1, 90}}}, ListState::Complete, 1, start);
    EXPECT_EQ(applyEvacuations(memory, {}, ListState::Complete, 1, start + 1s), Zones{});
    const Listed copy{{"z1", {2, 90}}};
    EXPECT_EQ(applyEvacuations(memory, copy, ListState::MayLackWrites, 2, start + 2s), Zones{});
    const Listed anew{{"z1", {2, 91}}};
    EXPECT_EQ(applyEvacuations(memory, anew, ListState::MayLackWrites, 2, start + 3s), Zones{"z1"});
    // Removed in the new era itself, which the copy does not explain.
    EXPECT_EQ(applyEvacuations(memory, {}, ListState::MayLackWrites, 2, start + 3s), Zones{});
}

// Guards against a copy that is believed for ever, where the operator never removes it again.
TEST(EvacuationMemoryTest, BehindTheGraceTheStoreDecides)
{
    EvacuationMemory memory;
    applyEvacuations(memory, {{"z1", {1, 90}}}, ListState::Complete, 1, start);
    applyEvacuations(memory, {}, ListState::Complete, 1, start + 1s);
    const Listed copy{{"z1", {2, 90}}};
    EXPECT_EQ(applyEvacuations(memory, copy, ListState::MayLackWrites, 2, start + 2s), Zones{});
    EXPECT_EQ(applyEvacuations(memory, copy, ListState::Complete, 2, start + 5s), Zones{"z1"});
}

} // namespace
} // namespace chestnutvane
