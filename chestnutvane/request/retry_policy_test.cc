#include "chestnutvane/request/retry_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chestnutvane {
namespace {

// Guards against a retry storm. In every interval of a random sequence of requests and failures,
// the retries stay within the burst plus the configured share of the requests.
RC_GTEST_PROP(RetryBudgetTest, RetriesStayWithinBudget, ())
{
    const auto events = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 3));
    RetryBudget budget(0.1, 5);
    std::vector<std::pair<int, int>> totals{{0, 0}}; // running totals: requests, retries
    for (const int event : events) {
        auto [requests, retries] = totals.back();
        if (event == 0)
            budget.onRequest();
        requests += event == 0 ? 1 : 0;
        retries += event != 0 && budget.tryConsume() ? 1 : 0;
        totals.emplace_back(requests, retries);
    }
    for (std::size_t from = 0; from < totals.size(); ++from) {
        for (std::size_t to = from; to < totals.size(); ++to) {
            const int requests = totals[to].first - totals[from].first;
            RC_ASSERT(totals[to].second - totals[from].second <= 5 + 0.1 * requests + 1e-6);
        }
    }
}

// Guards against a retry of an at-most-once request that may have run, and against the outcome
// "not-run" after such an attempt.
RC_GTEST_PROP(RetryPolicyTest, CombinedOutcomeCoversAllAttempts, ())
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
        RC_ASSERT((combinedOutcome(history) == Outcome::NotRun) == allNotRun);
        RC_ASSERT((combinedOutcome(history) == Outcome::Ran) == anyRan);
        RetryBudget budget;
        requestClass.repeat = Repeat::AtMostOnce;
        const auto decision = decideRetry(requestClass, history, Milliseconds{9}, {}, budget);
        RC_ASSERT((decision == RetryDecision::Retry)
                  == (allNotRun && history.attempts < maxAttempts));
    }
}

// Guards against consuming a token for a retry that is refused.
TEST(RetryPolicyTest, RefusedRetryConsumesNoToken)
{
    RequestClass requestClass;
    requestClass.repeat = Repeat::Idempotent;
    const auto oneAttempt = withAttempt({}, Outcome::Unknown);
    RetryBudget budget(0.1, 1);
    const auto retry = [&](Milliseconds remaining) {
        return decideRetry(requestClass, oneAttempt, remaining, Milliseconds{20}, budget);
    };
    EXPECT_EQ(retry(Milliseconds{20}), RetryDecision::DeadlineTooNear);
    EXPECT_EQ(retry(Milliseconds{21}), RetryDecision::Retry);
    EXPECT_EQ(retry(Milliseconds{21}), RetryDecision::BudgetSpent);
    for (int i = 0; i < 10; ++i)
        budget.onRequest();
    EXPECT_EQ(retry(Milliseconds{21}), RetryDecision::Retry);
}

} // namespace
} // namespace chestnutvane
