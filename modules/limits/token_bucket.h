#pragma once

#include "core/time.h"

namespace hawthornslip {

/** Token bucket: limits a rate and allows bursts. */
class TokenBucket
{
public:
    /** Starts full. @param ratePerSecond refill rate. @param burst capacity in tokens. */
    TokenBucket(double ratePerSecond, double burst, TimePoint now);

    /** Takes @p n tokens if they are available. @return false when nothing was taken. */
    bool tryTake(double n, TimePoint now);

    /** @return the time until @p n tokens are available; Duration::max() if never. */
    Duration timeUntil(double n, TimePoint now) const;

    /** Changes rate and capacity; the tokens are kept up to the new capacity. */
    void configure(double ratePerSecond, double burst, TimePoint now);

private:
    double fillAt(TimePoint now) const;

    double m_rate;
    double m_burst;
    double m_fill;
    TimePoint m_updated;
};

} // namespace hawthornslip
