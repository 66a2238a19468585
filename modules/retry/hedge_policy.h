#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/estimation/decaying_histogram.h"
#include "modules/retry/retry_budget.h"

#include <optional>

namespace hawthornslip {

/** Decides when a hedge, a second concurrent attempt, is sent for a slow idempotent request. */
class HedgePolicy
{
public:
    HedgePolicy();

    /** Records the time to first token of an attempt without a hedge. */
    void observeFirstToken(Duration timeToFirstToken);

    /**
     * @return the delay after sending until the hedge is due, or nothing when the profile allows
     *         none or there are too few samples.
     */
    std::optional<Duration> delay(const Profile &profile) const;

    /** Takes a retry from @p budget. @return true when the hedge may be sent. */
    static bool tryStart(const Profile &profile, RetryBudget &budget);

private:
    DecayingHistogram m_timeToFirstToken;
};

} // namespace hawthornslip
