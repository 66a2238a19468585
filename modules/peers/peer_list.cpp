#include "modules/peers/peer_list.h"

#include "modules/ownership/rendezvous_hash.h"

#include <utility>

namespace hawthornslip {

namespace {

// Idle nodes report every second; a short pause can cost three reports.
constexpr Duration kUnreachableAfter = seconds(4);
// A VM restarts within a minute. One that returns later announces itself again.
constexpr Duration kRemoveAfter = seconds(90);

} // namespace

PeerList::PeerList(std::string self)
    : m_self(std::move(self))
{}

void PeerList::replaceAll(const std::vector<std::string> &addresses, TimePoint now)
{
    const auto before = std::exchange(m_lastHeard, {});
    for (const auto &address : addresses) {
        const auto it = before.find(address);
        if (address != m_self)
            m_lastHeard.emplace(address, it == before.end() ? now : it->second);
    }
}

void PeerList::add(const std::string &address, TimePoint now)
{
    if (address != m_self)
        m_lastHeard.emplace(address, now);
}

void PeerList::remove(const std::string &address)
{
    m_lastHeard.erase(address);
}

void PeerList::onHeard(const std::string &address, TimePoint now)
{
    if (const auto it = m_lastHeard.find(address); it != m_lastHeard.end())
        it->second = now;
}

std::vector<std::string> PeerList::reachable(TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, heardAt] : m_lastHeard) {
        if (now - heardAt < kUnreachableAfter)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> PeerList::peersToRemove(TimePoint now) const
{
    std::vector<NodeId> candidates = {NodeId(m_self)};
    for (auto &it : reachable(now))
        candidates.emplace_back(std::move(it));
    std::vector<std::string> lost;
    if (2 * candidates.size() <= m_lastHeard.size())
        return lost;
    for (const auto &[address, heardAt] : m_lastHeard) {
        if (now - heardAt >= kRemoveAfter && rendezvousOwner(address, candidates).value == m_self)
            lost.push_back(address);
    }
    return lost;
}

} // namespace hawthornslip
