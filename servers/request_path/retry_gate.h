#pragma once

#include "core/profile.h"
#include "core/time.h"

#include <optional>

namespace hawthornslip {

/** The budget of repeated attempts. Calls may come from any thread. */
class RetryGate
{
public:
    virtual ~RetryGate() = default;

    /** Takes one retry or hedge from the budget of @p profile. @return false when it is empty. */
    virtual bool take(const Profile &profile, TimePoint now) = 0;

    /**
     * Adds to the budget of @p profile.
     *
     * @param timeToFirstToken time from sending to the first token; zero when a hedge ran as well.
     */
    virtual void succeeded(const Profile &profile, Duration timeToFirstToken, TimePoint now) = 0;

    /** @return how long to wait for a first token before a hedge, or nothing for no hedge. */
    virtual std::optional<Duration> hedgeDelay(const Profile &profile) = 0;
};

} // namespace hawthornslip
