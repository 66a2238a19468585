#pragma once

#include "modules/queueing/workspace_use.h"

#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * @param nameHash result of rendezvousMemberHash() for its name.
 * @return the short hash by which nodes name a workspace to each other; never 0.
 */
std::uint32_t workspaceKey(std::uint64_t nameHash);

/**
 * Fair shares of the engine time of one service between workspaces, over all nodes together.
 *
 * Handles a workspace that sends many times its usual while the service is full. Shares are
 * max-min fair with equal weights: what a workspace does not ask for is divided among the others,
 * so the shares only bind where requests wait for room, and only for workspaces that ask for more
 * than the others can leave them. Engine time is counted, not requests, since a long prompt takes
 * an engine as long as dozens of short ones.
 */
class WorkspaceShares
{
public:
    /** Records a request of @p workspace that arrived at this node. */
    void onAsked(std::uint32_t workspace, Duration engineTime, TimePoint now);

    /** Records a request of @p workspace that this node sent to an engine. */
    void onGiven(std::uint32_t workspace, Duration engineTime, TimePoint now);

    /**
     * Sets the engine time that the engines can take, in seconds per second. It bounds what is
     * divided when the nodes send more than the engines serve; without it, what was given is
     * divided.
     */
    void setRoom(double perSecond) { m_roomPerSecond = perSecond; }

    /** Records that a request found no engine with room. */
    void onNoRoom(TimePoint now);

    /**
     * Replaces the use that a peer, or the sum of a failure domain, has reported.
     *
     * @param uses empty when the sender reports none or is not heard any more.
     */
    void setPeer(const std::string &sender, const std::vector<WorkspaceUse> &uses, TimePoint now);

    /** @return true while requests of this node wait for room, or did so within the last second. */
    bool isInNeed(TimePoint now) const;

    /** @return true in need when @p workspace was given more than its share. */
    bool isAboveShare(std::uint32_t workspace, TimePoint now);

    /** @return in need, the largest uses of this node for its peers; nothing otherwise. */
    std::vector<WorkspaceUse> usesForReport(TimePoint now) const;

private:
    /** Seconds of engine time, which decay. */
    struct Use
    {
        double asked = 0;
        double given = 0;
        TimePoint at{};
    };
    struct PeerUses
    {
        std::vector<WorkspaceUse> uses;
        TimePoint at{};
    };

    Use &ownUse(std::uint32_t workspace, TimePoint now);
    void update(TimePoint now);
    void sumUp(TimePoint now);

    std::unordered_map<std::uint32_t, Use> m_own;
    std::unordered_map<std::string, PeerUses> m_peers;
    /** Sums over all nodes at m_updatedAt. */
    std::unordered_map<std::uint32_t, Use> m_sums;
    /** Engine time that each workspace may have within the window, in seconds. */
    double m_level = 0;
    double m_roomPerSecond = std::numeric_limits<double>::infinity();
    TimePoint m_updatedAt{};
    bool m_isUpdated = false;
    TimePoint m_noRoomAt{};
    bool m_hadNoRoom = false;
};

} // namespace hawthornslip
