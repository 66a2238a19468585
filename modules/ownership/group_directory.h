#pragma once

#include "core/ids.h"
#include "core/profile.h"
#include "modules/admission/scheduler_events.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hawthornslip {

/**
 * Maps models to groups, groups to their upstreams, and groups to the nodes that own them. Models
 * with the same upstreams in a failure domain form one group under the smallest of their names,
 * as only a single owner can enforce the tiers among all requests for an upstream.
 */
class GroupDirectory
{
public:
    /**
     * Rebuilds the groups.
     *
     * @param leaving upstreams that leave although @p config does not drain them.
     */
    void setConfig(const SharedConfig &config, const std::unordered_set<UpstreamId> &leaving);

    /** Sets the nodes that may own groups. */
    void setOwnerCandidates(std::vector<NodeId> nodes);

    /** @return the owner of @p group, or an empty id when no node may own it. */
    const NodeId &ownerOf(const GroupId &group);

    /** @return the groups, one of each failure domain, with an upstream for @p model that accepts
     * work. */
    const std::vector<GroupId> &groupsOf(const ModelName &model) const;

    /** @return true when some upstream serves @p model, even one that accepts no work. */
    bool hasModel(const ModelName &model) const { return m_groupsByModel.count(model) > 0; }

    /** @return the upstreams of @p group. */
    const std::vector<UpstreamInfo> &upstreamsOf(const GroupId &group) const;

private:
    void mergeGroups();

    std::vector<NodeId> m_ownerCandidates;
    std::unordered_map<GroupId, NodeId> m_owners;
    std::unordered_map<ModelName, std::vector<GroupId>> m_groupsByModel;
    std::unordered_map<GroupId, std::vector<UpstreamInfo>> m_upstreams;
};

} // namespace hawthornslip
