#pragma once

#include "core/ids.h"
#include "modules/usage/usage_counts.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hawthornslip {

/** Counts by node and start of the node. */
using StartCounts = std::map<std::pair<NodeId, std::uint64_t>, WindowCounts>;

/** Usage of all nodes in one window. */
struct WindowUsage
{
    WorkspaceCounts counts;
    /** Starts of nodes that have contributed. */
    std::size_t parts = 0;
    /** Nodes whose counts may not be final. */
    std::size_t missing = 0;
    /** False when all nodes that counted in the window have ended before their counts were heard.
     */
    bool isKnown = false;
};

/**
 * Collects the counts of all nodes at the holder of the duty. Counts of one start of a node only
 * rise, so that messages may be lost, doubled or late; those of a node that has ended stay.
 */
class UsageCollector
{
public:
    /** Handles counts of the node @p node since its start @p boot. */
    void onCounts(const NodeId &node, std::uint64_t boot, const WindowCounts &counts);

    /**
     * Records that onCounts() has got all that @p node counted before the window @p open.
     *
     * @param since the window in which that node started to count.
     */
    void onFinal(const NodeId &node, std::uint64_t since, std::uint64_t open);

    /** @return the first window, at least @p from, whose counts of @p node may not be final. */
    std::uint64_t firstOpen(const NodeId &node, std::uint64_t from) const;

    /** @return the sum of @p window. @param nodes all nodes that are expected to contribute. */
    WindowUsage sum(std::uint64_t window, const std::vector<NodeId> &nodes) const;

    /** @return all counts that are kept. */
    const StartCounts &counts() const { return m_counts; }

    /** Drops windows before @p window. */
    void forgetBefore(std::uint64_t window);

private:
    StartCounts m_counts;
    struct FinalWindows
    {
        std::uint64_t since = 0;
        std::uint64_t open = 0;
    };

    std::map<NodeId, FinalWindows> m_final;
};

} // namespace hawthornslip
