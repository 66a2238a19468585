#include "modules/limits/named_limits.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// A restarted node learns the limits in force within this time.
constexpr Duration kRepeatInterval = seconds(2);
// All nodes together ask an upstream with any limit far more often.
constexpr Duration kRetention = seconds(60);
// Keeps a report within one datagram; the rest follows in the next.
constexpr std::size_t kNoticesPerReport = 24;

} // namespace

bool NamedLimits::onAnswer(std::uint64_t upstream, std::optional<double> requestsPerSecond,
                           TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() && !requestsPerSecond)
        return false;
    Entry &entry = m_entries[upstream];
    const bool isNew = found == m_entries.end();
    const bool hasChanged = isNew || entry.requestsPerSecond != requestsPerSecond;
    entry.requestsPerSecond = requestsPerSecond;
    entry.saidAt = now;
    const bool isRepetition = requestsPerSecond && now - entry.toldAt >= kRepeatInterval;
    if (hasChanged || isRepetition) {
        entry.toldAt = now;
        entry.spread = NewsSpread();
    }
    return hasChanged;
}

bool NamedLimits::onPeer(const LimitNotice &notice, NewsOrigin origin)
{
    const auto [it, isNew] = m_entries.try_emplace(notice.upstream);
    Entry &entry = it->second;
    if (!isNew && notice.saidAt <= entry.saidAt)
        return false;
    const bool hasChanged = entry.requestsPerSecond != notice.requestsPerSecond;
    // The same notice arrives twice, and with a slightly different age.
    if (isNew || hasChanged || notice.saidAt - entry.toldAt >= kRepeatInterval / 2) {
        entry.toldAt = notice.saidAt;
        entry.spread = NewsSpread(origin);
    }
    entry.requestsPerSecond = notice.requestsPerSecond;
    entry.saidAt = notice.saidAt;
    return hasChanged;
}

std::optional<double> NamedLimits::limitOf(std::uint64_t upstream) const
{
    const auto it = m_entries.find(upstream);
    return it == m_entries.end() ? std::nullopt : it->second.requestsPerSecond;
}

std::vector<LimitNotice> NamedLimits::all() const
{
    std::vector<LimitNotice> notices;
    for (const auto &[upstream, it] : m_entries)
        notices.push_back({upstream, it.requestsPerSecond, it.saidAt});
    return notices;
}

std::vector<LimitNotice> NamedLimits::takeForReport()
{
    std::vector<LimitNotice> notices;
    for (auto &[upstream, it] : m_entries) {
        if (!it.spread.isDueInReport() || notices.size() >= kNoticesPerReport)
            continue;
        it.spread.countReport();
        notices.push_back({upstream, it.requestsPerSecond, it.saidAt});
    }
    return notices;
}

std::vector<LimitNotice> NamedLimits::takeForSummary()
{
    std::vector<LimitNotice> notices;
    for (auto &[upstream, it] : m_entries) {
        if (!it.spread.isDueInSummary() || notices.size() >= kNoticesPerReport)
            continue;
        it.spread.countSummary();
        notices.push_back({upstream, it.requestsPerSecond, it.saidAt});
    }
    return notices;
}

bool NamedLimits::hasNews() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [](const auto &it) { return it.second.spread.isNew(); });
}

std::vector<std::uint64_t> NamedLimits::expire(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now - it->second.saidAt <= kRetention) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = m_entries.erase(it);
    }
    return expired;
}

} // namespace hawthornslip
