#include "modules/claims/claim_shard.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

ClaimShard::ClaimShard(std::uint32_t shard, ClaimShardOptions options, std::uint64_t seed)
    : m_shard(shard)
    , m_options(options)
    , m_random(seed)
{}

ClaimActions ClaimShard::claim(const ClaimRequest &request, ClaimTime time)
{
    const auto repeated = std::any_of(m_claims.begin(), m_claims.end(), [&](const auto &it) {
        return it.request.claimId == request.claimId;
    });
    if (repeated)
        return advance(time);
    if (m_storeUnavailable && time.now < m_retryAt)
        return {SendClaimReply{
                request.requester, request.claimId, ClaimVerdict::StoreUnavailable, {}}};
    if (m_claims.size() >= m_options.maxPending)
        return {SendClaimReply{request.requester, request.claimId, ClaimVerdict::Full, {}}};
    m_claims.push_back({request, time.now, {}, false});
    return advance(time);
}

ClaimActions ClaimShard::outcome(const ClaimOutcomeReport &report, ClaimTime time)
{
    const auto repeated = std::any_of(m_outcomes.begin(), m_outcomes.end(), [&](const auto &it) {
        return it.report.claimId == report.claimId && it.report.state == report.state &&
               it.report.reporter == report.reporter;
    });
    // The holder retransmits a dropped report.
    if (!repeated && m_outcomes.size() < m_options.maxPending)
        m_outcomes.push_back({report, time.now});
    return advance(time);
}

ClaimActions ClaimShard::lookUp(const ClaimLookup &lookup, ClaimTime time)
{
    if (m_lookups.size() >= m_options.maxPending || (m_storeUnavailable && time.now < m_retryAt))
        return {SendLookupReply{lookup.requester, lookup.queryId, {}, true}};
    m_lookups.push_back({lookup, time.now, {}});
    return advance(time);
}

ClaimActions ClaimShard::holderAnswered(std::uint64_t claimId, const HolderView &view,
                                        ClaimTime time)
{
    const auto setView = [&](HolderQuery &query) {
        if (query.claimId != claimId || query.view)
            return;
        query.view = view;
        query.answeredAt = time.now;
    };
    std::string keyHash;
    for (auto &it : m_claims) {
        setView(it.query);
        if (it.query.claimId == claimId)
            keyHash = it.request.keyHash;
    }
    for (auto &it : m_lookups) {
        setView(it.query);
        if (it.query.claimId == claimId)
            keyHash = it.lookup.keyHash;
    }
    // The holder knows an outcome that it has not reported here yet: store it before replying.
    if (!keyHash.empty() && view.known && view.state != ClaimState::Claimed)
        return outcome({{}, claimId, keyHash, view.state, view.httpStatus}, time);
    return advance(time);
}

ClaimActions ClaimShard::wake(ClaimTime time)
{
    return advance(time);
}

bool ClaimShard::idle() const
{
    return m_io == Io::Idle && m_claims.empty() && m_outcomes.empty() && m_lookups.empty();
}

ClaimActions ClaimShard::advance(ClaimTime time)
{
    ClaimActions actions;
    // A store operation without an answer must not block the shard forever.
    if (m_io != Io::Idle && time.now >= m_operationStart + m_options.operationTimeout) {
        if (m_io == Io::WritingShard)
            onWriteUnanswered();
        m_io = Io::Idle;
        onStoreFailure(StoreError::Unknown, time, actions);
    }
    expirePending(time, actions);
    step(time, actions);
    return actions;
}

void ClaimShard::step(ClaimTime time, ClaimActions &actions)
{
    if (idle())
        return;
    if (m_io != Io::Idle) {
        wakeAt(m_operationStart + m_options.operationTimeout, actions);
        return;
    }
    if (time.now < m_retryAt) {
        wakeAt(m_retryAt, actions);
        return;
    }
    if (!m_loaded) {
        startRead(time, actions);
        return;
    }
    if (!m_index.missingSegments().empty()) {
        readMissingSegments(time, actions);
        return;
    }
    m_refreshNeeded = false;
    resolveOutcomes(time, actions);
    resolveClaims(time, actions);
    resolveLookups(time, actions);
    if (m_refreshNeeded) {
        startRead(time, actions);
        return;
    }
    TimePoint due = TimePoint::max();
    const auto changes = collectChanges(time, due);
    if (changes.empty())
        return;
    due = std::max(due, m_noWriteBefore);
    if (time.now < due)
        wakeAt(due, actions);
    else if (m_index.openBytes() > m_options.sealBytes && m_sealedVersion != m_index.version())
        startSeal(time, actions);
    else
        startWrite(changes, time, actions);
}

void ClaimShard::wakeAt(TimePoint at, ClaimActions &actions)
{
    actions.emplace_back(WakeClaimShard{at});
}

void ClaimShard::expirePending(ClaimTime time, ClaimActions &actions)
{
    const auto timedOut = [&](const auto &it) {
        return time.now >= it.arrivedAt + m_options.entryTimeout;
    };
    for (const auto &it : m_claims) {
        if (timedOut(it))
            actions.emplace_back(SendClaimReply{it.request.requester,
                                                it.request.claimId,
                                                ClaimVerdict::StoreUnavailable,
                                                {},
                                                0,
                                                0,
                                                true});
    }
    for (const auto &it : m_lookups) {
        if (timedOut(it))
            actions.emplace_back(SendLookupReply{it.lookup.requester, it.lookup.queryId, {}, true});
    }
    std::erase_if(m_claims, timedOut);
    std::erase_if(m_lookups, timedOut);
    std::erase_if(m_outcomes, timedOut);
}

void ClaimShard::refuseClaims(ClaimActions &actions)
{
    for (const auto &it : m_claims)
        actions.emplace_back(SendClaimReply{it.request.requester,
                                            it.request.claimId,
                                            ClaimVerdict::StoreUnavailable,
                                            {},
                                            0,
                                            0,
                                            it.mayBeStored});
    m_claims.clear();
}

void ClaimShard::failLookups(ClaimActions &actions)
{
    for (const auto &it : m_lookups)
        actions.emplace_back(SendLookupReply{it.lookup.requester, it.lookup.queryId, {}, true});
    m_lookups.clear();
}

} // namespace hawthornslip
