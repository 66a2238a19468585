#pragma once

#include "core/time.h"

#include <cstdint>

namespace hawthornslip {

/**
 * Finds how many requests one upstream can run at a time: the limit rises by a step while the
 * observed times keep within the targets and is cut by a factor when they don't.
 */
class ConcurrencyLimiter
{
public:
    /** @param maximum configured bound, at least 1; the limit starts at half of it. */
    explicit ConcurrencyLimiter(std::uint32_t maximum);

    /** Changes the configured bound. */
    void setMaximum(std::uint32_t maximum);

    /** Takes an observed time as a multiple of its target (first token or between tokens). */
    void observe(double ratioToTarget);

    /** Takes a refused or failed request as a sign of overload. */
    void observeOverload() { ++m_overloads; }

    /**
     * Closes the window of observations if it is due.
     *
     * @param inFlight the limit rises only when it is nearly used, as it is not tested otherwise.
     */
    void update(std::uint32_t inFlight, TimePoint now);

    /** @return the limit in use, from 1 to the configured bound. */
    double limit() const { return m_limit; }

private:
    void cut(double factor, TimePoint now);

    double m_maximum;
    double m_limit;
    std::uint32_t m_samples = 0;
    std::uint32_t m_late = 0;
    double m_ratioSum = 0;
    std::uint32_t m_overloads = 0;
    TimePoint m_windowStart{};
    TimePoint m_settled{};
};

} // namespace hawthornslip
