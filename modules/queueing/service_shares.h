#pragma once

#include "modules/queueing/admission.h"
#include "modules/queueing/slot_times.h"
#include "modules/queueing/urgency_mix.h"
#include "modules/queueing/workspace_shares.h"

#include <string>

namespace hawthornslip {

/** A request as seen by ServiceShares. */
struct SharedRequest
{
    /** Result of workspaceKey(); 0 when requests are not divided between workspaces. */
    std::uint32_t workspace = 0;
    std::size_t urgency = 0;
    /** Expected engine time. */
    Duration engineTime{0};
    /** Uniformly distributed over [0, 1), drawn once for each request. */
    double draw = 0;
};

/**
 * Fair shares of one service: which workspaces are above their share, and which of their requests
 * are refused before they wait. Nothing is divided unless requests name different workspaces.
 */
class ServiceShares
{
public:
    /**
     * @param ownTokens prompt tokens after the shared prefix.
     * @param prefillRate tokens per second that an engine prefills.
     * @param slots requests that an engine runs at once.
     * @return the engine time that a request takes: its prefill, during which the engine does
     *         nothing else, and its part of the engine while it occupies a slot.
     */
    Duration engineTime(const std::string &route, double ownTokens, double prefillRate,
                        std::uint32_t slots) const;

    /** Records a request that arrived. */
    void onAsked(const SharedRequest &request, TimePoint now);
    /** Records that it was sent to an engine. */
    void onGiven(const SharedRequest &request, TimePoint now);
    /** Records the time from sending a request to the end of its whole answer. */
    void onAnswered(const std::string &route, Duration time) { m_slotTimes.observe(route, time); }

    /** @return how the share of its workspace affects @p request. */
    ShareState stateOf(const SharedRequest &request, TimePoint now);

    WorkspaceShares &workspaces() { return m_workspaces; }
    const WorkspaceShares &workspaces() const { return m_workspaces; }

private:
    WorkspaceShares m_workspaces;
    UrgencyMix m_mix;
    SlotTimes m_slotTimes;
};

} // namespace hawthornslip
