// Decides whether a failed attempt of a request may be followed by another one.
//
// Example:
//
//   AttemptHistory attempts;
//   attempts = withAttempt(attempts, Outcome::Unknown);
//   RetryDecision verdict = decideRetry(requestClass, attempts, deadline - now, meanServiceTime,
//   budget); if (verdict == RetryDecision::Retry)
//       send again;
//   else
//       answer with combinedOutcome(attempts);
#pragma once

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/request/outcome.h"
#include "chestnutvane/request/request_class.h"

namespace chestnutvane {

// Limits retries to a share of the requests. Each request adds ratio tokens and each retry takes
// one, so over any run of requests there are at most burst + ratio * requests retries. Tokens grow
// with requests and not with time: a failing service must not earn retries while it is idle.
//
// Not thread-safe.
class RetryBudget
{
public:
    // The burst lets a service with few requests retry at all; 10 retries are small beside the
    // slots of one target group.
    explicit RetryBudget(double ratio = 0.1, double burst = 10);

    // Counts a request, once, when its first attempt is sent.
    void onRequest();

    // Takes the token of one retry. Returns false, and takes nothing, if there is none.
    [[nodiscard]] bool tryConsume();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

// What the attempts of one request so far say together.
struct AttemptHistory
{
    int attempts = 0;
    bool mayHaveRun = false; // an attempt ended other than "not-run"
    bool ran = false; // an attempt yielded a complete answer
};

// Returns the history with one more attempt.
AttemptHistory withAttempt(AttemptHistory history, Outcome outcome);

// The outcome of the whole request: "not-run" only if no attempt can have run, "ran" if one gave a
// complete answer, else "unknown". A request without an attempt did not run.
Outcome combinedOutcome(const AttemptHistory &history);

enum class RetryDecision {
    Retry,
    Finished, // a complete answer is there, or there was no attempt to repeat
    MayHaveRun, // an at-most-once request may have run
    TooManyAttempts,
    DeadlineTooNear,
    BudgetSpent,
};

inline constexpr EnumName<RetryDecision> retryDecisionNames[] = {
        {RetryDecision::Retry, "retry"},
        {RetryDecision::Finished, "finished"},
        {RetryDecision::MayHaveRun, "may-have-run"},
        {RetryDecision::TooManyAttempts, "too-many-attempts"},
        {RetryDecision::DeadlineTooNear, "deadline-too-near"},
        {RetryDecision::BudgetSpent, "budget-spent"},
};

// Bounds the share of the budget that one request can take.
inline constexpr int maxAttempts = 3;

// Decides about one retry, and takes its token from the budget only with Retry. The remaining time
// must be above the expected duration of an attempt, or the retry would only add load.
RetryDecision decideRetry(const RequestClass &requestClass, const AttemptHistory &history,
                          Duration remaining, Duration expectedDuration, RetryBudget &budget);

} // namespace chestnutvane
