#pragma once

#include "core/time.h"

namespace hawthornslip {

/** A rate limit with a burst. */
class TokenBucket
{
public:
    /** Starts full. @param ratePerSecond refill, @param burst size of the bucket. */
    TokenBucket(double ratePerSecond, double burst, TimePoint now);

    /** Takes @p n tokens if they are there. @return false when nothing was taken. */
    bool tryTake(double n, TimePoint now);

    /** @return the time until @p n tokens are there; the largest Duration if never. */
    Duration timeUntil(double n, TimePoint now) const;

    /** Changes rate and size; the fill is kept up to the new size. */
    void configure(double ratePerSecond, double burst, TimePoint now);

private:
    double fillAt(TimePoint now) const;

    double m_rate;
    double m_burst;
    double m_fill;
    TimePoint m_updated;
};

} // namespace hawthornslip
