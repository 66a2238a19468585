#include "modules/selection/prefix_affinity.h"

#include <xxhash.h>

#include <algorithm>

namespace hawthornslip {

namespace {

// With 40 virtual nodes each, the shares of the upstreams differ by about a sixth; the load bound
// of UpstreamSelector evens out the rest.
constexpr std::uint64_t kVirtualNodesPerUpstream = 40;

} // namespace

void PrefixAffinity::setUpstreams(const std::vector<UpstreamId> &upstreams)
{
    m_count = upstreams.size();
    m_ring.clear();
    m_ring.reserve(upstreams.size() * kVirtualNodesPerUpstream);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        for (std::uint64_t virtualNode = 0; virtualNode < kVirtualNodesPerUpstream; ++virtualNode) {
            const auto &text = upstreams[i].value;
            m_ring.emplace_back(XXH3_64bits_withSeed(text.data(), text.size(), virtualNode), i);
        }
    }
    std::sort(m_ring.begin(), m_ring.end());
}

std::uint64_t PrefixAffinity::keyOf(const WorkspaceId &workspace, std::uint64_t prefixHash)
{
    return XXH3_64bits_withSeed(workspace.value.data(), workspace.value.size(), prefixHash);
}

void PrefixAffinity::preferred(std::uint64_t key, std::size_t n,
                               std::vector<std::size_t> &out) const
{
    out.clear();
    const std::size_t wanted = std::min(n, m_count);
    const auto start =
            std::lower_bound(m_ring.begin(), m_ring.end(), std::pair(key, std::size_t{0}));
    auto it = static_cast<std::size_t>(start - m_ring.begin());
    for (std::size_t step = 0; out.size() < wanted && step < m_ring.size(); ++step, ++it) {
        const std::size_t index = m_ring[it % m_ring.size()].second;
        if (std::find(out.begin(), out.end(), index) == out.end())
            out.push_back(index);
    }
}

} // namespace hawthornslip
