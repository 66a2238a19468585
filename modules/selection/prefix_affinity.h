#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * Maps prompt prefixes to preferred upstreams by consistent hashing, so that the prefix caches of
 * the upstreams hold different prefixes. It keeps no state of requests: a new owner of the group
 * prefers the same upstreams.
 */
class PrefixAffinity
{
public:
    /** Sets the upstreams; indices refer to this list. */
    void setUpstreams(const std::vector<UpstreamId> &upstreams);

    /** @return the affinity key of a prefix in @p workspace. */
    static std::uint64_t keyOf(const WorkspaceId &workspace, std::uint64_t prefixHash);

    /**
     * Lists the upstreams in the order of preference for @p key.
     *
     * @param n maximum number of distinct upstreams.
     * @param out receives their indices.
     */
    void preferred(std::uint64_t key, std::size_t n, std::vector<std::size_t> &out) const;

private:
    std::vector<std::pair<std::uint64_t, std::size_t>> m_ring;
    std::size_t m_count = 0;
};

} // namespace hawthornslip
