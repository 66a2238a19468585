#include "modules/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

TokenBucket::TokenBucket(double ratePerSecond, double burst, TimePoint now)
    : m_rate(ratePerSecond)
    , m_burst(burst)
    , m_fill(burst)
    , m_updated(now)
{}

double TokenBucket::fillAt(TimePoint now) const
{
    // A time before the last update adds no tokens and is no error.
    const double elapsed = std::max(0.0, toSeconds(now - m_updated));
    return std::min(m_burst, m_fill + elapsed * m_rate);
}

bool TokenBucket::tryTake(double n, TimePoint now)
{
    const double fill = fillAt(now);
    // Allows for rounding errors that add up over many refills.
    constexpr double kRoundingTolerance = 1e-9;
    if (fill + kRoundingTolerance < n)
        return false;
    m_fill = fill - n;
    m_updated = std::max(m_updated, now);
    return true;
}

Duration TokenBucket::timeUntil(double n, TimePoint now) const
{
    const double missing = n - fillAt(now);
    if (missing <= 0)
        return Duration(0);
    if (m_rate <= 0 || n > m_burst)
        return Duration::max();
    return Duration(static_cast<std::int64_t>(std::ceil(missing / m_rate * 1e6)));
}

void TokenBucket::configure(double ratePerSecond, double burst, TimePoint now)
{
    m_fill = std::min(fillAt(now), burst);
    m_updated = std::max(m_updated, now);
    m_rate = ratePerSecond;
    m_burst = burst;
}

} // namespace hawthornslip
