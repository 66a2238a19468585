#pragma once

#include "core/profile.h"
#include "core/time.h"

#include <optional>

namespace hawthornslip {

/** Grants retries and hedges from a retry budget. Calls may come from any thread. */
class RetryLimiter
{
public:
    virtual ~RetryLimiter() = default;

    /** Takes one retry or hedge from the budget of @p profile. @return false when none is left. */
    virtual bool take(const Profile &profile, TimePoint now) = 0;

    /**
     * Records a successful request, which adds to the budget of @p profile.
     *
     * @param timeToFirstToken time from sending to the first token; zero when a hedge was started.
     */
    virtual void succeeded(const Profile &profile, Duration timeToFirstToken, TimePoint now) = 0;

    /** @return how long to wait for the first token before a hedge, or nothing for no hedge. */
    virtual std::optional<Duration> hedgeDelay(const Profile &profile) = 0;
};

} // namespace hawthornslip
