#include "modules/ownership/group_directory.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

void GroupDirectory::setConfig(const SharedConfig &config,
                               const std::unordered_set<UpstreamId> &leaving)
{
    m_domains.clear();
    m_upstreams.clear();
    for (const auto &upstream : config.upstreams) {
        const bool accepts =
                upstream.state == UpstreamState::Active && leaving.count(upstream.id) == 0;
        for (const auto &model : upstream.models) {
            m_upstreams[{model, upstream.domain}].push_back(
                    {upstream.id, accepts, upstream.maxConcurrency});
            auto &domains = m_domains[model];
            if (accepts &&
                std::find(domains.begin(), domains.end(), upstream.domain) == domains.end())
                domains.push_back(upstream.domain);
        }
    }
}

void GroupDirectory::setOwnerCandidates(std::vector<NodeId> nodes)
{
    m_candidates = std::move(nodes);
    m_owners.clear();
}

const NodeId &GroupDirectory::ownerOf(const GroupId &group)
{
    const auto [it, isNew] = m_owners.try_emplace(group);
    if (isNew)
        it->second = rendezvousOwner(group.toString(), m_candidates);
    return it->second;
}

const std::vector<FailureDomain> &GroupDirectory::domainsOf(const ModelName &model) const
{
    static const std::vector<FailureDomain> kNone;
    const auto it = m_domains.find(model);
    return it == m_domains.end() ? kNone : it->second;
}

const std::vector<UpstreamInfo> &GroupDirectory::upstreamsOf(const GroupId &group) const
{
    static const std::vector<UpstreamInfo> kNone;
    const auto it = m_upstreams.find(group);
    return it == m_upstreams.end() ? kNone : it->second;
}

} // namespace hawthornslip
