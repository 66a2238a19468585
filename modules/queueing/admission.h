#pragma once

#include "modules/balancing/service_balancer.h"

namespace hawthornslip {

/** What becomes of a request that has a placement. */
enum class Admission {
    /** It goes to the upstream now. */
    Send,
    /** It waits at this node and is asked about again. */
    Hold,
    /** It is refused, so that its caller can come back later or elsewhere. */
    Refuse
};

/** How long a caller has waited for its request. */
struct CallerWait
{
    /** Time to the first event or the answer that counts as in time. */
    Duration objective{0};
    /** Spent on earlier tries. */
    Duration before{0};
    /** Since this try arrived. */
    Duration held{0};
};

/**
 * Decides whether a request is sent, held or refused.
 *
 * Answers the burst that brings more prompts than the engines read: what is sent to an engine waits
 * there and cannot be withdrawn, so a request is sent only when it is read soon, held as long as
 * its objective can be met, and refused as soon as it cannot.
 *
 * @param lessUrgentSent less urgent requests of the service were sent lately.
 */
Admission decideAdmission(const RequestDemand &demand, const RequestPlacement &placement,
                          const CallerWait &wait, bool lessUrgentSent);

} // namespace hawthornslip
