#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/retry/retry_budget.h"

#include <cstdint>

namespace hawthornslip {

/** An attempt that did not deliver a complete answer. */
struct FailedAttempt
{
    /** No byte reached the upstream, or the upstream reported that it did not run the request. */
    bool certainlyNotRun = false;
    /** Attempts made so far, including this one. */
    std::uint32_t attempts = 1;
    /** Tokens already relayed to the caller. */
    std::uint32_t tokensRelayed = 0;
    /** Time left until the caller's deadline. */
    Duration remaining{0};
    /** Maximum number of attempts of one request. */
    std::uint32_t maxAttempts = 4;
    /** An answer of this kind can be continued at another upstream. */
    bool resumable = true;
};

/** What follows a failed attempt. */
enum class RetryDecision {
    /** The request fails. */
    Stop,
    /** The request is sent again from its beginning. */
    Retry,
    /** The answer is continued after the tokens that were already relayed. */
    Resume
};

/** Decides whether a failed attempt is retried. */
class RetryPolicy
{
public:
    /**
     * Decides without a retry budget; the caller has to check it. A non-idempotent request is
     * retried only when it certainly was not run.
     */
    static RetryDecision decide(const Profile &profile, const FailedAttempt &failed);

    /**
     * Decides, and takes one retry from @p budget when the result is Retry or Resume. A
     * non-idempotent request is retried only when it certainly was not run.
     */
    static RetryDecision decide(const Profile &profile, const FailedAttempt &failed,
                                RetryBudget &budget);
};

} // namespace hawthornslip
