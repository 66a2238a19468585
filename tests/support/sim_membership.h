#pragma once

#include "servers/membership/membership_source.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::test {

/** A node's view of the others that a test sets by hand. */
class SimMembership : public MembershipSource
{
public:
    const std::vector<LiveNode> &liveNodes() const override { return m_live; }
    const std::vector<NodeId> &ownerCandidates() const override { return m_candidates; }
    void subscribe(Listener listener) override { m_listeners.push_back(std::move(listener)); }

    /** Sets the live nodes and tells the subscribers. */
    void set(std::vector<LiveNode> live)
    {
        m_live = std::move(live);
        std::sort(m_live.begin(), m_live.end(),
                  [](const auto &a, const auto &b) { return a.node < b.node; });
        m_candidates.clear();
        for (const auto &it : m_live) {
            if (!it.leaving)
                m_candidates.push_back(it.node);
        }
        for (const auto &it : m_listeners)
            it();
    }

private:
    std::vector<LiveNode> m_live;
    std::vector<NodeId> m_candidates;
    std::vector<Listener> m_listeners;
};

} // namespace hawthornslip::test
