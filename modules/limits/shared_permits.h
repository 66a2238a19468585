#pragma once

#include "core/time.h"

namespace hawthornslip {

/**
 * This node's permits to send requests to an upstream that limits the requests of all nodes.
 *
 * A permit arises each time that the node's part of the limit has added up to one request. One that
 * is not used soon is lost, so that the permits open at all nodes together are about as many as the
 * limit allows in one second, also where each node's part is a small fraction of a request.
 */
class SharedPermits
{
public:
    /**
     * @param requestsPerSecond limit for all nodes.
     * @param phase from 0 to 1; differs between nodes, so that their first permits are spread.
     */
    SharedPermits(double requestsPerSecond, double phase, TimePoint now);

    /** Replaces the limit. @param share this node's part, from 0 to 1. */
    void setLimit(double requestsPerSecond, double share, TimePoint now);

    double limit() const { return m_limit; }

    /** @return the time until the next permit; 0 when there is one. */
    Duration wait(double share, TimePoint now) const;

    /** Takes a permit. */
    void onSent(double share, TimePoint now);

private:
    double rate(double share) const;
    double creditAt(double share, TimePoint now) const;

    double m_limit;
    /** Permits, with the fraction of the one that is arising. */
    double m_credit;
    TimePoint m_updatedAt;
};

} // namespace hawthornslip
