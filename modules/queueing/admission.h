#pragma once

#include "modules/balancing/service_balancer.h"

namespace hawthornslip {

/** What to do with a request that has a placement. */
enum class AdmissionDecision {
    /** Send it to the upstream now. */
    Send,
    /** Hold it at this node and decide again later. */
    Hold,
    /** Refuse it, so that its caller can retry later or at another node. */
    Refuse
};

/** How long a caller has waited for its request. */
struct CallerWait
{
    /** Target for the time to the first event or to the answer. */
    Duration objective{0};
    /** Time spent on earlier attempts of the caller. */
    Duration spentBefore{0};
    /** Time since the current attempt arrived. */
    Duration heldFor{0};
    /** The caller has the beginning of the answer, which a refusal would waste. */
    bool hasBeginning = false;
};

/** @return true when @p placement can begin to serve the request soon. */
bool hasRoom(const RequestDemand &demand, const RequestPlacement &placement,
             const CallerWait &wait);

/**
 * Decides whether a request is sent, held or refused.
 *
 * Handles bursts that exceed the prefill rate of the engines: a request that waits inside an
 * engine cannot be withdrawn, so it is sent only when its prefill starts soon, held as long as
 * its objective can be met, and refused as soon as it cannot.
 *
 * @param lessUrgentSent true when less urgent requests of the service were sent recently.
 */
AdmissionDecision decideAdmission(const RequestDemand &demand, const RequestPlacement &placement,
                                  const CallerWait &wait, bool lessUrgentSent);

} // namespace hawthornslip
