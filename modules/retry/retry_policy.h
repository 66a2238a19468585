#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/retry/retry_budget.h"

#include <cstdint>

namespace hawthornslip {

/** An attempt that did not bring the whole answer. */
struct FailedAttempt
{
    /** No byte reached the upstream, or the upstream said that it did not run the request. */
    bool certainlyNotRun = false;
    /** Attempts made so far, with this one. */
    std::uint32_t attempts = 1;
    /** Tokens already relayed to the caller. */
    std::uint32_t tokensRelayed = 0;
    /** Time left until the caller's deadline. */
    Duration remaining{0};
    /** Most attempts of one request. */
    std::uint32_t maxAttempts = 4;
    /** The kind of answer can be continued at another upstream. */
    bool resumable = true;
};

/** What follows a failed attempt. */
enum class RetryDecision {
    /** The request fails. */
    Stop,
    /** The request is sent again from its beginning. */
    Retry,
    /** The answer is continued after the tokens relayed. */
    Resume
};

/** Decides whether a failed attempt is repeated. */
class RetryPolicy
{
public:
    /**
     * Decides about @p failed; a repeat still has to be paid for from the budget. A non-idempotent
     * request is repeated only when it certainly was not run.
     */
    static RetryDecision decide(const Profile &profile, const FailedAttempt &failed);

    /**
     * Decides about @p failed and spends from @p budget when it answers Retry or Resume. A
     * non-idempotent request is repeated only when it certainly was not run.
     */
    static RetryDecision decide(const Profile &profile, const FailedAttempt &failed,
                                RetryBudget &budget);
};

} // namespace hawthornslip
