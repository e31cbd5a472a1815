#include "chestnutvane/request/retry_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a retry storm: over every stretch of requests, retries stay within the share of
// the stretch plus the burst, whatever fails when.
RC_GTEST_PROP(RetryBudgetTest, RetriesStayWithinTheirShare, ())
{
    const auto draws = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 3));
    RetryBudget budget(0.1, 5);
    std::vector<std::pair<int, int>> sums{{0, 0}}; // requests, retries
    for (const int draw : draws) {
        auto [requests, retries] = sums.back();
        if (draw == 0)
            budget.onRequest();
        requests += draw == 0 ? 1 : 0;
        retries += draw != 0 && budget.take() ? 1 : 0;
        sums.emplace_back(requests, retries);
    }
    for (std::size_t from = 0; from < sums.size(); ++from) {
        for (std::size_t to = from; to < sums.size(); ++to) {
            const int requests = sums[to].first - sums[from].first;
            RC_ASSERT(sums[to].second - sums[from].second <= 5 + 0.1 * requests + 1e-6);
        }
    }
}

// Guards against a second run of an at-most-once request, and against "not-run" after an attempt
// that may have run.
RC_GTEST_PROP(RetryPolicyTest, OutcomeCoversAllAttempts, ())
{
    const auto outcomes = *rc::gen::container<std::vector<Outcome>>(
            rc::gen::element(Outcome::NotRun, Outcome::Ran, Outcome::Unknown));
    RequestClass requestClass;
    AttemptHistory history;
    bool allNotRun = true;
    bool anyRan = false;
    for (const Outcome outcome : outcomes) {
        history = withAttempt(history, outcome);
        allNotRun = allNotRun && outcome == Outcome::NotRun;
        anyRan = anyRan || outcome == Outcome::Ran;
        RC_ASSERT((coveringOutcome(history) == Outcome::NotRun) == allNotRun);
        RC_ASSERT((coveringOutcome(history) == Outcome::Ran) == anyRan);
        RetryBudget budget;
        requestClass.repeat = Repeat::AtMostOnce;
        const auto verdict = mayRetry(requestClass, history, Milliseconds{9}, {}, budget);
        RC_ASSERT((verdict == RetryVerdict::Retry)
                  == (allNotRun && history.attempts < maxAttempts));
    }
}

// Guards against a token that is spent for a retry that is not made.
TEST(RetryPolicyTest, RefusedRetryKeepsItsToken)
{
    RequestClass requestClass;
    requestClass.repeat = Repeat::Idempotent;
    const auto once = withAttempt({}, Outcome::Unknown);
    RetryBudget budget(0.1, 1);
    const auto retry = [&](Milliseconds remaining) {
        return mayRetry(requestClass, once, remaining, Milliseconds{20}, budget);
    };
    EXPECT_EQ(retry(Milliseconds{20}), RetryVerdict::DeadlineTooNear);
    EXPECT_EQ(retry(Milliseconds{21}), RetryVerdict::Retry);
    EXPECT_EQ(retry(Milliseconds{21}), RetryVerdict::BudgetSpent);
    for (int i = 0; i < 10; ++i)
        budget.onRequest();
    EXPECT_EQ(retry(Milliseconds{21}), RetryVerdict::Retry);
}

} // namespace
} // namespace chestnutvane
