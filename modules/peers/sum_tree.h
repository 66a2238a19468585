#pragma once

#include "core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * Copies of a failure domain's sum that reach each node of another domain on different ways, so
 * that one lost node or datagram costs nobody the sum.
 */
inline constexpr std::size_t kSumCopies = 2;

/**
 * Number of nodes to which one node passes on a copy of a sum. More of them cost the node's link,
 * and fewer make the way longer, on which each lost datagram costs a larger part of the domain.
 */
inline constexpr std::size_t kSumFanOut = 3;

/**
 * The order in which the nodes of one failure domain pass on the sum of another one: a tree of
 * bounded fan-out, so that the traffic of a node does not grow with its domain. Rendezvous hashing
 * gives each source domain another tree; the second copy takes the reverse order, in which the
 * nodes that pass on the first one are the leaves.
 */
class SumTree
{
public:
    /**
     * @param source domain whose sum is passed on.
     * @param copy number of the copy, below kSumCopies.
     * @param nodes all nodes of the receiving domain that are heard.
     */
    SumTree(const FailureDomain &source, std::size_t copy, const std::vector<NodeId> &nodes);

    /** @return the node that gets the copy from the source domain; nullptr if there is none. */
    const NodeId *root() const { return m_order.empty() ? nullptr : &m_order.front(); }

    /** @return the nodes to which @p node passes the copy on. */
    std::vector<std::string> childrenOf(const NodeId &node) const;

private:
    std::vector<NodeId> m_order;
};

/**
 * Remembers the last sum of each domain that was passed on. Nodes may disagree for a moment on who
 * is heard, and so on the tree; a copy that comes again ends here in place of going round.
 */
class SumHistory
{
public:
    /** @return true when @p sequence of @p boot is later than what was passed on of this copy. */
    bool isNew(const FailureDomain &source, std::size_t copy, std::uint64_t boot,
               std::uint64_t sequence);

private:
    using Passed = std::pair<std::uint64_t, std::uint64_t>;

    std::map<FailureDomain, std::array<Passed, kSumCopies>> m_passed;
};

} // namespace hawthornslip
