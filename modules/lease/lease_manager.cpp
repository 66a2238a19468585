#include "modules/lease/lease_manager.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

LeaseManager::LeaseManager(NodeId self, std::uint64_t incarnation, LeaseOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(options)
{}

LeaseActions LeaseManager::setWanted(bool wanted, TimePoint now)
{
    if (m_wanted == wanted)
        return {};
    m_wanted = wanted;
    m_nextCall = now;
    LeaseActions actions;
    // Stop using the lease before the release: the next holder does not wait after a release.
    m_releasing = !wanted && held(now).has_value();
    if (!wanted)
        lose(actions);
    advance(now, actions);
    return actions;
}

LeaseActions LeaseManager::read(std::uint64_t operation, StoreError error,
                                const std::optional<LeaseRecord> &record, std::uint64_t version,
                                TimePoint now)
{
    if (operation != m_operation || !m_busy || m_writing)
        return {};
    m_busy = false;
    m_nextCall = now + (m_held ? m_options.retryInterval : m_options.readInterval);
    LeaseActions actions;
    if (error == StoreError::NotFound) {
        observe({}, 0, now);
        m_nextCall = now;
    } else if (error == StoreError::None && record) {
        observe(*record, version, now);
        if (isOwn(*record) && m_attempted && *record == *m_attempted)
            confirmOwn(now, actions);
        else if (m_held && (!isOwn(*record) || record->fencing != m_held->fencing))
            lose(actions);
        if (!m_held && mayTake(now))
            m_nextCall = now;
    }
    advance(now, actions);
    return actions;
}

LeaseActions LeaseManager::written(std::uint64_t operation, StoreError error, std::uint64_t version,
                                   TimePoint now)
{
    if (operation != m_operation || !m_busy || !m_writing)
        return {};
    m_busy = false;
    m_writing = false;
    LeaseActions actions;
    // A release is not retried; without it the lease expires.
    m_releasing = false;
    if (error == StoreError::None) {
        observe(*m_attempted, version, now);
        if (isOwn(m_seen))
            confirmOwn(now, actions);
    } else if (error == StoreError::Unavailable || error == StoreError::RateLimited) {
        m_nextCall = now + m_options.retryInterval;
    } else {
        // Another node wrote, or this write got no answer and may have taken effect: read again.
        m_known = false;
        m_nextCall = now;
        if (error != StoreError::Conflict)
            m_writeAt = now + m_options.retryInterval;
    }
    advance(now, actions);
    return actions;
}

LeaseActions LeaseManager::wake(TimePoint now)
{
    LeaseActions actions;
    advance(now, actions);
    return actions;
}

std::optional<HeldLease> LeaseManager::held(TimePoint now) const
{
    if (!m_held || now >= m_held->usableUntil)
        return std::nullopt;
    return m_held;
}

void LeaseManager::advance(TimePoint now, LeaseActions &actions)
{
    checkEnd(now, actions);
    if (m_busy && now >= m_operationStart + m_options.operationTimeout) {
        m_busy = false;
        m_known = m_known && !m_writing;
        m_writing = false;
    }
    if (m_busy)
        actions.emplace_back(WakeLease{m_operationStart + m_options.operationTimeout});
    else if (now < m_nextCall)
        actions.emplace_back(WakeLease{m_nextCall});
    else
        startNextCall(now, actions);
    if (m_held)
        actions.emplace_back(WakeLease{m_held->usableUntil});
}

void LeaseManager::startNextCall(TimePoint now, LeaseActions &actions)
{
    if (m_known && now < m_writeAt)
        actions.emplace_back(WakeLease{m_writeAt});
    else if (m_releasing && m_known && isOwn(m_seen))
        startWrite({{}, 0, m_seen.fencing, m_seen.renewals + 1}, now, actions);
    else if (m_held && m_known && now < m_renewAt)
        actions.emplace_back(WakeLease{m_renewAt});
    else if (m_held && m_known)
        startWrite({m_self, m_incarnation, m_seen.fencing, m_seen.renewals + 1}, now, actions);
    else if (m_wanted && m_known && mayTake(now))
        startWrite({m_self, m_incarnation, m_seen.fencing + 1, 0}, now, actions);
    else if (m_wanted)
        startRead(now, actions);
}

void LeaseManager::checkEnd(TimePoint now, LeaseActions &actions)
{
    if (!m_held || now < m_held->usableUntil)
        return;
    lose(actions);
    // The last record read may be arbitrarily outdated.
    m_known = false;
    m_nextCall = std::min(m_nextCall, now);
}

void LeaseManager::lose(LeaseActions &actions)
{
    if (!m_held)
        return;
    actions.emplace_back(LeaseLost{m_held->fencing});
    m_held.reset();
    m_attempted.reset();
}

void LeaseManager::startRead(TimePoint now, LeaseActions &actions)
{
    m_busy = true;
    m_operationStart = now;
    actions.emplace_back(ReadLease{++m_operation});
    actions.emplace_back(WakeLease{now + m_options.operationTimeout});
}

void LeaseManager::startWrite(const LeaseRecord &record, TimePoint now, LeaseActions &actions)
{
    // A retried write of the same record may have taken effect at the first attempt.
    if (!m_attempted || *m_attempted != record)
        m_attemptedAt = now;
    m_attempted = record;
    m_busy = true;
    m_writing = true;
    m_operationStart = now;
    actions.emplace_back(WriteLease{++m_operation, m_version, record});
    actions.emplace_back(WakeLease{now + m_options.operationTimeout});
}

void LeaseManager::observe(const LeaseRecord &record, std::uint64_t version, TimePoint now)
{
    if (record != m_seen || m_version == 0)
        m_unchangedSince = now;
    m_seen = record;
    m_version = version;
    m_known = true;
}

void LeaseManager::confirmOwn(TimePoint now, LeaseActions &actions)
{
    const auto usableUntil = m_attemptedAt + m_options.duration - m_options.margin;
    m_renewAt = m_attemptedAt + m_options.renewInterval;
    m_nextCall = now;
    if (!m_wanted)
        return;
    if (m_held && m_held->fencing == m_seen.fencing) {
        m_held->usableUntil = usableUntil;
        return;
    }
    if (now >= usableUntil)
        return;
    m_held = HeldLease{m_seen.fencing, now, usableUntil};
    actions.emplace_back(LeaseAcquired{m_seen.fencing});
}

bool LeaseManager::isOwn(const LeaseRecord &record) const
{
    return record.holder == m_self && record.incarnation == m_incarnation;
}

bool LeaseManager::mayTake(TimePoint now) const
{
    // No other node acquired an expired lease of this node; acquiring it again uses a new fencing
    // token.
    if (m_seen.holder.empty() || isOwn(m_seen))
        return true;
    return now >= m_unchangedSince + m_options.duration;
}

} // namespace hawthornslip
