#include "modules/queueing/hold_queue.h"

#include <utility>
#include <vector>

namespace hawthornslip {

HoldQueue::Ticket HoldQueue::add(const HoldRank &rank, std::function<SendResult()> trySend)
{
    const Ticket ticket = ++m_lastTicket;
    const Key key(rank.key(), ticket);
    m_entries.emplace(key, std::move(trySend));
    m_keys.emplace(ticket, key);
    return ticket;
}

void HoldQueue::remove(Ticket ticket)
{
    const auto it = m_keys.find(ticket);
    if (it == m_keys.end())
        return;
    m_entries.erase(it->second);
    m_keys.erase(it);
}

void HoldQueue::trySendAll(std::size_t maxHeld)
{
    // trySend may add and remove entries, so each entry is looked up again.
    std::vector<Ticket> tickets;
    tickets.reserve(m_entries.size());
    for (const auto &[key, trySend] : m_entries)
        tickets.push_back(key.second);
    std::size_t held = 0;
    for (const Ticket ticket : tickets) {
        const auto key = m_keys.find(ticket);
        if (key == m_keys.end())
            continue;
        const auto trySend = m_entries.at(key->second);
        if (trySend() == SendResult::Done)
            remove(ticket);
        else if (++held >= maxHeld)
            return;
    }
}

} // namespace hawthornslip
