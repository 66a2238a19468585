#include "modules/scaling/capacity_split.h"

#include <algorithm>

namespace hawthornslip {

namespace {

double priceOf(const ScalingPolicy &policy, const FailureDomain &domain)
{
    const auto it = policy.domainPrices.find(domain);
    return it == policy.domainPrices.end() ? 1 : it->second;
}

std::uint32_t inDomain(const UpstreamCounts &counts, const FailureDomain &domain)
{
    return countOf(counts, {domain, UpstreamSort::Ordinary}) +
           countOf(counts, {domain, UpstreamSort::Reclaimable});
}

/** Adds @p n upstreams, each where there are the fewest of its sort, as far as the maxima allow. */
void spread(UpstreamCounts &counts, std::uint32_t n, UpstreamSort sort, std::uint32_t maxInDomain,
            const std::vector<FailureDomain> &domains)
{
    for (; n > 0; --n) {
        const FailureDomain *best = nullptr;
        for (const auto &it : domains) {
            if (inDomain(counts, it) < maxInDomain &&
                (best == nullptr || countOf(counts, {it, sort}) < countOf(counts, {*best, sort})))
                best = &it;
        }
        if (best == nullptr)
            return;
        ++counts[{*best, sort}];
    }
}

/** @return the number of ordinary upstreams that a loss of the others in one domain asks for. */
std::uint32_t ordinaryFor(const CapacityGoal &goal, std::size_t reclaimableDomains)
{
    if (reclaimableDomains == 0)
        return goal.needed;
    if (goal.total <= goal.afterLoss)
        return goal.total;
    // With r reclaimable upstreams in d domains, total - r / d must be at least afterLoss.
    const std::uint64_t reclaimable =
            std::uint64_t{goal.total - goal.afterLoss} * reclaimableDomains;
    const std::uint64_t ordinary = goal.total - std::min<std::uint64_t>(goal.total, reclaimable);
    return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(goal.total, std::max<std::uint64_t>(ordinary, goal.ordinary)));
}

} // namespace

UpstreamCounts splitCapacity(const CapacityGoal &goal, const ScalingPolicy &policy,
                             const std::vector<DomainOffer> &offers)
{
    std::vector<FailureDomain> domains;
    std::vector<FailureDomain> withReclaimable;
    auto sorted = offers;
    std::ranges::stable_sort(sorted, {},
                             [&policy](const auto &it) { return priceOf(policy, it.domain); });
    const bool isCheaper = policy.reclaimablePrice && *policy.reclaimablePrice < 1;
    UpstreamCounts counts;
    for (const auto &it : sorted) {
        domains.push_back(it.domain);
        if (it.hasReclaimable && isCheaper)
            withReclaimable.push_back(it.domain);
        counts[{it.domain, UpstreamSort::Ordinary}] = 0;
        counts[{it.domain, UpstreamSort::Reclaimable}] = it.hasReclaimable ? 0 : it.keptReclaimable;
    }
    const std::uint32_t kept = std::min(goal.total, totalOf(counts));
    const std::uint32_t ordinary =
            std::min(ordinaryFor(goal, withReclaimable.size()), goal.total - kept);
    spread(counts, ordinary, UpstreamSort::Ordinary, policy.maxUpstreams, domains);
    spread(counts, goal.total - kept - ordinary, UpstreamSort::Reclaimable, policy.maxUpstreams,
           withReclaimable);
    // What the maxima of the domains with reclaimable upstreams do not allow.
    const std::uint32_t placed = totalOf(counts);
    spread(counts, goal.needed - std::min(goal.needed, placed), UpstreamSort::Ordinary,
           policy.maxUpstreams, domains);
    for (const auto &it : domains) {
        const std::uint32_t least = std::min(policy.minUpstreams, policy.maxUpstreams);
        const std::uint32_t n = inDomain(counts, it);
        counts[{it, UpstreamSort::Ordinary}] += n < least ? least - n : 0;
    }
    return counts;
}

} // namespace hawthornslip
