#include "modules/queueing/hold_queue.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

HoldQueue::HoldQueue(IsAboveShare isAboveShare)
    : m_isAboveShare(std::move(isAboveShare))
{}

HoldQueue::Ticket HoldQueue::add(const HoldRank &rank, std::function<SendResult()> trySend)
{
    const Ticket ticket = ++m_lastTicket;
    m_entries.emplace(ticket, Entry{rank, std::move(trySend)});
    return ticket;
}

void HoldQueue::remove(Ticket ticket)
{
    m_entries.erase(ticket);
}

bool HoldQueue::isAboveShare(const HoldRank &rank) const
{
    return rank.workspace != 0 && m_isAboveShare && m_isAboveShare(rank.workspace);
}

bool HoldQueue::mustYield(const HoldRank &rank) const
{
    const auto own = rank.key(true);
    return std::any_of(m_entries.begin(), m_entries.end(), [this, &own](const auto &it) {
        const HoldRank &held = it.second.rank;
        return !isAboveShare(held) && held.key(false) < own;
    });
}

std::vector<HoldQueue::Ticket> HoldQueue::order() const
{
    using Key = std::pair<decltype(HoldRank{}.key(false)), Ticket>;
    // Shares change while requests are held.
    std::vector<Key> keys;
    keys.reserve(m_entries.size());
    for (const auto &[ticket, entry] : m_entries)
        keys.emplace_back(entry.rank.key(isAboveShare(entry.rank)), ticket);
    std::sort(keys.begin(), keys.end());
    std::vector<Ticket> tickets;
    tickets.reserve(keys.size());
    for (const auto &[key, ticket] : keys)
        tickets.push_back(ticket);
    return tickets;
}

void HoldQueue::trySendAll(std::size_t maxHeld)
{
    std::size_t held = 0;
    // trySend may add and remove entries, so each entry is looked up again.
    for (const Ticket ticket : order()) {
        const auto it = m_entries.find(ticket);
        if (it == m_entries.end())
            continue;
        const auto trySend = it->second.trySend;
        if (trySend() == SendResult::Done)
            remove(ticket);
        else if (++held >= maxHeld)
            return;
    }
}

} // namespace hawthornslip
