#include "modules/claims/claim_shard.h"

#include <algorithm>

namespace hawthornslip {

namespace {

ClaimVerdict verdictOf(ClaimStep step)
{
    switch (step) {
    case ClaimStep::Grant:
        return ClaimVerdict::Granted;
    case ClaimStep::Ran:
        return ClaimVerdict::Ran;
    case ClaimStep::KeyReused:
        return ClaimVerdict::KeyReused;
    case ClaimStep::MayHaveRun:
        return ClaimVerdict::MayHaveRun;
    default:
        return ClaimVerdict::StoreUnavailable;
    }
}

SendClaimReply replyTo(const ClaimRequest &request, ClaimVerdict verdict, const ClaimRecord *record)
{
    if (record == nullptr)
        return {request.requester, request.claimId, verdict, {}, 0, 0, false};
    return {request.requester,  request.claimId, verdict, record->holder,
            record->httpStatus, record->attempt, false};
}

} // namespace

void ClaimShard::resolveOutcomes(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_outcomes, [&](const PendingOutcome &it) {
        const auto step = nextOutcomeStep(findUnexpired(it.report.keyHash, time), it.report);
        if (step == OutcomeStep::Write)
            return false;
        if (step == OutcomeStep::Superseded) {
            if (!requireFreshSince(it.arrivedAt))
                return false;
            if (it.report.state != ClaimState::NotRun)
                actions.emplace_back(ClaimViolation{it.report.claimId, it.report.state});
        }
        if (!it.report.reporter.empty())
            actions.emplace_back(SendOutcomeAck{it.report.reporter, it.report.claimId});
        return true;
    });
}

void ClaimShard::resolveClaims(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_claims, [&](PendingClaim &it) { return resolveClaim(it, time, actions); });
}

bool ClaimShard::resolveClaim(PendingClaim &pending, ClaimTime time, ClaimActions &actions)
{
    const auto *record = findUnexpired(pending.request.keyHash, time);
    const auto step = nextClaimStep(record, pending.request);
    switch (step) {
    case ClaimStep::Write:
        if (!full())
            return false;
        if (!requireFreshSince(pending.arrivedAt))
            return false;
        actions.emplace_back(replyTo(pending.request, ClaimVerdict::Full, nullptr));
        return true;
    case ClaimStep::QueryHolder: {
        const auto view = holderView(pending.query, *record, time, actions);
        if (!view)
            return false;
        const auto verdict = view->known ? ClaimVerdict::InProgress : ClaimVerdict::MayHaveRun;
        actions.emplace_back(replyTo(pending.request, verdict, record));
        return true;
    }
    case ClaimStep::KeyReused:
        // Another owner may have replaced the record since this version was read.
        if (!requireFreshSince(pending.arrivedAt))
            return false;
        break;
    default:
        break;
    }
    actions.emplace_back(replyTo(pending.request, verdictOf(step), record));
    return true;
}

void ClaimShard::resolveLookups(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_lookups, [&](PendingLookup &it) { return resolveLookup(it, time, actions); });
}

bool ClaimShard::resolveLookup(PendingLookup &pending, ClaimTime time, ClaimActions &actions)
{
    const auto *record = findUnexpired(pending.lookup.keyHash, time);
    const bool ran = record != nullptr && record->state == ClaimState::Ran;
    if (!ran && !requireFreshSince(pending.arrivedAt))
        return false;
    SendLookupReply reply{pending.lookup.requester, pending.lookup.queryId, {}, false};
    if (record != nullptr) {
        reply.record = *record;
        if (record->state == ClaimState::Claimed) {
            const auto view = holderView(pending.query, *record, time, actions);
            if (!view)
                return false;
            reply.record->state = view->known ? ClaimState::Claimed : ClaimState::MayHaveRun;
        }
    }
    actions.emplace_back(std::move(reply));
    return true;
}

std::optional<HolderView> ClaimShard::holderView(HolderQuery &query, const ClaimRecord &record,
                                                 ClaimTime time, ClaimActions &actions)
{
    if (query.claimId != record.claimId) {
        query = {record.claimId, time.now + m_options.holderTimeout, std::nullopt, {}};
        actions.emplace_back(QueryClaimHolder{record.holder, record.claimId});
    }
    if (!query.view) {
        if (time.now < query.deadline) {
            wakeAt(query.deadline, actions);
            return std::nullopt;
        }
        query.view = HolderView{};
        query.answeredAt = time.now;
    }
    if (query.view->known) {
        // The outcome is being written; the reply follows from the updated record.
        if (query.view->state != ClaimState::Claimed)
            return std::nullopt;
        return query.view;
    }
    // A holder drops a claim once its outcome is stored, and this version may predate that write.
    if (!requireFreshSince(query.answeredAt))
        return std::nullopt;
    return query.view;
}

bool ClaimShard::requireFreshSince(TimePoint since)
{
    if (m_currentAsOf >= since)
        return true;
    m_refreshNeeded = true;
    return false;
}

const ClaimRecord *ClaimShard::findUnexpired(const std::string &keyHash, ClaimTime time) const
{
    const auto *record = m_index.find(keyHash);
    if (record == nullptr || record->writtenAt < time.wall - m_options.retentionMillis)
        return nullptr;
    return record;
}

ClaimShard::Changes ClaimShard::collectChanges(ClaimTime time, TimePoint &due)
{
    Changes changes;
    for (const auto &it : m_outcomes) {
        if (changes.size() >= m_options.maxBatch)
            break;
        const auto &report = it.report;
        if (changes.contains(report.keyHash))
            continue;
        const auto *record = findUnexpired(report.keyHash, time);
        if (nextOutcomeStep(record, report) != OutcomeStep::Write)
            continue;
        ClaimRecord next = record == nullptr ? ClaimRecord{} : *record;
        next.keyHash = report.keyHash;
        next.claimId = report.claimId;
        if (record == nullptr)
            next.holder = report.reporter;
        next.state = report.state;
        next.httpStatus = report.httpStatus;
        next.writtenAt = time.wall;
        changes[report.keyHash] = next;
        due = std::min(due, it.arrivedAt + m_options.outcomeWait);
    }
    for (const auto &it : m_claims) {
        if (changes.size() >= m_options.maxBatch)
            break;
        // One change per key and write: a later claim is decided on the result of this write.
        if (changes.contains(it.request.keyHash)) {
            due = std::min(due, it.arrivedAt + m_options.batchWait);
            continue;
        }
        const auto *record = findUnexpired(it.request.keyHash, time);
        if (nextClaimStep(record, it.request) != ClaimStep::Write)
            continue;
        const auto attempt = record == nullptr ? 1 : record->attempt + 1;
        changes[it.request.keyHash] = {it.request.keyHash,
                                       it.request.bodyHash,
                                       it.request.claimId,
                                       it.request.requester,
                                       attempt,
                                       ClaimState::Claimed,
                                       0,
                                       time.wall};
        due = std::min(due, it.arrivedAt + m_options.batchWait);
    }
    return changes;
}

bool ClaimShard::full() const
{
    return m_index.recordCount() >= m_options.maxRecords;
}

} // namespace hawthornslip
