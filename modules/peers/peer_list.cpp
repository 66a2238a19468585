#include "modules/peers/peer_list.h"

#include "modules/ownership/rendezvous_hash.h"

#include <utility>

namespace hawthornslip {

namespace {

// Idle nodes report every second; a short pause can cost three reports.
constexpr Duration kSilence = seconds(4);
// A VM restarts within a minute. One that returns later announces itself again.
constexpr Duration kGone = seconds(90);

} // namespace

PeerList::PeerList(std::string self)
    : m_self(std::move(self))
{}

void PeerList::replaceAll(const std::vector<std::string> &addresses, TimePoint now)
{
    const auto before = std::exchange(m_signs, {});
    for (const auto &address : addresses) {
        const auto it = before.find(address);
        if (address != m_self)
            m_signs.emplace(address, it == before.end() ? now : it->second);
    }
}

void PeerList::add(const std::string &address, TimePoint now)
{
    if (address != m_self)
        m_signs.emplace(address, now);
}

void PeerList::remove(const std::string &address)
{
    m_signs.erase(address);
}

void PeerList::onHeard(const std::string &address, TimePoint now)
{
    if (const auto it = m_signs.find(address); it != m_signs.end())
        it->second = now;
}

std::vector<std::string> PeerList::toForget(TimePoint now) const
{
    std::vector<NodeId> heard = {NodeId(m_self)};
    for (const auto &[address, sign] : m_signs) {
        if (now - sign < kSilence)
            heard.emplace_back(address);
    }
    std::vector<std::string> gone;
    if (2 * heard.size() <= m_signs.size())
        return gone;
    for (const auto &[address, sign] : m_signs) {
        if (now - sign >= kGone && rendezvousOwner(address, heard).value == m_self)
            gone.push_back(address);
    }
    return gone;
}

} // namespace hawthornslip
