#include "modules/queueing/retry_delay.h"
#include "servers/gateway/exchange.h"
#include "servers/gateway/gateway.h"

#include <utility>

namespace hawthornslip {

void Exchange::admitOrHold()
{
    const bool mustYield = mustYieldToHeld();
    if (!mustYield && admit() != AdmissionDecision::Hold)
        return;
    m_ticket = m_service->holdQueue.add(
            holdRank(), [self = shared_from_this()] { return self->trySendHeld(); });
    m_gateway.scheduleHoldQueueRun(*m_service);
}

bool Exchange::mustYieldToHeld() const
{
    const TimePoint now = m_gateway.parts().loop.now();
    const std::uint32_t workspace = workspaceInShares();
    return workspace != 0 && m_service->shares.workspaces().isAboveShare(workspace, now) &&
           m_service->holdQueue.mustYield(holdRank());
}

HoldQueue::SendResult Exchange::trySendHeld()
{
    const auto ticket = std::exchange(m_ticket, 0);
    if (admit() != AdmissionDecision::Hold)
        return HoldQueue::SendResult::Done;
    m_ticket = ticket;
    return HoldQueue::SendResult::Held;
}

AdmissionDecision Exchange::admit()
{
    if (isQuarantined()) {
        fail(Reason::PromptQuarantined);
        return AdmissionDecision::Refuse;
    }
    const TimePoint now = m_gateway.parts().loop.now();
    const auto placement = m_service->balancer.place(m_demand, m_tried, now);
    if (!placement) {
        fail(m_origin ? Reason::VersionGone : Reason::NoUpstream);
        return AdmissionDecision::Refuse;
    }
    // Set before the decision, as the log line of a refusal reports the placement too.
    m_placement = *placement;
    recordAsked(now);
    const CallerWait wait{m_route->objective, m_spentBefore, now - m_arrivedAt, isTakeUp()};
    const AdmissionDecision admission =
            decideAdmission(m_demand, *placement, wait,
                            m_service->balancer.hasSentLessUrgent(m_demand.urgency, now));
    if (m_shared.workspace != 0 && !hasRoom(m_demand, *placement, wait))
        m_service->shares.workspaces().onNoRoom(now);
    if (admission == AdmissionDecision::Send)
        send(*placement);
    else if (admission == AdmissionDecision::Refuse)
        fail(Reason::DeadlineUnreachable);
    return admission;
}

std::uint32_t Exchange::workspaceInShares() const
{
    const auto &workspaces = m_table->config().workspaces;
    const bool isDivided = m_workspace != nullptr && workspaces && workspaces->size() > 1;
    return isDivided && m_demand.ownTokens > 0 ? workspaceKey(m_traits.workspace) : 0;
}

void Exchange::recordAsked(TimePoint now)
{
    if (std::exchange(m_isAskedRecorded, true))
        return;
    m_shared.workspace = workspaceInShares();
    if (m_shared.workspace == 0)
        return;
    m_shared.engineTime = m_service->shares.engineTime(m_route->name, m_demand.ownTokens,
                                                       m_service->balancer.peakPrefillRate(),
                                                       m_placement.upstream.slots);
    m_service->shares.onAsked(m_shared, m_service->balancer.size(), now);
}

bool Exchange::isQuarantined()
{
    const auto hold = m_gateway.promptGuard().check(m_traits);
    if (!hold)
        return false;
    m_quarantineLeft = hold->remaining;
    logQuarantined(*hold);
    return true;
}

HoldRank Exchange::holdRank() const
{
    HoldRank rank;
    rank.workspacePriority = m_workspace == nullptr ? 0 : m_workspace->priority;
    rank.routePriority = m_route->priority;
    rank.isLate = m_spentBefore >= m_route->objective;
    rank.dueBy = m_arrivedAt + m_route->objective - m_spentBefore;
    rank.workspace = workspaceInShares();
    return rank;
}

Duration Exchange::retryAfter(Reason reason)
{
    if (reason == Reason::PromptQuarantined)
        return m_quarantineLeft;
    const Duration left = m_route == nullptr ? seconds(1) : timeLeft();
    // Another try would end in the same way: no node can show more, or bring a version back.
    if (reason == Reason::VersionUnknown || reason == Reason::VersionGone)
        return left;
    const bool isOverload = reason == Reason::DeadlineUnreachable || reason == Reason::QueueFull;
    return isOverload ? overloadRetryDelay(left, m_gateway.random())
                      : localRefusalRetryDelay(left, m_gateway.random());
}

} // namespace hawthornslip
