#include "modules/claims/claim_shard.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace hawthornslip {

ClaimActions ClaimShard::shardRead(std::uint64_t operation, StoreError error,
                                   const std::optional<ClaimShardData> &data, std::uint64_t version,
                                   ClaimTime time)
{
    if (m_io != Io::ReadingShard || !finish(operation))
        return {};
    ClaimActions actions;
    if (error == StoreError::NotFound) {
        m_index.load({}, 0);
    } else if (error == StoreError::None && data) {
        m_index.load(*data, version);
    } else {
        // An undecodable object may contain claims, so no claim is granted on it.
        onStoreFailure(error == StoreError::RateLimited ? error : StoreError::Unavailable, time,
                       actions);
        step(time, actions);
        return actions;
    }
    // Only a successful write resets the backoff: reads may succeed while all writes fail.
    m_loaded = true;
    m_currentAsOf = m_operationStart;
    m_storeUnavailable = false;
    step(time, actions);
    return actions;
}

ClaimActions ClaimShard::segmentRead(std::uint64_t operation, const std::string &name,
                                     StoreError error,
                                     const std::optional<std::vector<ClaimRecord>> &records,
                                     ClaimTime time)
{
    ClaimActions actions;
    if (operation != m_operation || (m_io != Io::ReadingSegments && m_io != Io::CheckingSegment))
        return actions;
    const bool read = error == StoreError::None && records;
    if (m_io == Io::CheckingSegment) {
        m_io = Io::Idle;
        segmentChecked(error, read && *records == m_index.data().open, time, actions);
        step(time, actions);
        return actions;
    }
    // A segment with fewer records than listed would free claimed keys.
    const auto &refs = m_index.data().segments;
    const bool complete = read && std::any_of(refs.begin(), refs.end(), [&](const auto &it) {
                              return it.name == name && it.records == records->size();
                          });
    if (complete) {
        m_index.addSegment(name, *records);
        if (--m_segmentsToRead > 0)
            return actions;
        m_io = Io::Idle;
    } else {
        // Records may be missing, so no claim is granted until the segment has been read.
        m_io = Io::Idle;
        onStoreFailure(error == StoreError::RateLimited ? error : StoreError::Unavailable, time,
                       actions);
    }
    step(time, actions);
    return actions;
}

ClaimActions ClaimShard::shardWritten(std::uint64_t operation, StoreError error,
                                      std::uint64_t version, ClaimTime time)
{
    if (m_io != Io::WritingShard || !finish(operation))
        return {};
    ClaimActions actions;
    if (error == StoreError::None) {
        if (m_sealed && m_sealedVersion == m_index.version())
            m_index.addSegment(m_sealed->name, m_index.data().open);
        m_index.load(std::move(m_dataInFlight), version);
        m_currentAsOf = m_operationStart;
        m_backoff = Duration(0);
        m_storeUnavailable = false;
        for (auto &it : m_expiredSegments)
            actions.emplace_back(ClearClaimSegment{std::move(it)});
    } else if (error == StoreError::Conflict || error == StoreError::NotFound) {
        m_loaded = false;
    } else {
        if (error == StoreError::Unknown)
            onWriteUnanswered();
        onStoreFailure(error, time, actions);
    }
    m_expiredSegments.clear();
    step(time, actions);
    return actions;
}

ClaimActions ClaimShard::segmentWritten(std::uint64_t operation, StoreError error, ClaimTime time)
{
    if (m_io != Io::WritingSegment || !finish(operation))
        return {};
    ClaimActions actions;
    if (error == StoreError::None) {
        m_sealedVersion = m_index.version();
    } else if (error == StoreError::Conflict || error == StoreError::Unknown) {
        // The name contains the version, so an existing segment was sealed from the same records.
        // Read it back to verify that.
        checkSegment(time, actions);
        return actions;
    } else {
        m_sealed.reset();
        onStoreFailure(error, time, actions);
    }
    step(time, actions);
    return actions;
}

std::uint64_t ClaimShard::begin(Io io, ClaimTime time)
{
    m_io = io;
    m_operationStart = time.now;
    return ++m_operation;
}

bool ClaimShard::finish(std::uint64_t operation)
{
    if (operation != m_operation)
        return false;
    m_io = Io::Idle;
    return true;
}

void ClaimShard::startRead(ClaimTime time, ClaimActions &actions)
{
    actions.emplace_back(ReadClaimShard{begin(Io::ReadingShard, time)});
    wakeAt(m_operationStart + m_options.operationTimeout, actions);
}

void ClaimShard::readMissingSegments(ClaimTime time, ClaimActions &actions)
{
    const auto missing = m_index.missingSegments();
    m_segmentsToRead = missing.size();
    const auto operation = begin(Io::ReadingSegments, time);
    for (const auto &it : missing)
        actions.emplace_back(ReadClaimSegment{operation, it});
    wakeAt(m_operationStart + m_options.operationTimeout, actions);
}

void ClaimShard::startWrite(const Changes &changes, ClaimTime time, ClaimActions &actions)
{
    ClaimShardData next = m_index.data();
    appendSealedSegment(next, next.open);
    std::unordered_map<std::string, std::size_t> indexByKey;
    for (std::size_t i = 0; i < next.open.size(); ++i)
        indexByKey[next.open[i].keyHash] = i;
    for (const auto &[key, record] : changes) {
        if (const auto it = indexByKey.find(key); it != indexByKey.end())
            next.open[it->second] = record;
        else
            next.open.push_back(record);
    }
    dropExpired(next, time);
    next.batchId = m_random();
    m_claimIdsInFlight.clear();
    for (const auto &[key, record] : changes)
        m_claimIdsInFlight.push_back(record.claimId);
    m_dataInFlight = next;
    const auto operation = begin(Io::WritingShard, time);
    actions.emplace_back(
            WriteClaimShard{operation, m_index.version(), std::move(next), changes.size()});
    wakeAt(m_operationStart + m_options.operationTimeout, actions);
}

void ClaimShard::startSeal(ClaimTime time, ClaimActions &actions)
{
    const auto &data = m_index.data();
    ClaimSegmentRef ref;
    ref.name = "claims/" + std::to_string(m_shard) + "/" + std::to_string(data.nextSegment) + "-" +
               std::to_string(m_index.version());
    ref.records = static_cast<std::uint32_t>(data.open.size());
    for (const auto &it : data.open)
        ref.newestWrittenAt = std::max(ref.newestWrittenAt, it.writtenAt);
    m_sealed = ref;
    m_sealedVersion = 0;
    actions.emplace_back(WriteClaimSegment{begin(Io::WritingSegment, time), ref.name, data.open});
    wakeAt(m_operationStart + m_options.operationTimeout, actions);
}

void ClaimShard::checkSegment(ClaimTime time, ClaimActions &actions)
{
    actions.emplace_back(ReadClaimSegment{begin(Io::CheckingSegment, time), m_sealed->name});
    wakeAt(m_operationStart + m_options.operationTimeout, actions);
}

void ClaimShard::segmentChecked(StoreError error, bool same, ClaimTime time, ClaimActions &actions)
{
    if (error != StoreError::None && error != StoreError::NotFound) {
        m_sealed.reset();
        onStoreFailure(StoreError::Unavailable, time, actions);
        return;
    }
    // Without a segment of identical contents, this version is written unsealed. The next version
    // uses another segment name.
    if (!same)
        m_sealed.reset();
    m_sealedVersion = m_index.version();
}

void ClaimShard::appendSealedSegment(ClaimShardData &next, std::vector<ClaimRecord> &open) const
{
    if (!m_sealed || m_sealedVersion != m_index.version())
        return;
    next.segments.push_back(*m_sealed);
    ++next.nextSegment;
    open.clear();
}

void ClaimShard::dropExpired(ClaimShardData &next, ClaimTime time)
{
    const auto cutoff = time.wall - m_options.retentionMillis;
    std::erase_if(next.open, [&](const auto &it) { return it.writtenAt < cutoff; });
    m_expiredSegments.clear();
    for (const auto &it : next.segments) {
        if (it.newestWrittenAt < cutoff)
            m_expiredSegments.push_back(it.name);
    }
    std::erase_if(next.segments, [&](const auto &it) { return it.newestWrittenAt < cutoff; });
}

void ClaimShard::onStoreFailure(StoreError error, ClaimTime time, ClaimActions &actions)
{
    m_backoff = m_backoff == Duration(0) ? m_options.initialBackoff
                                         : std::min(m_backoff * 2, m_options.maxBackoff);
    m_retryAt = time.now + m_backoff;
    if (error == StoreError::RateLimited)
        return;
    // After an unanswered write the object is read back at once; claims are refused only when that
    // read fails.
    if (error == StoreError::Unknown) {
        m_noWriteBefore = m_retryAt;
        m_retryAt = time.now;
        return;
    }
    m_storeUnavailable = true;
    refuseClaims(actions);
    failLookups(actions);
}

void ClaimShard::onWriteUnanswered()
{
    m_loaded = false;
    for (auto &it : m_claims) {
        if (std::find(m_claimIdsInFlight.begin(), m_claimIdsInFlight.end(), it.request.claimId) !=
            m_claimIdsInFlight.end())
            it.mayBeStored = true;
    }
}

} // namespace hawthornslip
