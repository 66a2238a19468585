#include "modules/usage/usage_counter.h"

namespace hawthornslip {

void UsageCounter::onBegun(const std::string &workspace, std::uint64_t window)
{
    ++m_counts[window][workspace];
    while (m_counts.size() > m_times.keptWindows())
        m_counts.erase(m_counts.begin());
}

WindowCounts UsageCounter::countsFrom(std::uint64_t first) const
{
    return {m_counts.lower_bound(first), m_counts.end()};
}

} // namespace hawthornslip
