#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/estimation/decaying_histogram.h"
#include "modules/retry/retry_budget.h"

#include <optional>

namespace hawthornslip {

/** Decides when a second attempt runs beside a slow first one of an idempotent request. */
class HedgePolicy
{
public:
    HedgePolicy();

    /** Takes the time from sending to the first token of an attempt without a hedge. */
    void observeFirstToken(Duration timeToFirstToken);

    /**
     * @return the time after sending at which the hedge is due, or nothing when the profile allows
     *         none or too little was observed.
     */
    std::optional<Duration> delay(const Profile &profile) const;

    /** Spends from @p budget. @return true when the hedge that is due may be sent. */
    static bool tryStart(const Profile &profile, RetryBudget &budget);

private:
    DecayingHistogram m_timeToFirstToken;
};

} // namespace hawthornslip
