#pragma once

#include "core/time.h"

#include <cstdint>

namespace hawthornslip {

/**
 * This node's part of the requests that all nodes get, by which limits for all of them are divided.
 * The parts of the nodes add up to one as far as they have the same view of each other.
 */
class RequestShare
{
public:
    /** Records a request of a caller of this node. */
    void onRequest(TimePoint now);

    /** Adds requests that peers got since their last report. */
    void onPeers(std::uint64_t requests, TimePoint now);

    /** @return the part, from 0 to 1; 1 without any requests. */
    double value(TimePoint now) const;

private:
    double m_own = 0;
    TimePoint m_ownAt{};
    double m_peers = 0;
    TimePoint m_peersAt{};
};

} // namespace hawthornslip
