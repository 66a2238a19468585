#include "modules/ownership/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

std::uint64_t scoreOf(std::string_view key, const NodeId &node)
{
    const std::uint64_t seed = XXH3_64bits(node.value.data(), node.value.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace

std::vector<NodeId> rendezvousOrder(std::string_view key, const std::vector<NodeId> &nodes,
                                    std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const NodeId *>> scored;
    scored.reserve(nodes.size());
    for (const auto &it : nodes)
        scored.emplace_back(scoreOf(key, it), &it);
    // Equal scores fall back to the id, so that all nodes agree.
    const auto better = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    const std::size_t count = std::min(n, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end(), better);
    std::vector<NodeId> order;
    order.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        order.push_back(*scored[i].second);
    return order;
}

NodeId rendezvousOwner(std::string_view key, const std::vector<NodeId> &nodes)
{
    auto order = rendezvousOrder(key, nodes, 1);
    return order.empty() ? NodeId{} : std::move(order.front());
}

std::uint64_t rendezvousMember(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t member)
{
    return XXH3_64bits_withSeed(&key, sizeof key, member);
}

} // namespace hawthornslip
