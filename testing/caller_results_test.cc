#include "testing/caller_results.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

const ExpectedAnswer expected{.tag = "a-1", .bodyDigest = "d", .answerBytes = 5};

HttpResponse answer(const std::string &tag, const std::string &digest, const std::string &body)
{
    return {.status = 200,
            .headers = {{"Answer-Tag", tag}, {"Answer-Body-Digest", digest}},
            .body = body};
}

// Guards against a check that passes answers it must count.
TEST(CallerResultsTest, CountsEachKindOfWrongAnswer)
{
    CallerResults results;
    results.check(expected, answer("a-1", "d", "a-1.."));
    auto report = results.report();
    EXPECT_EQ(report["crossed"], 0);
    EXPECT_EQ(report["cut"], 0);
    EXPECT_EQ(report["damaged-uploads"], 0);
    results.check(expected, answer("a-2", "d", "a-2.."));
    results.check(expected, answer("a-1", "d", "a-2.."));
    results.check(expected, {.status = 200, .body = "a-1.."});
    EXPECT_EQ(results.report()["crossed"], 3);
    results.check(expected, answer("a-1", "d", "a-1."));
    EXPECT_EQ(results.report()["cut"], 1);
    results.check(expected, answer("a-1", "e", "a-1.."));
    EXPECT_EQ(results.report()["damaged-uploads"], 2) << "one without the header, one other";
}

// Guards against requests that vanish from the report or distort its latencies.
TEST(CallerResultsTest, ReportsEveryEnd)
{
    CallerResults results;
    for (int i = 0; i < 102; ++i)
        results.onSent("c");
    for (int i = 1; i <= 100; ++i)
        results.onEnd("c", "w" + std::to_string(i), CallerOutcome::Whole, "none", Milliseconds{i});
    results.onEnd("c", "n", CallerOutcome::NotRun, "overloaded", Milliseconds{9000});
    results.onEnd("c", "u", CallerOutcome::Unknown, "unanswered", Milliseconds{9000});
    const auto report = results.report()["classes"]["c"];
    EXPECT_EQ(report["sent"], 102);
    EXPECT_EQ(report["whole"], 100);
    EXPECT_EQ(report["not-run"], 1);
    EXPECT_EQ(report["unknown"], 1);
    EXPECT_EQ(report["p50-ms"], 51.0);
    EXPECT_EQ(report["p99-ms"], 100.0);
    EXPECT_EQ(report["tags"].size(), 102U);
    EXPECT_EQ(report["tags"]["n"], "not-run");
    EXPECT_EQ(report["reasons"]["overloaded"], 1);
    EXPECT_EQ(percentileMs({}, 0.5), 0);
}

} // namespace
} // namespace chestnutvane
