#include "modules/scaling/scaling_planner.h"

#include "modules/scaling/capacity_split.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace hawthornslip {

namespace {

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
    , m_total(settings)
    , m_needed(settings)
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
    lower(wanted, view, now);
    return m_desired;
}

bool ScalingPlanner::isSettled(const ScalingView &view, TimePoint now)
{
    if (m_isPlanning)
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
    if (!std::exchange(m_isPlanning, true)) {
        m_total.reset(m_initial, now);
        m_needed.reset(m_initial, now);
        m_plannedSince = now;
    }
    const DemandEstimate &demand = view.demand;
    const double withWave = 1 + m_settings.waveReserve;
    double wanted = std::max(demand.expected, demand.peak * withWave);
    if (offersReclaimable(view.policy))
        wanted = std::max(wanted, demand.mean * (1 + m_settings.jumpReserve));
    // A rise that was expected and did not come may come with the next wave.
    double total = m_goal.add(wanted / m_settings.targetUse, now);
    double needed = std::max(demand.current, demand.mean) * withWave / m_settings.targetUse;
    if (std::min(demand.observedFor, now - m_plannedSince) < m_settings.keepFor)
        total = std::max<double>(total, m_initial);
    if (demand.observedFor == Duration(0))
        needed = std::max<double>(needed, m_initial / (1 + m_settings.jumpReserve));
    m_total.follow(total, now);
    m_needed.follow(needed, now);
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
    goal.total = m_total.value();
    goal.needed =
            offersReclaimable(view.policy) ? std::min(goal.total, m_needed.value()) : goal.total;
    // Without a margin: the less urgent requests wait until the lost upstreams are replaced.
    goal.afterLoss = ceiled(goal.total * m_settings.targetUse / (1 + m_settings.waveReserve));
    goal.ordinary = ceiled(m_settings.ordinaryShare * goal.total / (1 + m_settings.jumpReserve));
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

void ScalingPlanner::lower(const UpstreamCounts &targets, const ScalingView &view, TimePoint now)
{
    std::uint32_t ready = 0;
    for (const auto &[subject, n] : view.ready)
        ready += serving(view, subject);
    const std::uint32_t surplus = ready - std::min(ready, m_total.value());
    const auto everywhere = domains(view);
    const auto left = lowerSort(UpstreamSort::Ordinary, surplus, targets, {view, everywhere});
    lowerSort(UpstreamSort::Reclaimable, left, targets, {view, everywhere});
    if (surplus > 0 || now - m_exchangedAt < m_settings.stepInterval)
        return;
    // Ordinary upstreams that stood in for reclaimable ones, or that leave them no room, go before
    // their replacements come, as far as the reserve for jumps covers them.
    const auto spare = std::min(m_total.step(), ready - std::min(ready, m_needed.value()));
    const auto crowded = crowdedDomains(targets, view);
    if (lowerSort(UpstreamSort::Ordinary, spare, targets, {view, crowded}) < spare)
        m_exchangedAt = now;
}

std::set<FailureDomain> ScalingPlanner::crowdedDomains(const UpstreamCounts &targets,
                                                       const ScalingView &view) const
{
    std::set<FailureDomain> crowded;
    for (const auto &it : domains(view)) {
        const auto ordinary = countOf(m_desired, {it, UpstreamSort::Ordinary});
        const auto reclaimable = countOf(m_desired, {it, UpstreamSort::Reclaimable});
        const bool isFull = ordinary + reclaimable >= view.policy.maxUpstreams &&
                            reclaimable < countOf(targets, {it, UpstreamSort::Reclaimable});
        if (isFull || !view.withoutReclaimable.empty())
            crowded.insert(it);
    }
    return crowded;
}

std::uint32_t ScalingPlanner::lowerSort(UpstreamSort sort, std::uint32_t n,
                                        const UpstreamCounts &targets, const Scope &scope)
{
    const ScalingView &view = scope.view;
    for (auto &[subject, desired] : m_desired) {
        const auto target = countOf(targets, subject);
        // Upstreams that are gone already are not given up a second time.
        if (subject.sort != sort || target >= desired || countOf(view.ready, subject) < desired ||
            !scope.domains.contains(subject.domain))
            continue;
        // What the other sort lacks until its ordered upstreams serve is kept in this one.
        const auto other = serving(view, {subject.domain, otherSort(sort)});
        const auto least = view.policy.minUpstreams - std::min(view.policy.minUpstreams, other);
        const auto floor = std::min(desired, std::max(target, least));
        const auto given = std::min(desired - floor, n);
        desired -= given;
        n -= given;
    }
    return n;
}

} // namespace hawthornslip
