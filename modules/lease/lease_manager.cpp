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
    m_nextCallAt = now;
    LeaseActions actions;
    // Stop using the lease before the release: the next holder does not wait after a release.
    m_releasing = !wanted && held(now).has_value();
    if (!wanted)
        dropLease(actions);
    advance(now, actions);
    return actions;
}

LeaseActions LeaseManager::read(std::uint64_t operation, StoreError error,
                                const std::optional<LeaseRecord> &record, std::uint64_t version,
                                TimePoint now)
{
    if (operation != m_operation || !m_callInFlight || m_writeInFlight)
        return {};
    m_callInFlight = false;
    m_nextCallAt = now + (m_held ? m_options.retryInterval : m_options.readInterval);
    LeaseActions actions;
    if (error == StoreError::NotFound) {
        observe({}, 0, now);
        m_nextCallAt = now;
    } else if (error == StoreError::None && record) {
        observe(*record, version, now);
        if (isOwn(*record) && m_attemptedRecord && *record == *m_attemptedRecord)
            confirmOwnLease(now, actions);
        else if (m_held && (!isOwn(*record) || record->fencing != m_held->fencing))
            dropLease(actions);
        if (!m_held && mayAcquire(now))
            m_nextCallAt = now;
    }
    advance(now, actions);
    return actions;
}

LeaseActions LeaseManager::written(std::uint64_t operation, StoreError error, std::uint64_t version,
                                   TimePoint now)
{
    if (operation != m_operation || !m_callInFlight || !m_writeInFlight)
        return {};
    m_callInFlight = false;
    m_writeInFlight = false;
    LeaseActions actions;
    // A release is not retried; without it the lease expires.
    m_releasing = false;
    if (error == StoreError::None) {
        observe(*m_attemptedRecord, version, now);
        if (isOwn(m_lastRecord))
            confirmOwnLease(now, actions);
    } else if (error == StoreError::Unavailable || error == StoreError::RateLimited) {
        m_nextCallAt = now + m_options.retryInterval;
    } else {
        // Another node wrote, or this write got no answer and may have taken effect: read again.
        m_recordIsCurrent = false;
        m_nextCallAt = now;
        if (error != StoreError::Conflict)
            m_noWriteBefore = now + m_options.retryInterval;
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
    checkExpiry(now, actions);
    if (m_callInFlight && now >= m_operationStart + m_options.operationTimeout) {
        m_callInFlight = false;
        m_recordIsCurrent = m_recordIsCurrent && !m_writeInFlight;
        m_writeInFlight = false;
    }
    if (m_callInFlight)
        actions.emplace_back(WakeLease{m_operationStart + m_options.operationTimeout});
    else if (now < m_nextCallAt)
        actions.emplace_back(WakeLease{m_nextCallAt});
    else
        startNextCall(now, actions);
    if (m_held)
        actions.emplace_back(WakeLease{m_held->usableUntil});
}

void LeaseManager::startNextCall(TimePoint now, LeaseActions &actions)
{
    if (m_recordIsCurrent && now < m_noWriteBefore)
        actions.emplace_back(WakeLease{m_noWriteBefore});
    else if (m_releasing && m_recordIsCurrent && isOwn(m_lastRecord))
        startWrite({{}, 0, m_lastRecord.fencing, m_lastRecord.renewals + 1}, now, actions);
    else if (m_held && m_recordIsCurrent && now < m_renewAt)
        actions.emplace_back(WakeLease{m_renewAt});
    else if (m_held && m_recordIsCurrent)
        startWrite({m_self, m_incarnation, m_lastRecord.fencing, m_lastRecord.renewals + 1}, now,
                   actions);
    else if (m_wanted && m_recordIsCurrent && mayAcquire(now))
        startWrite({m_self, m_incarnation, std::max(m_lastRecord.fencing + 1, m_firstFencing), 0},
                   now, actions);
    else if (m_wanted)
        startRead(now, actions);
}

void LeaseManager::checkExpiry(TimePoint now, LeaseActions &actions)
{
    if (!m_held || now < m_held->usableUntil)
        return;
    dropLease(actions);
    // The last record read may be arbitrarily outdated.
    m_recordIsCurrent = false;
    m_nextCallAt = std::min(m_nextCallAt, now);
}

void LeaseManager::dropLease(LeaseActions &actions)
{
    if (!m_held)
        return;
    actions.emplace_back(LeaseLost{m_held->fencing});
    m_held.reset();
    m_attemptedRecord.reset();
}

void LeaseManager::startRead(TimePoint now, LeaseActions &actions)
{
    m_callInFlight = true;
    m_operationStart = now;
    actions.emplace_back(ReadLease{++m_operation});
    actions.emplace_back(WakeLease{now + m_options.operationTimeout});
}

void LeaseManager::startWrite(const LeaseRecord &record, TimePoint now, LeaseActions &actions)
{
    // A retried write of the same record may have taken effect at the first attempt.
    if (!m_attemptedRecord || *m_attemptedRecord != record)
        m_attemptedAt = now;
    m_attemptedRecord = record;
    m_callInFlight = true;
    m_writeInFlight = true;
    m_operationStart = now;
    actions.emplace_back(WriteLease{++m_operation, m_version, record});
    actions.emplace_back(WakeLease{now + m_options.operationTimeout});
}

void LeaseManager::observe(const LeaseRecord &record, std::uint64_t version, TimePoint now)
{
    if (record != m_lastRecord || m_version == 0)
        m_unchangedSince = now;
    m_lastRecord = record;
    m_version = version;
    m_recordIsCurrent = true;
}

void LeaseManager::confirmOwnLease(TimePoint now, LeaseActions &actions)
{
    const auto usableUntil = m_attemptedAt + m_options.duration - m_options.clockDriftMargin;
    m_renewAt = m_attemptedAt + m_options.renewInterval;
    m_nextCallAt = now;
    if (!m_wanted)
        return;
    if (m_held && m_held->fencing == m_lastRecord.fencing) {
        m_held->usableUntil = usableUntil;
        return;
    }
    if (now >= usableUntil)
        return;
    m_held = HeldLease{m_lastRecord.fencing, now, usableUntil};
    actions.emplace_back(LeaseAcquired{m_lastRecord.fencing});
}

bool LeaseManager::isOwn(const LeaseRecord &record) const
{
    return record.holder == m_self && record.incarnation == m_incarnation;
}

bool LeaseManager::mayAcquire(TimePoint now) const
{
    // No other node acquired an expired lease of this node; acquiring it again uses a new fencing
    // token.
    if (m_lastRecord.holder.empty() || isOwn(m_lastRecord))
        return true;
    return now >= m_unchangedSince + m_options.duration;
}

} // namespace hawthornslip
