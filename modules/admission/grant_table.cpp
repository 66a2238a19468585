#include "modules/admission/grant_table.h"

namespace hawthornslip {

namespace {

// Reports and releases of one grant may arrive this far apart and in either order.
constexpr Duration kReleasedRetention = seconds(30);
// A grant this long past its timeout is freed, as its release and the reports must be lost.
constexpr Duration kOverdueGrace = seconds(30);
constexpr Duration kUnknownProfileTimeout = seconds(600);

std::size_t indexOf(int tier)
{
    return static_cast<std::size_t>(tier);
}

} // namespace

GrantTable::GrantTable(std::string prefix)
    : m_prefix(std::move(prefix))
{}

GrantTable::VictimKey GrantTable::victimKey(const GrantRecord &record)
{
    // Resuming a stream repeats the prefill of its prompt and of the answer so far. The answers
    // of a tier grow at about the same rate, so the order by start time and prompt length does
    // not change while they run.
    const double tokenUs = static_cast<double>(record.profile->tokenTarget.count());
    const auto sinceUs = static_cast<double>(record.since.time_since_epoch().count());
    return {record.promptTokens + record.tokensDone - sinceUs / std::max(tokenUs, 1.0), record.id};
}

bool GrantTable::mayPreempt(const GrantRecord &record)
{
    return record.profile != nullptr && record.tier != kOrderTier && record.profile->resumable &&
           record.profile->idempotent && !record.preemptionExempt && !record.preempting;
}

GrantRecord &GrantTable::insert(GrantRecord record)
{
    const GrantId id = record.id;
    GrantRecord &stored = m_grants.insert_or_assign(id, std::move(record)).first->second;
    m_byAttempt[stored.key] = id;
    m_byNode[stored.node].insert(id);
    ++m_inFlight[indexOf(stored.tier)];
    if (mayPreempt(stored))
        m_victims[indexOf(stored.tier)].insert(victimKey(stored));
    return stored;
}

GrantRecord &GrantTable::add(GrantRecord record)
{
    record.id = GrantId(m_prefix + std::to_string(++m_counter));
    return insert(std::move(record));
}

GrantRecord &GrantTable::restore(GrantRecord record)
{
    return insert(std::move(record));
}

GrantRecord *GrantTable::find(const GrantId &id)
{
    const auto it = m_grants.find(id);
    return it == m_grants.end() ? nullptr : &it->second;
}

GrantRecord *GrantTable::findAttempt(const AttemptKey &key)
{
    const auto it = m_byAttempt.find(key);
    return it == m_byAttempt.end() ? nullptr : find(it->second);
}

GrantRecord GrantTable::take(const GrantId &id)
{
    const auto it = m_grants.find(id);
    GrantRecord record = std::move(it->second);
    m_grants.erase(it);
    const auto attempt = m_byAttempt.find(record.key);
    if (attempt != m_byAttempt.end() && attempt->second == id)
        m_byAttempt.erase(attempt);
    const auto node = m_byNode.find(record.node);
    node->second.erase(id);
    if (node->second.empty())
        m_byNode.erase(node);
    --m_inFlight[indexOf(record.tier)];
    if (record.preempting) {
        --m_preemptingCounts[indexOf(record.tier)];
        m_preempting.erase(id);
    } else if (mayPreempt(record)) {
        m_victims[indexOf(record.tier)].erase(victimKey(record));
    }
    return record;
}

void GrantTable::markReleased(const GrantId &id, TimePoint now)
{
    if (m_released.insert(id).second)
        m_releasedOrder.emplace_back(now, id);
}

void GrantTable::expire(TimePoint now)
{
    while (!m_releasedOrder.empty() && now - m_releasedOrder.front().first > kReleasedRetention) {
        m_released.erase(m_releasedOrder.front().second);
        m_releasedOrder.pop_front();
    }
}

std::vector<GrantId> GrantTable::heldBy(const NodeId &node) const
{
    const auto it = m_byNode.find(node);
    if (it == m_byNode.end())
        return {};
    return {it->second.begin(), it->second.end()};
}

std::vector<GrantId> GrantTable::overdue(TimePoint now) const
{
    std::vector<GrantId> found;
    for (const auto &[id, record] : m_grants) {
        const Duration longest =
                record.profile ? record.profile->totalTimeout : kUnknownProfileTimeout;
        if (now - record.since > longest + kOverdueGrace)
            found.push_back(id);
    }
    return found;
}

GrantRecord *GrantTable::cheapestVictim(int tier)
{
    const auto &victims = m_victims[indexOf(tier)];
    return victims.empty() ? nullptr : find(victims.begin()->second);
}

void GrantTable::startPreempting(GrantRecord &record, TimePoint now)
{
    m_victims[indexOf(record.tier)].erase(victimKey(record));
    record.preempting = true;
    record.preemptSentAt = now;
    m_preempting.insert(record.id);
    ++m_preemptingCounts[indexOf(record.tier)];
}

} // namespace hawthornslip
