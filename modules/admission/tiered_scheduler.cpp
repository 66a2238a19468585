#include "modules/admission/tiered_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornslip {

namespace {

// Prefill cost of a prompt token relative to the cost of generating a token.
constexpr double kPromptTokenCost = 0.05;
// A request is worth starting if it meets its first-token target with this probability.
constexpr double kFirstTokenQuantile = 0.75;
// Answer lengths up to this quantile must fit before the deadline; a later answer is wasted work.
constexpr double kLengthQuantile = 0.7;
// A tier with demand gets a slot after this time regardless of the other tiers (invariant I2).
constexpr Duration kStarvationTimeout = seconds(5);
// Number of workspaces tried when the request of the first one cannot use the free upstreams.
constexpr std::size_t kMaxWorkspacesTried = 8;
constexpr Duration kExpireInterval = seconds(5);
constexpr Duration kMaxExpectedWait = seconds(3600);

} // namespace

TieredScheduler::TieredScheduler(const SchedulerOptions &options)
    : m_options(options)
    , m_upstreams(options)
    , m_grants(options.grantPrefix)
    , m_queues{FairQueue(options.fairness), FairQueue(options.fairness),
               FairQueue(options.fairness)}
{}

ServiceEstimator &TieredScheduler::estimator(const Profile &profile)
{
    return m_estimators.try_emplace(profile.name, profile).first->second;
}

QueuedRequest TieredScheduler::makeQueuedRequest(const AdmissionRequestEvent &event, TimePoint now)
{
    const Profile &profile = *event.profile;
    const ServiceEstimator &service = estimator(profile);
    const double tokens = service.lengths().meanRemaining(event.tokensDone);
    QueuedRequest item;
    item.enqueued = now;
    item.deadline = now + event.remaining;
    item.cost = std::max(1.0, tokens + kPromptTokenCost * (event.promptTokens + event.tokensDone));
    item.affinity = PrefixAffinity::keyOf(event.workspace, event.prefixHash);
    if (event.tokensDone > 0) {
        // The caller of a resumed stream is already waiting for its next token.
        item.startBy = now;
        item.refuseAfter = item.deadline;
    } else {
        const double answerTokens = service.lengths().remaining(kLengthQuantile);
        const auto answerDuration =
                service.firstToken(0.5) +
                Duration(static_cast<std::int64_t>(
                        answerTokens * static_cast<double>(service.tokenTime().count())));
        // Capped, as an estimate from a slow period that refused all requests would never be
        // corrected.
        const auto firstToken =
                std::min(service.firstToken(kFirstTokenQuantile), profile.firstTokenTarget / 2);
        item.startBy = std::min(now + profile.firstTokenTarget - event.waited - firstToken,
                                item.deadline - answerDuration);
        const bool mayBeRefused = profile.tier != kOrderTier && m_options.earlyRefusal;
        item.refuseAfter = mayBeRefused ? item.startBy : item.deadline;
    }
    item.admissionRequest = event;
    return item;
}

double TieredScheduler::slotsFor(int tier) const
{
    const double total = m_upstreams.totalSlots();
    if (tier == kOrderTier)
        return total;
    const double taken =
            static_cast<double>(m_grants.inFlight(kOrderTier) + queue(kOrderTier).size());
    const double rest = std::max(0.0, total - taken);
    const double lowest = std::max(rest / (m_options.middleTierWeight + 1),
                                   static_cast<double>(guaranteedSlots(kTierCount - 1)));
    const bool lowestWaits = !queue(kTierCount - 1).empty();
    const bool middleWaits = !queue(kTierCount - 2).empty();
    if (tier == kTierCount - 1)
        return middleWaits ? std::min(total, lowest) : std::max(rest, lowest);
    return lowestWaits ? std::max(0.0, rest - lowest) : rest;
}

Duration TieredScheduler::expectedWait(int tier, double workAhead) const
{
    if (m_upstreams.freeSlots() > 0 && queue(tier).empty())
        return Duration(0);
    if (m_slotTokensPerSecond <= 0)
        return Duration(0);
    const double slots = slotsFor(tier);
    if (slots <= 0)
        return kMaxExpectedWait;
    // Without work ahead, the wait is half the mean interval between releases of the tier's
    // slots.
    const double next = m_meanSlotSeconds / slots / 2;
    const double wait = std::min(next + workAhead / (slots * m_slotTokensPerSecond),
                                 toSeconds(kMaxExpectedWait));
    return Duration(static_cast<std::int64_t>(wait * 1e6));
}

std::optional<RefuseAction> TieredScheduler::refusalOnArrival(const QueuedRequest &item,
                                                              TimePoint now)
{
    const AdmissionRequestEvent &admissionRequest = item.admissionRequest;
    const int tier = admissionRequest.profile->tier;
    const auto refusal = [&](Reason reason, Duration retryAfter) {
        return RefuseAction{admissionRequest.key, admissionRequest.node, reason, retryAfter};
    };
    if (!m_upstreams.anyAccepts())
        return refusal(Reason::NoUpstream, seconds(1));
    if (queue(tier).size() >= m_options.queueBound)
        return refusal(Reason::QueueFull, expectedWait(tier, queue(tier).totalCost()));
    if (item.deadline <= now)
        return refusal(Reason::DeadlineExceeded, Duration(0));
    if (tier == kOrderTier || admissionRequest.tokensDone > 0 || !m_options.earlyRefusal ||
        isStarving(tier, now))
        return std::nullopt;
    const auto wait = expectedWait(tier, queue(tier).workAhead(admissionRequest.workspace,
                                                               admissionRequest.workspaceWeight,
                                                               item.startBy));
    if (now + wait > item.startBy)
        return refusal(Reason::DeadlineUnreachable, wait);
    return std::nullopt;
}

SchedulerActions TieredScheduler::onAdmissionRequest(const AdmissionRequestEvent &event,
                                                     TimePoint now)
{
    SchedulerActions actions;
    if (const GrantRecord *held = m_grants.findAttempt(event.key)) {
        actions.emplace_back(GrantAction{event.key, event.node, held->id, held->upstreamId, true});
        return actions;
    }
    const int tier = event.profile->tier;
    if (queue(tier).contains(event.key))
        return actions;
    QueuedRequest item = makeQueuedRequest(event, now);
    auto &unserved = m_unservedSince[static_cast<std::size_t>(tier)];
    if (!unserved)
        unserved = now;
    if (auto refusal = refusalOnArrival(item, now)) {
        ++m_stats.refusals;
        actions.emplace_back(std::move(*refusal));
        return actions;
    }
    queue(tier).push(std::move(item));
    dispatch(now, actions);
    return actions;
}

SchedulerActions TieredScheduler::onCancel(const RequestId &request, TimePoint now)
{
    SchedulerActions actions;
    for (auto &it : m_queues)
        it.removeRequest(request);
    dispatch(now, actions);
    return actions;
}

bool TieredScheduler::isStarving(int tier, TimePoint now) const
{
    const auto &since = m_unservedSince[static_cast<std::size_t>(tier)];
    return since && now - *since > kStarvationTimeout;
}

std::size_t TieredScheduler::guaranteedSlots(int tier) const
{
    if (tier != kTierCount - 1)
        return 0;
    return static_cast<std::size_t>(m_options.lowestTierShare * m_upstreams.totalSlots());
}

bool TieredScheduler::orderTierCanWait(TimePoint now) const
{
    const QueuedRequest *first = queue(kOrderTier).head();
    if (first == nullptr)
        return true;
    const double releasesPerSecond =
            m_meanSlotSeconds > 0 ? static_cast<double>(m_grants.size()) / m_meanSlotSeconds : 0;
    const double slack = toSeconds(first->startBy - now);
    return releasesPerSecond * slack > static_cast<double>(queue(kOrderTier).size() + 1);
}

std::optional<int> TieredScheduler::nextTier(const std::array<bool, kTierCount> &blocked,
                                             TimePoint now) const
{
    const auto waits = [&](int tier) {
        return !queue(tier).empty() && !blocked[static_cast<std::size_t>(tier)];
    };
    for (int tier = kTierCount - 1; tier > kOrderTier; --tier) {
        if (waits(tier) && isStarving(tier, now))
            return tier;
    }
    constexpr int kMiddle = 1;
    constexpr int kLowest = kTierCount - 1;
    const bool lowestBelowGuarantee =
            waits(kLowest) && m_grants.inFlight(kLowest) < guaranteedSlots(kLowest);
    // The guaranteed slots are taken from tier 1 first: while it holds slots, tier 0 has
    // precedence.
    if (lowestBelowGuarantee &&
        (!waits(kOrderTier) || (m_grants.inFlight(kMiddle) == 0 && orderTierCanWait(now))))
        return kLowest;
    if (waits(kOrderTier))
        return kOrderTier;
    if (!waits(kMiddle) || !waits(kLowest)) {
        if (waits(kMiddle))
            return kMiddle;
        return waits(kLowest) ? std::optional(kLowest) : std::nullopt;
    }
    const auto middle = static_cast<double>(m_grants.inFlight(kMiddle));
    const auto lowest = static_cast<double>(m_grants.inFlight(kLowest));
    return middle <= lowest * m_options.middleTierWeight ? kMiddle : kLowest;
}

void TieredScheduler::dispatch(TimePoint now, SchedulerActions &actions)
{
    std::array<bool, kTierCount> blocked{};
    while (m_upstreams.freeSlots() > 0) {
        const auto tier = nextTier(blocked, now);
        if (!tier)
            break;
        if (!grantFrom(*tier, now, actions))
            blocked[static_cast<std::size_t>(*tier)] = true;
    }
    if (m_options.preemption && !queue(kOrderTier).empty() && m_upstreams.freeSlots() == 0)
        preempt(now, actions);
}

std::size_t TieredScheduler::firstTimelyWorkspace(int tier, TimePoint now) const
{
    // Late requests of lower tiers are refused, except for resumed streams, which go first.
    if (tier != kOrderTier)
        return 0;
    for (std::size_t n = 0; n < kMaxWorkspacesTried; ++n) {
        const QueuedRequest *item = queue(tier).timelyHead(n, now);
        if (item == nullptr)
            break;
        if (item->startBy >= now)
            return n;
    }
    return 0;
}

bool TieredScheduler::grantFrom(int tier, TimePoint now, SchedulerActions &actions)
{
    std::vector<std::size_t> excluded;
    const std::size_t first = firstTimelyWorkspace(tier, now);
    for (std::size_t n = 0; n < kMaxWorkspacesTried; ++n) {
        // Swaps the preferred workspace with the first one.
        const std::size_t position = n == 0 ? first : n == first ? 0 : n;
        const QueuedRequest *item = tier == kOrderTier ? queue(tier).timelyHead(position, now)
                                                       : queue(tier).head(position);
        if (item == nullptr)
            return false;
        if (item->deadline <= now || (item->refuseAfter <= now && !isStarving(tier, now))) {
            const auto taken = queue(tier).remove(item->admissionRequest.key);
            refuse(*taken,
                   taken->deadline <= now ? Reason::DeadlineExceeded : Reason::DeadlineUnreachable,
                   now, actions);
            return true;
        }
        excluded.clear();
        for (const auto &it : item->admissionRequest.excluded) {
            if (const auto i = m_upstreams.find(it))
                excluded.push_back(*i);
        }
        // Requests of lower tiers probe an upstream that returns from ejection; tier 0 avoids it
        // unless it is late.
        if (tier == kOrderTier && orderTierCanWait(now))
            m_upstreams.addReturning(excluded, now);
        if (const auto upstream = m_upstreams.pick(item->affinity, excluded)) {
            grant(tier, item->admissionRequest.key, *upstream, now, actions);
            return true;
        }
    }
    return false;
}

void TieredScheduler::grant(int tier, AttemptKey key, std::size_t upstream, TimePoint now,
                            SchedulerActions &actions)
{
    const bool starved = isStarving(tier, now);
    // Giving a free slot to a lower tier while tier 0 is late violates invariant I1, unless that
    // tier is starving.
    if (tier != kOrderTier && !starved && !queue(kOrderTier).empty() && !orderTierCanWait(now) &&
        queue(kOrderTier).head()->admissionRequest.excluded.empty())
        ++m_stats.orderTierViolations;
    QueuedRequest item = queue(tier).take(key);
    m_unservedSince[static_cast<std::size_t>(tier)] =
            queue(tier).empty() ? std::nullopt : std::optional(now);
    GrantRecord record;
    record.key = std::move(key);
    record.node = item.admissionRequest.node;
    record.upstream = upstream;
    record.upstreamId = m_upstreams.idOf(upstream);
    record.workspace = item.admissionRequest.workspace;
    record.weight = item.admissionRequest.workspaceWeight;
    record.profile = item.admissionRequest.profile;
    record.tier = tier;
    record.since = now;
    record.promptTokens = item.admissionRequest.promptTokens;
    record.tokensDone = item.admissionRequest.tokensDone;
    record.cost = item.cost;
    record.progressAt = now;
    record.preemptionExempt = starved;
    const GrantRecord &stored = m_grants.add(std::move(record));
    m_upstreams.start(upstream, now);
    ++m_stats.grants;
    actions.emplace_back(GrantAction{stored.key, stored.node, stored.id, stored.upstreamId, false});
}

void TieredScheduler::refuse(const QueuedRequest &item, Reason reason, TimePoint now,
                             SchedulerActions &actions)
{
    const int tier = item.admissionRequest.profile->tier;
    // A tier-0 request may be refused only after its own deadline has passed.
    if (tier == kOrderTier && (reason != Reason::DeadlineExceeded || item.deadline > now))
        ++m_stats.orderTierViolations;
    ++m_stats.refusals;
    const auto wait = expectedWait(tier, queue(tier).totalCost());
    actions.emplace_back(
            RefuseAction{item.admissionRequest.key, item.admissionRequest.node, reason, wait});
}

SchedulerActions TieredScheduler::onUpstreams(const std::vector<UpstreamInfo> &upstreams,
                                              TimePoint now)
{
    SchedulerActions actions;
    m_upstreams.setUpstreams(upstreams, now);
    dispatch(now, actions);
    return actions;
}

SchedulerActions TieredScheduler::onLoadReport(const LoadReportEvent &event, TimePoint now)
{
    SchedulerActions actions;
    m_upstreams.observeReport(event, now);
    dispatch(now, actions);
    return actions;
}

SchedulerActions TieredScheduler::onCapacityShare(double share, TimePoint now)
{
    SchedulerActions actions;
    m_upstreams.setShare(share, now);
    dispatch(now, actions);
    return actions;
}

SchedulerActions TieredScheduler::onTick(TimePoint now)
{
    SchedulerActions actions;
    m_stats.ejections += m_upstreams.tick(now);
    for (int tier = 0; tier < kTierCount; ++tier) {
        for (const auto &it : queue(tier).takeExpired(now)) {
            const bool deadlinePassed = it.deadline <= now;
            refuse(it, deadlinePassed ? Reason::DeadlineExceeded : Reason::DeadlineUnreachable, now,
                   actions);
        }
    }
    dispatch(now, actions);
    if (now - m_lastExpiry > kExpireInterval) {
        m_lastExpiry = now;
        m_grants.expire(now);
        for (const auto &it : m_grants.overdue(now))
            dropGrant(it, now);
        for (auto &it : m_queues)
            it.expireIdle();
    }
    return actions;
}

GroupLoadInfo TieredScheduler::load(TimePoint /*now*/) const
{
    GroupLoadInfo info;
    info.inFlight = static_cast<std::uint32_t>(m_grants.size());
    info.limit = m_upstreams.totalSlots();
    for (int tier = 0; tier < kTierCount; ++tier) {
        double ahead = 0;
        for (int other = 0; other <= tier; ++other)
            ahead += queue(other).totalCost();
        info.queued[static_cast<std::size_t>(tier)] =
                static_cast<std::uint32_t>(queue(tier).size());
        info.waits[static_cast<std::size_t>(tier)] = expectedWait(tier, ahead);
    }
    return info;
}

} // namespace hawthornslip
