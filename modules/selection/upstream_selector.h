#pragma once

#include "core/ids.h"
#include "modules/selection/prefix_affinity.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornslip {

/** Chooses an upstream with a free slot: one that the prefix prefers, or the least loaded. */
class UpstreamSelector
{
public:
    /** @param useAffinity whether prefixes prefer certain upstreams. */
    explicit UpstreamSelector(bool useAffinity);

    /** Sets the upstreams; all start with capacity 0. */
    void setUpstreams(const std::vector<UpstreamId> &upstreams);

    /** Sets the maximum and the current number of requests of upstream @p i. */
    void setLoad(std::size_t i, std::uint32_t capacity, std::uint32_t load);

    /**
     * @param key see PrefixAffinity::keyOf().
     * @param excluded indices that are skipped unless no other upstream has any capacity.
     * @return the index of the upstream to use, or nothing when no permitted one has a free slot.
     */
    std::optional<std::size_t> pick(std::uint64_t key, const std::vector<std::size_t> &excluded);

    /** @return the number of requests that can be started now. */
    std::uint32_t freeSlots() const { return m_freeSlots; }
    /** @return the maximum number of concurrent requests. */
    std::uint32_t totalSlots() const { return m_totalSlots; }

private:
    bool mayUse(std::size_t i, const std::vector<std::size_t> &excluded) const;
    std::optional<std::size_t> pickPreferred(std::uint64_t key,
                                             const std::vector<std::size_t> &excluded);
    std::optional<std::size_t> pickLeastLoaded(const std::vector<std::size_t> &excluded);

    bool m_useAffinity;
    PrefixAffinity m_affinity;
    // Separate arrays keep the search over all upstreams within a few cache lines.
    std::vector<std::uint32_t> m_capacity;
    std::vector<std::uint32_t> m_load;
    std::vector<float> m_utilisation;
    std::vector<std::size_t> m_preferred;
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_totalSlots = 0;
    std::uint64_t m_totalLoad = 0;
    std::size_t m_searchStart = 0;
};

} // namespace hawthornslip
