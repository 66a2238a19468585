#pragma once

#include "core/time.h"

#include <cstddef>

namespace hawthornslip {

/** Expected time that a request takes of one engine. */
struct EngineTime
{
    /** Prefill of its prompt, during which the engine does little else. */
    Duration prefill{0};
    /** Its part of the engine while it occupies one of the slots. */
    Duration slot{0};

    /** @return the sum of both. */
    Duration total() const { return prefill + slot; }
};

/**
 * How much engine time the engines of a service can take, whatever was sent to them.
 *
 * Handles a jump of the traffic: in its first tenths of a second the nodes send more than the
 * engines serve, as they learn of each other's requests with a delay.
 */
class EngineRoom
{
public:
    /** Records a request that arrived. */
    void onAsked(const EngineTime &time, TimePoint now);

    /**
     * @param engines number of engines.
     * @return EngineTime::total() that the engines can take per second, in seconds, for requests
     *         like the recent ones; infinite before the first one.
     */
    double perSecond(std::size_t engines) const;

private:
    /** Seconds of recent requests, which decay. */
    double m_prefill = 0;
    double m_slot = 0;
    TimePoint m_updatedAt{};
};

} // namespace hawthornslip
