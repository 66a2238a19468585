#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * Prefers the same upstreams for the same prompt prefix by consistent hashing, so that the caches
 * of the upstreams hold different prefixes. It keeps no record of requests: a new owner prefers the
 * same upstreams.
 */
class PrefixAffinity
{
public:
    /** Sets the upstreams; indices refer to this list. */
    void setUpstreams(const std::vector<UpstreamId> &upstreams);

    /** @return the key of @p workspace and @p prefixHash. */
    static std::uint64_t keyOf(const WorkspaceId &workspace, std::uint64_t prefixHash);

    /**
     * Walks the upstreams in the order of preference for @p key.
     *
     * @param n number of distinct upstreams wanted; fewer are given when there are fewer.
     * @param out receives their indices.
     */
    void preferred(std::uint64_t key, std::size_t n, std::vector<std::size_t> &out) const;

private:
    std::vector<std::pair<std::uint64_t, std::size_t>> m_ring;
    std::size_t m_count = 0;
};

} // namespace hawthornslip
