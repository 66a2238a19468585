#include "modules/peers/sum_tree.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr std::string_view kSumKey = "sum of ";

} // namespace

SumTree::SumTree(const FailureDomain &source, std::size_t copy, const std::vector<NodeId> &nodes)
    : m_order(rendezvousOrder(std::string(kSumKey) + source.value, nodes, nodes.size()))
{
    if (copy % kSumCopies != 0)
        std::reverse(m_order.begin(), m_order.end());
}

std::vector<std::string> SumTree::childrenOf(const NodeId &node) const
{
    std::vector<std::string> children;
    const auto it = std::find(m_order.begin(), m_order.end(), node);
    if (it == m_order.end())
        return children;
    const auto first = static_cast<std::size_t>(it - m_order.begin()) * kSumFanOut + 1;
    for (std::size_t i = first; i < std::min(first + kSumFanOut, m_order.size()); ++i)
        children.push_back(m_order[i].value);
    return children;
}

bool SumHistory::isNew(const FailureDomain &source, std::size_t copy, std::uint64_t boot,
                       std::uint64_t sequence)
{
    Passed &passed = m_passed[source][copy % kSumCopies];
    if (passed.first == boot && sequence <= passed.second)
        return false;
    passed = {boot, sequence};
    return true;
}

} // namespace hawthornslip
