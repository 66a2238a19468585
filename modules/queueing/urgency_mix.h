#pragma once

#include "modules/balancing/balancing_types.h"

namespace hawthornslip {

/**
 * How the engine time that callers ask for is distributed over the levels of urgency.
 *
 * Decides which requests a workspace goes without when its share has no room for all of them: the
 * least urgent ones.
 */
class UrgencyMix
{
public:
    /** Records a request that arrived. */
    void onAsked(std::size_t urgency, Duration engineTime, TimePoint now);

    /**
     * @param admitted fraction of all engine time asked for that is admitted, from 0 to 1.
     * @return the fraction of the requests of @p urgency that is admitted when more urgent ones go
     *         first, from 0 to 1.
     */
    double admittedFraction(std::size_t urgency, double admitted) const;

private:
    /** Seconds of engine time, which decay. */
    TokensByUrgency<double> m_asked{};
    TimePoint m_updatedAt{};
};

} // namespace hawthornslip
