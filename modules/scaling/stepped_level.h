#pragma once

#include "modules/scaling/scaling_types.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

/**
 * A number of upstreams that rises at once and falls in steps. Hysteresis: a rise goes further than
 * asked for, and a fall needs a goal that is lower by more than that.
 */
class SteppedLevel
{
public:
    explicit SteppedLevel(const ScalingSettings &settings)
        : m_interval(settings.stepInterval)
        , m_stepDown(settings.stepDown)
    {}

    /** Starts at @p value. */
    void reset(std::uint32_t value, TimePoint now)
    {
        m_value = value;
        m_steppedAt = now;
    }

    /** Moves towards @p goal. */
    void follow(double goal, TimePoint now)
    {
        const auto wanted = static_cast<std::uint32_t>(std::ceil(goal));
        const auto withMargin = static_cast<std::uint32_t>(std::ceil(goal * (1 + kRiseMargin)));
        if (wanted > m_value) {
            reset(withMargin, now);
            return;
        }
        if (now - m_steppedAt >= m_interval && withMargin + step() <= m_value)
            reset(m_value - step(), now);
    }

    /** @return the number of upstreams. */
    std::uint32_t value() const { return m_value; }
    /** @return the size of a step down. */
    std::uint32_t step() const
    {
        return std::max(1U, static_cast<std::uint32_t>(m_value * m_stepDown));
    }

private:
    static constexpr double kRiseMargin = 0.1;

    Duration m_interval;
    double m_stepDown;
    std::uint32_t m_value = 0;
    TimePoint m_steppedAt{};
};

} // namespace hawthornslip
