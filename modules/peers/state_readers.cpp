#include "modules/peers/state_readers.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::string_view kReadersKey = "state-readers";
// Longer than the pause after which a silent peer no longer counts as live, so that a lost reader
// is replaced before it is asked again.
constexpr Duration kAvoidAfterSilence = seconds(10);
// A reader refuses while it starts, or while the store is away.
constexpr Duration kAvoidAfterRefusal = seconds(2);

} // namespace

StateReaders::StateReaders(std::string self, std::size_t minNodes)
    : m_self(std::move(self))
    , m_minNodes(minNodes)
{}

std::optional<std::string> StateReaders::choose(std::vector<std::string> peers, TimePoint now)
{
    std::erase_if(m_avoidUntil, [now](const auto &it) { return it.second <= now; });
    if (peers.size() + 1 < m_minNodes)
        return std::nullopt;
    std::vector<NodeId> nodes = {NodeId(m_self)};
    for (auto &it : peers)
        nodes.emplace_back(std::move(it));
    auto readers = rendezvousOrder(kReadersKey, nodes, kReadersPerDomain);
    if (std::find(readers.begin(), readers.end(), NodeId(m_self)) != readers.end())
        return std::nullopt;
    std::erase_if(readers, [this](const auto &it) { return m_avoidUntil.contains(it.value); });
    if (readers.empty())
        return std::nullopt;
    // Distributes the other nodes over the readers.
    return rendezvousOwner(m_self, readers).value;
}

void StateReaders::onSilent(const std::string &reader, TimePoint now)
{
    m_avoidUntil[reader] = now + kAvoidAfterSilence;
}

void StateReaders::onRefused(const std::string &reader, TimePoint now)
{
    m_avoidUntil[reader] = now + kAvoidAfterRefusal;
}

} // namespace hawthornslip
