#include "testing/run_summary.h"

#include <gtest/gtest.h>

#include "testing/caller_results.h"

namespace chestnutvane {
namespace {

nlohmann::json callerReport()
{
    CallerResults results;
    for (const char *tag : {"once-1", "once-2", "refused-1", "refused-2"})
        results.onSent(tag[0] == 'o' ? "once" : "views");
    results.onEnd("once", "once-1", CallerOutcome::Whole, "none", Milliseconds{4});
    results.onEnd("once", "once-2", CallerOutcome::Unknown, "unanswered", Milliseconds{4});
    results.onEnd("views", "refused-1", CallerOutcome::NotRun, "overloaded", Milliseconds{4});
    results.onEnd("views", "refused-2", CallerOutcome::NotRun, "overloaded", Milliseconds{4});
    return results.report();
}

// Guards against a run that passes although a target ran what it must not.
TEST(RunSummaryTest, CountsEachFault)
{
    RunSummary clean;
    addReports(clean, {callerReport()},
               {{.name = "t-1", .reachable = true, .runsByTag = {{"once-1", 1}, {"once-2", 1}}}},
               {"once"});
    EXPECT_EQ(clean.faults(), 0U);
    EXPECT_EQ(clean.classes["once"].whole, 1U);
    EXPECT_EQ(clean.classes["views"].notRun, 2U);

    RunSummary faulty;
    addReports(faulty, {callerReport(), nlohmann::json()},
               {{.name = "t-1", .reachable = true, .aboveSlots = 3, .runsByTag = {{"once-2", 1}}},
                {.name = "t-2", .reachable = true, .runsByTag = {{"once-2", 1}, {"refused-2", 1}}},
                {.name = "t-3"}},
               {"once"});
    EXPECT_EQ(faulty.ranTwice, 1U) << "one run at each of two targets";
    EXPECT_EQ(faulty.notRunButRan, 1U);
    EXPECT_EQ(faulty.aboveSlots, 3U);
    EXPECT_EQ(faulty.missingReports, 2U) << "a caller and a target";
    EXPECT_EQ(faulty.faults(), 7U);
}

} // namespace
} // namespace chestnutvane
