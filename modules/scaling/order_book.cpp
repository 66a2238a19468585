#include "modules/scaling/order_book.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kOrderInterval = milliseconds(500);
constexpr Duration kRetryDelay = seconds(1);
constexpr Duration kLongestRetry = seconds(5);
// A call without an answer may be carried out for some seconds.
constexpr Duration kLateExecution = seconds(6);
constexpr Duration kLongestRefusal = seconds(60);
constexpr Duration kLongestRepeat = seconds(60);
// Registration and the list of upstreams take this long beyond the start itself.
constexpr Duration kListingTime = seconds(3);

} // namespace

OrderBook::OrderBook(Duration startTime)
    : m_startTime(startTime)
{}

std::vector<DueOrder> OrderBook::due(const UpstreamCounts &desired, const UpstreamCounts &ready,
                                     TimePoint now)
{
    std::vector<DueOrder> orders;
    for (const auto &[subject, n] : desired) {
        if (isDue(m_entries[subject], n, countOf(ready, subject), now))
            orders.push_back({subject, n});
    }
    std::stable_partition(orders.begin(), orders.end(), [&ready](const auto &it) {
        return it.desired > countOf(ready, it.subject);
    });
    return orders;
}

bool OrderBook::isDue(Entry &entry, std::uint32_t desired, std::uint32_t ready, TimePoint now) const
{
    if (desired == ready)
        entry.differsSince.reset();
    else if (!entry.differsSince)
        entry.differsSince = now;
    if (entry.inFlight || now < entry.nextAt)
        return false;
    // A refusal does not concern numbers that need no more upstreams.
    if (now < entry.refusedUntil && desired > ready)
        return false;
    if (entry.isUncertain || (entry.confirmAt && now >= *entry.confirmAt))
        return true;
    if (entry.accepted ? *entry.accepted != desired : ready != desired)
        return true;
    const Duration patience = std::max(entry.repeatDelay, m_startTime + kListingTime);
    return entry.differsSince && now - *entry.differsSince >= patience;
}

void OrderBook::onSent(const DueOrder &order)
{
    m_entries[order.subject].inFlight = true;
}

void OrderBook::onResult(const DueOrder &order, ProviderResult result, TimePoint now)
{
    Entry &entry = m_entries[order.subject];
    entry.inFlight = false;
    entry.retryDelay = std::min(std::max(2 * entry.retryDelay, kRetryDelay), kLongestRetry);
    entry.nextAt = now + entry.retryDelay;
    switch (result) {
    case ProviderResult::Accepted: {
        const bool isRepeated = entry.accepted == order.desired;
        entry.repeatDelay = isRepeated ? std::min(2 * entry.repeatDelay, kLongestRepeat)
                                       : m_startTime + kListingTime;
        entry.accepted = order.desired;
        entry.differsSince.reset();
        entry.nextAt = now + kOrderInterval;
        entry.refusalDelay = Duration(0);
        entry.retryDelay = Duration(0);
        entry.confirmAt.reset();
        if (std::exchange(entry.isUncertain, false))
            entry.confirmAt = now + kLateExecution;
        break;
    }
    case ProviderResult::Conflict:
        refuse(entry, now);
        break;
    case ProviderResult::Unknown:
        entry.isUncertain = true;
        break;
    case ProviderResult::RateLimited:
    case ProviderResult::Unavailable:
        break;
    }
}

void OrderBook::refuse(Entry &entry, TimePoint now) const
{
    entry.refusalDelay = std::min(std::max(2 * entry.refusalDelay, m_startTime), kLongestRefusal);
    entry.refusedUntil = now + entry.refusalDelay;
}

std::vector<FailureDomain> OrderBook::findReclaimed(const UpstreamCounts &ready, TimePoint now)
{
    std::vector<FailureDomain> domains;
    for (const auto &[subject, n] : ready)
        m_entries.try_emplace(subject);
    for (auto &[subject, entry] : m_entries) {
        const auto before = std::exchange(entry.ready, countOf(ready, subject));
        const bool isGone = before > 0 && entry.ready == 0 && entry.accepted != 0U;
        if (subject.sort != UpstreamSort::Reclaimable || !isGone)
            continue;
        refuse(entry, now);
        // The provider may still count them, so the number that is left is ordered.
        entry.confirmAt = now;
        domains.push_back(subject.domain);
    }
    return domains;
}

std::set<FailureDomain> OrderBook::withoutReclaimable(TimePoint now) const
{
    std::set<FailureDomain> domains;
    for (const auto &[subject, entry] : m_entries) {
        if (subject.sort == UpstreamSort::Reclaimable && now < entry.refusedUntil)
            domains.insert(subject.domain);
    }
    return domains;
}

} // namespace hawthornslip
