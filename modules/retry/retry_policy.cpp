#include "modules/retry/retry_policy.h"

namespace hawthornslip {

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
// With less time than this the repeat would end after the deadline and be thrown away.
constexpr Duration kMinRemaining = milliseconds(20);

} // namespace

RetryDecision RetryPolicy::decide(const Profile &profile, const FailedAttempt &failed,
                                  RetryBudget &budget)
{
    if (failed.attempts >= kMaxAttempts || failed.remaining < kMinRemaining)
        return RetryDecision::Stop;
    if (!profile.idempotent && !failed.certainlyNotRun)
        return RetryDecision::Stop;
    // Tokens that the caller has cannot be taken back; only a continuation may follow them.
    if (failed.tokensRelayed > 0 && !profile.resumable)
        return RetryDecision::Stop;
    if (!budget.tryTake())
        return RetryDecision::Stop;
    return failed.tokensRelayed > 0 ? RetryDecision::Resume : RetryDecision::Retry;
}

} // namespace hawthornslip
