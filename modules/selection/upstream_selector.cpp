#include "modules/selection/upstream_selector.h"

#include <algorithm>
#include <limits>

namespace hawthornslip {

namespace {

// Bounded-load consistent hashing: a prefix uses its preferred upstream up to this multiple of the
// mean utilisation. A higher bound lets one large workspace slow down its upstream while others
// idle.
constexpr float kLoadBound = 1.25F;
constexpr std::size_t kPreferredCount = 2;
// Utilisation of an upstream without a free slot, which is never chosen.
constexpr float kFull = std::numeric_limits<float>::max();

} // namespace

UpstreamSelector::UpstreamSelector(bool useAffinity)
    : m_useAffinity(useAffinity)
{}

void UpstreamSelector::setUpstreams(const std::vector<UpstreamId> &upstreams)
{
    m_affinity.setUpstreams(upstreams);
    m_capacity.assign(upstreams.size(), 0);
    m_load.assign(upstreams.size(), 0);
    m_utilisation.assign(upstreams.size(), kFull);
    m_freeSlots = 0;
    m_totalSlots = 0;
    m_totalLoad = 0;
}

void UpstreamSelector::setLoad(std::size_t i, std::uint32_t capacity, std::uint32_t load)
{
    const auto freeOf = [](std::uint32_t slots, std::uint32_t used) {
        return slots > used ? slots - used : 0;
    };
    m_freeSlots += freeOf(capacity, load) - freeOf(m_capacity[i], m_load[i]);
    m_totalSlots += capacity - m_capacity[i];
    m_totalLoad += std::min(load, capacity);
    m_totalLoad -= std::min(m_load[i], m_capacity[i]);
    m_capacity[i] = capacity;
    m_load[i] = load;
    m_utilisation[i] =
            capacity > load ? static_cast<float>(load) / static_cast<float>(capacity) : kFull;
}

bool UpstreamSelector::mayUse(std::size_t i, const std::vector<std::size_t> &excluded) const
{
    return m_capacity[i] > m_load[i] &&
           std::find(excluded.begin(), excluded.end(), i) == excluded.end();
}

std::optional<std::size_t> UpstreamSelector::pickPreferred(std::uint64_t key,
                                                           const std::vector<std::size_t> &excluded)
{
    const auto mean = static_cast<float>(m_totalLoad) / static_cast<float>(m_totalSlots);
    m_affinity.preferred(key, kPreferredCount, m_preferred);
    for (const std::size_t it : m_preferred) {
        // The second term allows for about one request above the bound.
        const float allowed = kLoadBound * mean + 1 / static_cast<float>(m_capacity[it] + 1);
        if (mayUse(it, excluded) && m_utilisation[it] <= allowed)
            return it;
    }
    return std::nullopt;
}

std::optional<std::size_t>
UpstreamSelector::pickLeastLoaded(const std::vector<std::size_t> &excluded)
{
    const std::size_t n = m_utilisation.size();
    // Each search starts at the next index, so that equally loaded upstreams take turns.
    m_searchStart = (m_searchStart + 1) % n;
    std::size_t best = n;
    float lowest = kFull;
    const auto searchRange = [&](std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i) {
            if (m_utilisation[i] < lowest && mayUse(i, excluded)) {
                lowest = m_utilisation[i];
                best = i;
            }
        }
    };
    searchRange(m_searchStart, n);
    searchRange(0, m_searchStart);
    return best < n ? std::optional(best) : std::nullopt;
}

std::optional<std::size_t> UpstreamSelector::pick(std::uint64_t key,
                                                  const std::vector<std::size_t> &excluded)
{
    if (m_freeSlots == 0)
        return std::nullopt;
    if (m_useAffinity) {
        if (const auto preferred = pickPreferred(key, excluded))
            return preferred;
    }
    if (const auto best = pickLeastLoaded(excluded))
        return best;
    // Waiting makes sense only while a permitted upstream may free a slot.
    for (std::size_t i = 0; i < m_capacity.size(); ++i) {
        if (m_capacity[i] > 0 && std::find(excluded.begin(), excluded.end(), i) == excluded.end())
            return std::nullopt;
    }
    return pickLeastLoaded({});
}

} // namespace hawthornslip
