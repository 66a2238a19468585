#include "modules/ownership/group_directory.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hawthornslip {

void GroupDirectory::setConfig(const SharedConfig &config,
                               const std::unordered_set<UpstreamId> &leaving)
{
    m_groupsByModel.clear();
    m_upstreams.clear();
    for (const auto &upstream : config.upstreams) {
        const bool accepts =
                upstream.state == UpstreamState::Active && leaving.count(upstream.id) == 0;
        for (const auto &model : upstream.models) {
            const GroupId group{model, upstream.domain};
            m_upstreams[group].push_back({upstream.id, accepts, upstream.maxConcurrency});
            auto &groups = m_groupsByModel[model];
            if (accepts && std::find(groups.begin(), groups.end(), group) == groups.end())
                groups.push_back(group);
        }
    }
    mergeGroups();
}

void GroupDirectory::mergeGroups()
{
    std::map<std::set<UpstreamId>, GroupId> names;
    std::unordered_map<GroupId, const GroupId *> merged;
    for (const auto &[group, upstreams] : m_upstreams) {
        std::set<UpstreamId> ids;
        for (const auto &it : upstreams)
            ids.insert(it.id);
        GroupId &name = names.try_emplace(std::move(ids), group).first->second;
        name = std::min(name, group);
        merged[group] = &name;
    }
    for (auto &[model, groups] : m_groupsByModel) {
        for (auto &it : groups)
            it = *merged.at(it);
    }
}

void GroupDirectory::setOwnerCandidates(std::vector<NodeId> nodes)
{
    m_ownerCandidates = std::move(nodes);
    m_owners.clear();
}

const NodeId &GroupDirectory::ownerOf(const GroupId &group)
{
    const auto [it, isNew] = m_owners.try_emplace(group);
    if (isNew)
        it->second = rendezvousOwner(group.toString(), m_ownerCandidates);
    return it->second;
}

const std::vector<GroupId> &GroupDirectory::groupsOf(const ModelName &model) const
{
    static const std::vector<GroupId> kNone;
    const auto it = m_groupsByModel.find(model);
    return it == m_groupsByModel.end() ? kNone : it->second;
}

const std::vector<UpstreamInfo> &GroupDirectory::upstreamsOf(const GroupId &group) const
{
    static const std::vector<UpstreamInfo> kNone;
    const auto it = m_upstreams.find(group);
    return it == m_upstreams.end() ? kNone : it->second;
}

} // namespace hawthornslip
