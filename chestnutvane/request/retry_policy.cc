#include "chestnutvane/request/retry_policy.h"

#include <algorithm>

namespace chestnutvane {
namespace {

// In tokens. Ten additions of 0.1 yield less than 1 in binary floating point; without the tolerance
// ten requests at a ratio of 0.1 would not pay for a retry.
constexpr double roundingTolerance = 1e-9;

} // namespace

RetryBudget::RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst), tokens_(burst)
{ }

void RetryBudget::onRequest()
{
    tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool RetryBudget::tryConsume()
{
    if (tokens_ < 1 - roundingTolerance)
        return false;
    tokens_ = std::max(0.0, tokens_ - 1);
    return true;
}

AttemptHistory withAttempt(AttemptHistory history, Outcome outcome)
{
    ++history.attempts;
    history.mayHaveRun = history.mayHaveRun || outcome != Outcome::NotRun;
    history.ran = history.ran || outcome == Outcome::Ran;
    return history;
}

Outcome combinedOutcome(const AttemptHistory &history)
{
    if (history.ran)
        return Outcome::Ran;
    return history.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

RetryDecision decideRetry(const RequestClass &requestClass, const AttemptHistory &history,
                          Duration remaining, Duration expectedDuration, RetryBudget &budget)
{
    if (history.ran || history.attempts == 0)
        return RetryDecision::Finished;
    if (requestClass.repeat == Repeat::AtMostOnce && history.mayHaveRun)
        return RetryDecision::MayHaveRun;
    if (history.attempts >= maxAttempts)
        return RetryDecision::TooManyAttempts;
    if (remaining <= std::max(expectedDuration, Duration::zero()))
        return RetryDecision::DeadlineTooNear;
    return budget.tryConsume() ? RetryDecision::Retry : RetryDecision::BudgetSpent;
}

} // namespace chestnutvane
