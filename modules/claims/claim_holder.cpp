#include "modules/claims/claim_holder.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

ClaimHolder::ClaimHolder(ClaimHolderOptions options)
    : m_options(options)
{}

ClaimHolderActions ClaimHolder::claim(const HeldClaim &claim, TimePoint deadline, TimePoint now)
{
    if (m_held.size() >= m_options.maxHeld)
        return {AnswerClaim{claim.claimId, ClaimVerdict::Full, {}, 0}};
    ClaimHolderActions actions;
    auto &held = m_held[claim.claimId];
    held.claim = claim;
    held.deadline = deadline;
    send(held, now, actions);
    return actions;
}

ClaimHolderActions ClaimHolder::replied(const SendClaimReply &reply, TimePoint now)
{
    const auto it = m_held.find(reply.claimId);
    if (it == m_held.end()) {
        if (reply.verdict == ClaimVerdict::Granted)
            return withdrawLateGrant(reply.claimId, now);
        return {};
    }
    auto &held = it->second;
    if (held.phase != Phase::Requesting)
        return {};
    ClaimHolderActions actions;
    if (now >= held.deadline) {
        // The reply was processed after the deadline, for example after a pause of the process.
        actions.emplace_back(AnswerClaim{reply.claimId, ClaimVerdict::StoreUnavailable, {}, 0});
        report(held, ClaimState::NotRun, 0, now, actions);
        return actions;
    }
    actions.emplace_back(AnswerClaim{reply.claimId, reply.verdict, reply.holder, reply.httpStatus});
    if (reply.verdict == ClaimVerdict::Granted) {
        held.phase = Phase::Granted;
        return actions;
    }
    rememberWithdrawn(held.claim);
    const bool certainlyNotStored = held.sendCount == 1 && !reply.mayBeStored;
    if (reply.verdict == ClaimVerdict::StoreUnavailable && !certainlyNotStored)
        report(held, ClaimState::NotRun, 0, now, actions);
    else
        m_held.erase(it);
    return actions;
}

ClaimHolderActions ClaimHolder::record(std::uint64_t claimId, ClaimState state, int httpStatus,
                                       TimePoint now)
{
    ClaimHolderActions actions;
    const auto it = m_held.find(claimId);
    if (it != m_held.end() && it->second.phase == Phase::Granted)
        report(it->second, state, httpStatus, now, actions);
    return actions;
}

void ClaimHolder::outcomeStored(std::uint64_t claimId)
{
    const auto it = m_held.find(claimId);
    if (it != m_held.end() && it->second.phase == Phase::Reporting)
        m_held.erase(it);
}

ClaimHolderActions ClaimHolder::ownersChanged(TimePoint now)
{
    ClaimHolderActions actions;
    for (auto &[id, held] : m_held) {
        if (held.phase == Phase::Granted)
            continue;
        held.retransmitDelay = Duration(0);
        send(held, now, actions);
    }
    return actions;
}

ClaimHolderActions ClaimHolder::wake(TimePoint now)
{
    ClaimHolderActions actions;
    for (auto &[id, held] : m_held) {
        if (held.phase == Phase::Requesting && now >= held.deadline) {
            actions.emplace_back(AnswerClaim{id, ClaimVerdict::StoreUnavailable, {}, 0});
            report(held, ClaimState::NotRun, 0, now, actions);
        } else if (held.phase != Phase::Granted && now >= held.retransmitAt) {
            send(held, now, actions);
        }
    }
    return actions;
}

std::optional<TimePoint> ClaimHolder::nextWake() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, held] : m_held) {
        if (held.phase == Phase::Granted)
            continue;
        auto at = held.retransmitAt;
        if (held.phase == Phase::Requesting)
            at = std::min(at, held.deadline);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

HolderView ClaimHolder::view(std::uint64_t claimId) const
{
    if (const auto it = m_held.find(claimId); it != m_held.end()) {
        const auto &held = it->second;
        const bool ended = held.phase == Phase::Reporting;
        return {true, ended ? held.state : ClaimState::Claimed, held.httpStatus};
    }
    if (m_withdrawn.contains(claimId))
        return {true, ClaimState::NotRun, 0};
    return {};
}

void ClaimHolder::send(Held &held, TimePoint now, ClaimHolderActions &actions)
{
    held.retransmitDelay =
            held.retransmitDelay == Duration(0)
                    ? m_options.initialRetransmitDelay
                    : std::min(held.retransmitDelay * 2, m_options.maxRetransmitDelay);
    held.retransmitAt = now + held.retransmitDelay;
    ++held.sendCount;
    if (held.phase == Phase::Requesting)
        actions.emplace_back(SendClaim{held.claim});
    else
        actions.emplace_back(SendOutcome{held.claim, held.state, held.httpStatus});
}

void ClaimHolder::report(Held &held, ClaimState state, int httpStatus, TimePoint now,
                         ClaimHolderActions &actions)
{
    held.phase = Phase::Reporting;
    held.state = state;
    held.httpStatus = httpStatus;
    held.retransmitDelay = Duration(0);
    if (state == ClaimState::NotRun)
        rememberWithdrawn(held.claim);
    send(held, now, actions);
}

void ClaimHolder::rememberWithdrawn(const HeldClaim &claim)
{
    if (!m_withdrawn.emplace(claim.claimId, claim).second)
        return;
    m_withdrawnOrder.push_back(claim.claimId);
    if (m_withdrawnOrder.size() > m_options.maxWithdrawn) {
        m_withdrawn.erase(m_withdrawnOrder.front());
        m_withdrawnOrder.pop_front();
    }
}

ClaimHolderActions ClaimHolder::withdrawLateGrant(std::uint64_t claimId, TimePoint now)
{
    ClaimHolderActions actions;
    // An unknown claim may belong to an earlier incarnation that did send its request.
    const auto it = m_withdrawn.find(claimId);
    if (it == m_withdrawn.end())
        return actions;
    auto &held = m_held[claimId];
    held.claim = it->second;
    report(held, ClaimState::NotRun, 0, now, actions);
    return actions;
}

} // namespace hawthornslip
