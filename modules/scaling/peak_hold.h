#pragma once

#include "core/time.h"

#include <deque>

namespace hawthornslip {

/** The highest of the values of the recent past. */
class PeakHold
{
public:
    /** @param keepFor time for which a value counts. */
    explicit PeakHold(Duration keepFor)
        : m_keepFor(keepFor)
    {}

    /** Adds a value. @return the highest one within the time up to @p now. */
    double add(double value, TimePoint now)
    {
        while (!m_values.empty() && m_values.back().value <= value)
            m_values.pop_back();
        m_values.push_back({value, now});
        while (now - m_values.front().at > m_keepFor)
            m_values.pop_front();
        return m_values.front().value;
    }

private:
    struct Timed
    {
        double value = 0;
        TimePoint at{};
    };

    Duration m_keepFor;
    /** Falling, the oldest first. */
    std::deque<Timed> m_values;
};

} // namespace hawthornslip
