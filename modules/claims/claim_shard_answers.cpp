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

SendClaimReply replyTo(const ClaimCall &call, ClaimVerdict verdict, const ClaimRecord *record)
{
    if (record == nullptr)
        return {call.asker, call.claimId, verdict, {}, 0, 0, false};
    return {call.asker,         call.claimId,    verdict, record->holder,
            record->httpStatus, record->attempt, false};
}

} // namespace

void ClaimShard::settleOutcomes(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_outcomes, [&](const PendingOutcome &it) {
        const auto step = judgeOutcome(findLive(it.report.keyHash, time), it.report);
        if (step == OutcomeStep::Write)
            return false;
        if (step == OutcomeStep::Superseded) {
            if (!freshSince(it.arrivedAt))
                return false;
            if (it.report.state != ClaimState::NotRun)
                actions.emplace_back(ClaimViolation{it.report.claimId, it.report.state});
        }
        if (!it.report.reporter.empty())
            actions.emplace_back(SendOutcomeAck{it.report.reporter, it.report.claimId});
        return true;
    });
}

void ClaimShard::settleClaims(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_claims, [&](PendingClaim &it) { return settleClaim(it, time, actions); });
}

bool ClaimShard::settleClaim(PendingClaim &pending, ClaimTime time, ClaimActions &actions)
{
    const auto *record = findLive(pending.call.keyHash, time);
    const auto step = judgeClaim(record, pending.call);
    switch (step) {
    case ClaimStep::Write:
        if (!full())
            return false;
        if (!freshSince(pending.arrivedAt))
            return false;
        actions.emplace_back(replyTo(pending.call, ClaimVerdict::Full, nullptr));
        return true;
    case ClaimStep::AskHolder: {
        const auto view = holderView(pending.question, *record, time, actions);
        if (!view)
            return false;
        const auto verdict = view->known ? ClaimVerdict::InProgress : ClaimVerdict::MayHaveRun;
        actions.emplace_back(replyTo(pending.call, verdict, record));
        return true;
    }
    case ClaimStep::KeyReused:
        // Another owner may have replaced the record since this version was read.
        if (!freshSince(pending.arrivedAt))
            return false;
        break;
    default:
        break;
    }
    actions.emplace_back(replyTo(pending.call, verdictOf(step), record));
    return true;
}

void ClaimShard::settleLookups(ClaimTime time, ClaimActions &actions)
{
    std::erase_if(m_lookups, [&](PendingLookup &it) { return settleLookup(it, time, actions); });
}

bool ClaimShard::settleLookup(PendingLookup &pending, ClaimTime time, ClaimActions &actions)
{
    const auto *record = findLive(pending.lookup.keyHash, time);
    const bool ran = record != nullptr && record->state == ClaimState::Ran;
    if (!ran && !freshSince(pending.arrivedAt))
        return false;
    SendLookupReply reply{pending.lookup.asker, pending.lookup.queryId, {}, false};
    if (record != nullptr) {
        reply.record = *record;
        if (record->state == ClaimState::Claimed) {
            const auto view = holderView(pending.question, *record, time, actions);
            if (!view)
                return false;
            reply.record->state = view->known ? ClaimState::Claimed : ClaimState::MayHaveRun;
        }
    }
    actions.emplace_back(std::move(reply));
    return true;
}

std::optional<HolderView> ClaimShard::holderView(HolderQuestion &question,
                                                 const ClaimRecord &record, ClaimTime time,
                                                 ClaimActions &actions)
{
    if (question.claimId != record.claimId) {
        question = {record.claimId, time.now + m_options.holderWait, std::nullopt, {}};
        actions.emplace_back(AskClaimHolder{record.holder, record.claimId});
    }
    if (!question.view) {
        if (time.now < question.deadline) {
            wakeAt(question.deadline, actions);
            return std::nullopt;
        }
        question.view = HolderView{};
        question.answeredAt = time.now;
    }
    if (question.view->known) {
        // The outcome is being written; the reply follows from the updated record.
        if (question.view->state != ClaimState::Claimed)
            return std::nullopt;
        return question.view;
    }
    // A holder drops a claim once its outcome is stored, and this version may predate that write.
    if (!freshSince(question.answeredAt))
        return std::nullopt;
    return question.view;
}

bool ClaimShard::freshSince(TimePoint since)
{
    if (m_freshAt >= since)
        return true;
    m_refreshWanted = true;
    return false;
}

const ClaimRecord *ClaimShard::findLive(const std::string &keyHash, ClaimTime time) const
{
    const auto *record = m_base.find(keyHash);
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
        const auto *record = findLive(report.keyHash, time);
        if (judgeOutcome(record, report) != OutcomeStep::Write)
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
        if (changes.contains(it.call.keyHash)) {
            due = std::min(due, it.arrivedAt + m_options.batchWait);
            continue;
        }
        const auto *record = findLive(it.call.keyHash, time);
        if (judgeClaim(record, it.call) != ClaimStep::Write)
            continue;
        const auto attempt = record == nullptr ? 1 : record->attempt + 1;
        changes[it.call.keyHash] = {it.call.keyHash,
                                    it.call.bodyHash,
                                    it.call.claimId,
                                    it.call.asker,
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
    return m_base.recordCount() >= m_options.maxRecords;
}

} // namespace hawthornslip
