// Part of TieredScheduler that handles granted attempts: progress, release, report, preemption.
#include "modules/admission/tiered_scheduler.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace hawthornslip {

namespace {

constexpr double kPromptTokenCost = 0.05;
constexpr double kSlotSmoothing = 0.02;
// Minimum number of tokens for a meaningful sample of the time between tokens.
constexpr std::uint32_t kMinTokens = 4;
constexpr std::uint32_t kMinAnswerTokens = 16;
// A Preempt message is repeated after this time, as it may have been lost.
constexpr Duration kPreemptRepeat = milliseconds(300);
// A younger grant that is missing from a report may have been made after the report.
constexpr Duration kReportGrace = seconds(5);
// Fraction of the releases expected in time that reduces the number of streams to preempt.
constexpr double kCountedReleaseFraction = 0.25;

// The answer of an application has no tokens and counts as one token.
std::uint32_t workOf(const ReleaseEvent &event)
{
    return event.result == ReleaseResult::Complete ? std::max(event.tokens, 1U) : event.tokens;
}

} // namespace

void TieredScheduler::recordTokenTime(GrantRecord &record, std::uint32_t tokens, TimePoint now)
{
    const std::uint32_t newTokens = tokens - record.tokens;
    const auto elapsed = now - record.progressAt;
    if (newTokens >= kMinTokens && record.sawFirstToken) {
        const Duration tokenTime = elapsed / newTokens;
        m_upstreams.observeTokenTime(record.upstream, tokenTime, record.profile->tokenTarget);
        record.sawTokenTime = true;
    }
    if (newTokens >= kMinTokens || !record.sawFirstToken) {
        record.tokens = tokens;
        record.progressAt = now;
    }
}

SchedulerActions TieredScheduler::onProgress(const ProgressEvent &event, TimePoint now)
{
    GrantRecord *record = m_grants.find(event.grant);
    if (record == nullptr || record->profile == nullptr || event.tokens <= record->tokens)
        return {};
    recordTokenTime(*record, event.tokens, now);
    if (!record->sawFirstToken && event.firstToken > Duration(0)) {
        record->sawFirstToken = true;
        estimator(*record->profile).observeFirstToken(event.firstToken);
        m_upstreams.observeFirstToken(record->upstream, event.firstToken,
                                      record->profile->firstTokenTarget);
    }
    return {};
}

void TieredScheduler::recordOutcome(const GrantRecord &record, const ReleaseEvent &event)
{
    const auto i = record.upstream;
    switch (event.result) {
    case ReleaseResult::Unused:
        return;
    case ReleaseResult::ConnectFailed:
        m_upstreams.observeFailure(i, false);
        return;
    case ReleaseResult::Failed:
        // An upstream that fails before the first token is usually overloaded.
        m_upstreams.observeFailure(i, event.tokens == 0);
        break;
    case ReleaseResult::TimedOut:
        m_upstreams.observeFailure(i, true);
        break;
    case ReleaseResult::Complete:
        m_upstreams.observeSuccess(i);
        break;
    case ReleaseResult::Cancelled:
    case ReleaseResult::Preempted:
        break;
    }
    if (record.profile == nullptr)
        return;
    ServiceEstimator &service = estimator(*record.profile);
    const std::uint32_t length = record.tokensDone + workOf(event);
    if (event.result == ReleaseResult::Complete)
        service.lengths().observe(length);
    else if (event.result == ReleaseResult::Cancelled && event.tokens > 0)
        service.lengths().observeTruncated(length);
    if (event.firstToken > Duration(0) && !record.sawFirstToken) {
        service.observeFirstToken(event.firstToken);
        m_upstreams.observeFirstToken(i, event.firstToken, record.profile->firstTokenTarget);
    }
    // Without the time to first token, the duration of an answer includes the prefill.
    if (event.tokens >= kMinAnswerTokens && event.firstToken > Duration(0) &&
        event.duration > event.firstToken) {
        const Duration tokenTime = (event.duration - event.firstToken) / (event.tokens - 1);
        service.observeTokenTime(tokenTime);
        if (!record.sawTokenTime)
            m_upstreams.observeTokenTime(i, tokenTime, record.profile->tokenTarget);
    }
}

SchedulerActions TieredScheduler::onRelease(const ReleaseEvent &event, TimePoint now)
{
    if (event.final)
        m_grants.markReleased(event.grant, now);
    if (m_grants.find(event.grant) == nullptr)
        return {};
    const GrantRecord record = m_grants.take(event.grant);
    m_upstreams.end(record.upstream, now);
    recordOutcome(record, event);
    const double prefillCost = kPromptTokenCost * (record.promptTokens + record.tokensDone);
    const double actualCost =
            event.result == ReleaseResult::Unused ? 0 : workOf(event) + prefillCost;
    queue(record.tier).adjustCharge(record.workspace, record.weight, actualCost - record.cost);
    if (workOf(event) > 0) {
        const double usedSeconds = std::max(toSeconds(now - record.since), 1e-3);
        const double smoothing = m_slotTokensPerSecond > 0 ? kSlotSmoothing : 1;
        // Work and time are averaged separately, as long answers hold their slots longer.
        m_meanSlotSeconds += smoothing * (usedSeconds - m_meanSlotSeconds);
        m_meanSlotTokens += smoothing * (actualCost - m_meanSlotTokens);
        m_slotTokensPerSecond = m_meanSlotTokens / m_meanSlotSeconds;
    }
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

void TieredScheduler::dropGrant(const GrantId &id, TimePoint now)
{
    const GrantRecord record = m_grants.take(id);
    m_upstreams.end(record.upstream, now);
}

void TieredScheduler::restoreGrant(const NodeId &node, const HeldGrantInfo &held, TimePoint now)
{
    GrantRecord record;
    record.id = held.grant;
    record.key.request = held.request.empty() ? RequestId(held.grant.value) : held.request;
    record.node = node;
    record.upstream = m_upstreams.findOrAdd(held.upstream, now);
    record.upstreamId = held.upstream;
    record.workspace = held.workspace;
    record.profile = held.profile;
    // A stream of an unknown profile may belong to tier 0.
    record.tier = held.profile ? held.profile->tier : kOrderTier;
    record.since = now - held.age;
    record.tokens = held.tokens;
    record.progressAt = now;
    record.sawFirstToken = held.tokens > 0;
    m_grants.restore(std::move(record));
    m_upstreams.start(m_upstreams.findOrAdd(held.upstream, now), now);
}

SchedulerActions TieredScheduler::onGrantReport(const GrantReportEvent &event, TimePoint now)
{
    std::unordered_set<GrantId> listed;
    for (const auto &it : event.grants) {
        listed.insert(it.grant);
        if (GrantRecord *known = m_grants.find(it.grant)) {
            if (known->profile != nullptr && it.tokens > known->tokens)
                recordTokenTime(*known, it.tokens, now);
        } else if (!m_grants.wasReleased(it.grant)) {
            restoreGrant(event.node, it, now);
        }
    }
    for (const auto &it : m_grants.heldBy(event.node)) {
        if (listed.count(it) == 0 && now - m_grants.find(it)->since > kReportGrace)
            dropGrant(it, now);
    }
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

SchedulerActions TieredScheduler::onNodeLost(const NodeId &node, TimePoint now)
{
    for (const auto &it : m_grants.heldBy(node))
        dropGrant(it, now);
    for (auto &it : m_queues)
        it.removeNode(node);
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

GrantRecord *TieredScheduler::chooseVictim()
{
    for (int tier = kTierCount - 1; tier > kOrderTier; --tier) {
        const std::size_t running = m_grants.inFlight(tier) - m_grants.preemptingCount(tier);
        if (running <= guaranteedSlots(tier))
            continue;
        if (GrantRecord *victim = m_grants.cheapestVictim(tier))
            return victim;
    }
    return nullptr;
}

void TieredScheduler::preempt(TimePoint now, SchedulerActions &actions)
{
    for (const auto &it : m_grants.preempting()) {
        GrantRecord &record = *m_grants.find(it);
        if (now - record.preemptSentAt < kPreemptRepeat)
            continue;
        record.preemptSentAt = now;
        actions.emplace_back(PreemptAction{record.id, record.node, record.profile->name});
    }
    const double slack = std::max(0.0, toSeconds(queue(kOrderTier).head()->startBy - now));
    const double expectedReleases = m_meanSlotSeconds > 0
                                            ? static_cast<double>(m_grants.size()) * slack /
                                                      m_meanSlotSeconds * kCountedReleaseFraction
                                            : 0;
    const double expectedSlots =
            static_cast<double>(m_grants.preempting().size()) + std::floor(expectedReleases);
    auto missingSlots = static_cast<double>(queue(kOrderTier).size()) - expectedSlots;
    for (; missingSlots >= 1; missingSlots -= 1) {
        GrantRecord *victim = chooseVictim();
        if (victim == nullptr)
            return;
        if (victim->tier == kOrderTier) {
            ++m_stats.orderTierViolations;
            return;
        }
        m_grants.startPreempting(*victim, now);
        ++m_stats.preemptions;
        actions.emplace_back(PreemptAction{victim->id, victim->node, victim->profile->name});
    }
}

} // namespace hawthornslip
