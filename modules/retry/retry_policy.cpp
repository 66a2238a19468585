#include "modules/retry/retry_policy.h"

namespace hawthornslip {

namespace {

// With less time left, a retry would end after the deadline and its answer would be discarded.
constexpr Duration kMinRemainingTime = milliseconds(20);

} // namespace

RetryDecision RetryPolicy::decide(const Profile &profile, const FailedAttempt &failed)
{
    if (failed.attempts >= failed.maxAttempts || failed.remaining < kMinRemainingTime)
        return RetryDecision::Stop;
    if (!profile.idempotent && !failed.certainlyNotRun)
        return RetryDecision::Stop;
    if (failed.tokensRelayed == 0)
        return RetryDecision::Retry;
    // Relayed tokens cannot be withdrawn, so the answer can only be continued after them.
    return profile.resumable && failed.resumable ? RetryDecision::Resume : RetryDecision::Stop;
}

RetryDecision RetryPolicy::decide(const Profile &profile, const FailedAttempt &failed,
                                  RetryBudget &budget)
{
    const auto decision = decide(profile, failed);
    return decision == RetryDecision::Stop || budget.tryTake() ? decision : RetryDecision::Stop;
}

} // namespace hawthornslip
