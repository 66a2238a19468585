#include "modules/memory/byte_account.h"

namespace hawthornslip {

namespace {

// More than a process inside the limits of its callers has ever held.
constexpr std::uint32_t kDefaultMemoryMb = 1024;
// Time without progress that weighs as much as holding twice the bytes.
constexpr Duration kProgressTime = seconds(1);

} // namespace

ByteLimits byteLimits(std::uint32_t memoryMb)
{
    constexpr std::size_t kMiB = 1 << 20;
    const std::size_t memory = (memoryMb > 0 ? memoryMb : kDefaultMemoryMb) * kMiB;
    return {memory / 4, memory * 3 / 8, memory / 2};
}

void ByteAccount::charge(ByteHolder &holder, std::size_t bytes, TimePoint now)
{
    Entry &entry = m_entries[&holder];
    if (entry.isReclaimed)
        m_returning = m_returning - entry.bytes + bytes;
    m_total = m_total - entry.bytes + bytes;
    entry.bytes = bytes;
    entry.progressAt = now;
    if (m_total > m_limits.large)
        reclaim(now);
}

void ByteAccount::leave(ByteHolder &holder)
{
    const auto it = m_entries.find(&holder);
    if (it == m_entries.end())
        return;
    if (it->second.isReclaimed)
        m_returning -= it->second.bytes;
    m_total -= it->second.bytes;
    m_entries.erase(it);
}

bool ByteAccount::admits(std::size_t bytes) const
{
    // With little memory, the largest body may exceed the bound, but it is served when alone.
    return m_total + bytes <= m_limits.soft || m_total <= kSmallBytes;
}

void ByteAccount::reclaim(TimePoint now)
{
    while (m_total - m_returning > m_limits.large) {
        const bool isFull = m_total - m_returning > m_limits.hard;
        const auto victim = chooseVictim(isFull ? 1 : kSmallBytes + 1, now);
        if (victim == m_entries.end())
            return;
        victim->second.isReclaimed = true;
        m_returning += victim->second.bytes;
        ++m_reclaimed;
        victim->first->reclaimBytes();
    }
}

ByteAccount::Entries::iterator ByteAccount::chooseVictim(std::size_t minBytes, TimePoint now)
{
    auto victim = m_entries.end();
    double highest = 0;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const Entry &entry = it->second;
        if (entry.isReclaimed || entry.bytes < minBytes)
            continue;
        const double weight = static_cast<double>(entry.bytes) *
                              toSeconds(kProgressTime + (now - entry.progressAt));
        if (weight > highest) {
            highest = weight;
            victim = it;
        }
    }
    return victim;
}

} // namespace hawthornslip
