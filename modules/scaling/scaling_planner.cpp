#include "modules/scaling/scaling_planner.h"

#include "modules/scaling/capacity_split.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hawthornslip {

namespace {

// A rise is rounded up by this fraction, so that a slow one needs few orders.
constexpr double kRiseMargin = 0.1;
// Upstreams that start together are listed one after the other.
constexpr Duration kSettleTime = seconds(2);

bool offersReclaimable(const ScalingPolicy &policy)
{
    return policy.reclaimablePrice && *policy.reclaimablePrice < 1;
}

UpstreamSort otherSort(UpstreamSort sort)
{
    return sort == UpstreamSort::Ordinary ? UpstreamSort::Reclaimable : UpstreamSort::Ordinary;
}

std::uint32_t ceiled(double upstreams)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, upstreams)));
}

} // namespace

ScalingPlanner::ScalingPlanner(ScalingSettings settings)
    : m_settings(settings)
    , m_goal(settings.keepFor)
{}

const UpstreamCounts &ScalingPlanner::plan(const ScalingView &view, TimePoint now)
{
    if (!isSettled(view, now)) {
        m_desired = view.ready;
        return m_desired;
    }
    adoptCounts(view);
    updateTotal(view, now);
    const auto wanted = targets(view);
    raise(wanted, view);
    lower(wanted, view);
    return m_desired;
}

bool ScalingPlanner::isSettled(const ScalingView &view, TimePoint now)
{
    if (m_total > 0)
        return true;
    const std::uint32_t n = totalOf(view.ready);
    if (n > m_initial || m_initial == 0) {
        m_initial = n;
        m_grewAt = now;
    }
    return m_initial > 0 && now - m_grewAt >= kSettleTime;
}

void ScalingPlanner::adoptCounts(const ScalingView &view)
{
    for (const auto &[subject, n] : view.ready)
        m_desired.try_emplace(subject, n);
    // What was taken away is not on order any more.
    for (auto &[subject, n] : m_desired) {
        if (subject.sort == UpstreamSort::Reclaimable &&
            view.withoutReclaimable.contains(subject.domain))
            n = std::min(n, countOf(view.ready, subject));
    }
}

void ScalingPlanner::updateTotal(const ScalingView &view, TimePoint now)
{
    if (m_total == 0) {
        m_total = m_initial;
        m_plannedSince = now;
        m_steppedAt = now;
    }
    const DemandEstimate &demand = view.demand;
    double wanted = std::max(demand.expected, demand.peak * (1 + m_settings.waveReserve));
    if (offersReclaimable(view.policy))
        wanted = std::max(wanted, demand.mean * (1 + m_settings.jumpReserve));
    // A rise that was expected and did not come may come with the next wave.
    auto goal = ceiled(m_goal.add(wanted / m_settings.targetUse, now));
    if (std::min(demand.observedFor, now - m_plannedSince) < m_settings.keepFor)
        goal = std::max(goal, m_initial);
    const auto withMargin = ceiled(goal * (1 + kRiseMargin));
    if (goal > m_total) {
        m_total = withMargin;
        m_steppedAt = now;
        return;
    }
    const auto step = std::max(1U, static_cast<std::uint32_t>(m_total * m_settings.stepDown));
    if (now - m_steppedAt < m_settings.stepInterval || withMargin + step > m_total)
        return;
    m_total -= step;
    m_steppedAt = now;
}

std::set<FailureDomain> ScalingPlanner::domains(const ScalingView &view) const
{
    std::set<FailureDomain> all;
    for (const auto &[subject, n] : m_desired)
        all.insert(subject.domain);
    for (const auto &[domain, price] : view.policy.domainPrices)
        all.insert(domain);
    return all;
}

UpstreamCounts ScalingPlanner::targets(const ScalingView &view) const
{
    CapacityGoal goal;
    goal.total = m_total;
    goal.needed = ceiled(m_total / (1 + m_settings.waveReserve));
    // Without a margin: the less urgent requests wait until the lost upstreams are replaced.
    goal.afterLoss = ceiled(goal.needed * m_settings.targetUse);
    goal.ordinary = ceiled(goal.needed * m_settings.ordinaryShare);
    std::vector<DomainOffer> offers;
    for (const auto &it : domains(view)) {
        const OrderSubject subject{it, UpstreamSort::Reclaimable};
        offers.push_back({it, !view.withoutReclaimable.contains(it), serving(view, subject)});
    }
    return splitCapacity(goal, view.policy, offers);
}

std::uint32_t ScalingPlanner::serving(const ScalingView &view, const OrderSubject &subject) const
{
    return std::min(countOf(view.ready, subject), countOf(m_desired, subject));
}

void ScalingPlanner::raise(const UpstreamCounts &targets, const ScalingView &view)
{
    for (const auto &[subject, target] : targets) {
        auto &desired = m_desired[subject];
        // The bounds count upstreams of the other sort that are still to be given up.
        const auto taken = countOf(m_desired, {subject.domain, otherSort(subject.sort)});
        const auto room = view.policy.maxUpstreams - std::min(view.policy.maxUpstreams, taken);
        if (target > desired)
            desired = std::max(desired, std::min(target, room));
    }
}

void ScalingPlanner::lower(const UpstreamCounts &targets, const ScalingView &view)
{
    std::uint32_t ready = 0;
    for (const auto &[subject, n] : view.ready)
        ready += serving(view, subject);
    std::uint32_t surplus = ready - std::min(ready, m_total);
    for (const auto sort : {UpstreamSort::Ordinary, UpstreamSort::Reclaimable}) {
        for (auto &[subject, desired] : m_desired) {
            const auto target = countOf(targets, subject);
            if (subject.sort != sort || target >= desired)
                continue;
            // Upstreams that are gone already are not given up a second time.
            if (countOf(view.ready, subject) < desired)
                continue;
            // What the other sort lacks until its ordered upstreams serve is kept in this one.
            const auto other = serving(view, {subject.domain, otherSort(sort)});
            const auto least = view.policy.minUpstreams - std::min(view.policy.minUpstreams, other);
            const auto floor = std::min(desired, std::max(target, least));
            const auto n = std::min(desired - floor, surplus);
            desired -= n;
            surplus -= n;
        }
    }
}

} // namespace hawthornslip
