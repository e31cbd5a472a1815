// Decides whether a request is retried after a failed attempt.
//
// A retry must be safe for the class of the request, must fit into the remaining time, and needs a
// token of a retry budget, which bounds the load that retries add while a service fails.
//
// Example:
//
//   RetryBudget budget;
//   budget.onRequest();
//   AttemptHistory history = withAttempt({}, Outcome::Unknown);
//   if (decideRetry(requestClass, history, deadline - now, meanServiceTime, budget)
//       == RetryDecision::Retry)
//       sendAgain();
//   else
//       respond(combinedOutcome(history));
#pragma once

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/request/outcome.h"
#include "chestnutvane/request/request_class.h"

namespace chestnutvane {

// A token bucket that limits retries to a share of the requests. Each request adds "ratio" tokens
// and each retry consumes one, so any sequence of requests has at most burst + ratio * requests
// retries. The bucket is refilled by requests and not by time, because a failing service must not
// accumulate retries while it is idle.
//
// Not thread-safe.
class RetryBudget
{
public:
    // "burst" is the capacity of the bucket, which is full at the start. It lets a service with few
    // requests retry at all. 10 retries are few compared with the slots of one target group.
    explicit RetryBudget(double ratio = 0.1, double burst = 10);

    // Adds the tokens of one request. Call it once per request, before its first attempt.
    void onRequest();

    // Consumes the token of one retry. Returns false, and consumes nothing, if none is available.
    [[nodiscard]] bool tryConsume();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

// Summary of the attempts of one request.
struct AttemptHistory
{
    int attempts = 0;
    bool mayHaveRun = false; // the outcome of an attempt was "ran" or "unknown"
    bool ran = false; // the outcome of an attempt was "ran": a complete response was received
};

// Returns the history extended by an attempt with this outcome.
AttemptHistory withAttempt(AttemptHistory history, Outcome outcome);

// Returns the outcome of the request over all its attempts: "ran" if an attempt received a complete
// response, "not-run" if no target can have run any attempt, else "unknown". A request without
// attempts is "not-run".
Outcome combinedOutcome(const AttemptHistory &history);

enum class RetryDecision {
    Retry,
    Finished, // a complete response was received, or there was no attempt to retry
    MayHaveRun, // an attempt of an at-most-once request may have run
    TooManyAttempts, // maxAttempts is reached
    DeadlineTooNear, // the remaining time is not above the expected duration of an attempt
    BudgetSpent, // the retry budget has no token
};

inline constexpr EnumName<RetryDecision> retryDecisionNames[] = {
        {RetryDecision::Retry, "retry"},
        {RetryDecision::Finished, "finished"},
        {RetryDecision::MayHaveRun, "may-have-run"},
        {RetryDecision::TooManyAttempts, "too-many-attempts"},
        {RetryDecision::DeadlineTooNear, "deadline-too-near"},
        {RetryDecision::BudgetSpent, "budget-spent"},
};

// Attempts of one request, including the first. Bounds the tokens of the retry budget that one
// request can consume.
inline constexpr int maxAttempts = 3;

// Decides whether a request is retried, and consumes a token of the budget if the result is Retry.
// "remaining" is the time to the deadline of the request. It must exceed the expected duration of
// an attempt, as a retry that cannot end in time only adds load.
RetryDecision decideRetry(const RequestClass &requestClass, const AttemptHistory &history,
                          Duration remaining, Duration expectedDuration, RetryBudget &budget);

} // namespace chestnutvane
