#include "modules/usage/usage_collector.h"

#include <algorithm>

namespace hawthornslip {

void UsageCollector::onCounts(const NodeId &node, std::uint64_t boot, const WindowCounts &counts)
{
    auto &known = m_counts[{node, boot}];
    for (const auto &[window, workspaces] : counts) {
        for (const auto &[workspace, n] : workspaces) {
            auto &count = known[window][workspace];
            count = std::max(count, n);
        }
    }
}

void UsageCollector::onFinal(const NodeId &node, std::uint64_t since, std::uint64_t open)
{
    FinalWindows &final = m_final[node];
    final.since = since;
    final.open = std::max(final.open, open);
}

std::uint64_t UsageCollector::firstOpen(const NodeId &node, std::uint64_t from) const
{
    const auto it = m_final.find(node);
    return it == m_final.end() ? from : std::max(from, it->second.open);
}

WindowUsage UsageCollector::sum(std::uint64_t window, const std::vector<NodeId> &nodes) const
{
    WindowUsage usage;
    for (const auto &[key, windows] : m_counts) {
        const auto found = windows.find(window);
        if (found == windows.end())
            continue;
        ++usage.parts;
        for (const auto &[workspace, n] : found->second)
            usage.counts[workspace] += n;
    }
    usage.missing = static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(),
                          [&](const NodeId &node) { return firstOpen(node, window) <= window; }));
    usage.isKnown = usage.parts > 0 ||
                    std::any_of(m_final.begin(), m_final.end(), [window](const auto &it) {
                        return it.second.since <= window && window < it.second.open;
                    });
    return usage;
}

void UsageCollector::forgetBefore(std::uint64_t window)
{
    for (auto &[key, windows] : m_counts)
        windows.erase(windows.begin(), windows.lower_bound(window));
    std::erase_if(m_counts, [](const auto &it) { return it.second.empty(); });
    std::erase_if(m_final, [window](const auto &it) { return it.second.open < window; });
}

} // namespace hawthornslip
