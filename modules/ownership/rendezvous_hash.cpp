#include "modules/ownership/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

std::uint64_t nodeWeight(std::string_view key, const NodeId &node)
{
    const std::uint64_t seed = XXH3_64bits(node.value.data(), node.value.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace

std::vector<NodeId> rendezvousOrder(std::string_view key, const std::vector<NodeId> &nodes,
                                    std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const NodeId *>> weighted;
    weighted.reserve(nodes.size());
    for (const auto &it : nodes)
        weighted.emplace_back(nodeWeight(key, it), &it);
    // Ties are broken by the id, so that all nodes agree.
    const auto better = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    const std::size_t count = std::min(n, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), better);
    std::vector<NodeId> order;
    order.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        order.push_back(*weighted[i].second);
    return order;
}

NodeId rendezvousOwner(std::string_view key, const std::vector<NodeId> &nodes)
{
    auto order = rendezvousOrder(key, nodes, 1);
    return order.empty() ? NodeId{} : std::move(order.front());
}

std::uint64_t rendezvousMemberHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t memberHash)
{
    return XXH3_64bits_withSeed(&key, sizeof key, memberHash);
}

} // namespace hawthornslip
