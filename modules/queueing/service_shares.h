#pragma once

#include "modules/queueing/engine_room.h"
#include "modules/queueing/slot_times.h"
#include "modules/queueing/workspace_shares.h"

#include <string>

namespace hawthornslip {

/** A request as seen by ServiceShares. */
struct SharedRequest
{
    /** Result of workspaceKey(); 0 when requests are not divided between workspaces. */
    std::uint32_t workspace = 0;
    EngineTime engineTime;
};

/**
 * Fair shares of one service: what its requests take of the engines, and which workspaces are above
 * their share. Nothing is divided unless requests name different workspaces.
 */
class ServiceShares
{
public:
    /**
     * @param ownTokens prompt tokens after the shared prefix.
     * @param prefillRate tokens per second that an engine prefills.
     * @param slots requests that an engine runs at once.
     * @return the engine time that a request is expected to take.
     */
    EngineTime engineTime(const std::string &route, double ownTokens, double prefillRate,
                          std::uint32_t slots) const;

    /**
     * Records a request that arrived.
     *
     * @param engines number of engines of the service.
     */
    void onAsked(const SharedRequest &request, std::size_t engines, TimePoint now);
    /** Records that it was sent to an engine. */
    void onGiven(const SharedRequest &request, TimePoint now);
    /** Records the time from sending a request to the end of its whole answer. */
    void onAnswered(const std::string &route, Duration time) { m_slotTimes.observe(route, time); }

    WorkspaceShares &workspaces() { return m_workspaces; }
    const WorkspaceShares &workspaces() const { return m_workspaces; }

private:
    WorkspaceShares m_workspaces;
    EngineRoom m_room;
    SlotTimes m_slotTimes;
};

} // namespace hawthornslip
