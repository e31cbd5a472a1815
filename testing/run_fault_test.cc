#include "testing/run_fault.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Guards against runs of a killed target that a report of the run leaves out.
TEST(RunFaultTest, CountsTheRunsOfEachTagInALog)
{
    const auto runs = runsInLog("run 10 a-1\ntarget_standin: listening\nrun 12 a-2\ncrash 13 a-3\n"
                                "run 20 a-1\nrun 21\n");
    EXPECT_EQ(runs, (std::map<std::string, int>{{"a-1", 2}, {"a-2", 1}}));
}

// Guards against a fault that the command line cannot name.
TEST(RunFaultTest, NamesEachFault)
{
    for (int i = 0; i <= static_cast<int>(RunFault::RegionLost); ++i) {
        const auto name = enumName(runFaultNames, static_cast<RunFault>(i));
        EXPECT_EQ(enumFromName(runFaultNames, name), static_cast<RunFault>(i)) << name;
    }
}

} // namespace
} // namespace chestnutvane
