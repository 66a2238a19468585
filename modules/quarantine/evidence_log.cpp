#include "modules/quarantine/evidence_log.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Longer than the longest quarantine, whose observations are its reason.
constexpr Duration kRetention = seconds(3600);
constexpr std::size_t kMaxObservations = 512;
constexpr std::size_t kMaxClearances = 1024;
// Keeps a report within one datagram when many upstreams end at once; the rest follows in the next.
constexpr std::size_t kEntriesPerReport = 12;

/** Calls @p tell for the first entries that are due. */
template <typename Entries, typename IsDue, typename Tell>
void tellDue(Entries &all, IsDue isDue, Tell tell)
{
    std::size_t left = kEntriesPerReport;
    for (auto it = all.begin(); it != all.end() && left > 0; ++it) {
        if (!isDue(it->second.spread))
            continue;
        tell(*it);
        --left;
    }
}

} // namespace

bool EvidenceLog::add(const CrashObservation &observation, NewsOrigin origin)
{
    const auto [it, isNew] =
            m_observations.try_emplace(observation.id, Observed{observation, NewsSpread(origin)});
    if (!isNew)
        return false;
    if (m_observations.size() > kMaxObservations)
        evict();
    refresh();
    return true;
}

bool EvidenceLog::add(const SegmentClearance &clearance, NewsOrigin origin)
{
    auto [it, isNew] = m_clearances.try_emplace(clearance.segment);
    if (!isNew && clearance.begunAt <= it->second.begunAt)
        return false;
    const bool clears =
            std::any_of(m_observations.begin(), m_observations.end(), [&](const auto &entry) {
                const auto suspects = suspectsOf(entry.second.observation);
                return entry.second.observation.crashedAt < clearance.begunAt &&
                       std::find(suspects.begin(), suspects.end(), clearance.segment) !=
                               suspects.end();
            });
    // One that clears nothing here may clear an observation that is still on its way.
    it->second = {clearance.begunAt, NewsSpread(origin)};
    if (m_clearances.size() > kMaxClearances)
        m_clearances.erase(std::min_element(
                m_clearances.begin(), m_clearances.end(),
                [](const auto &a, const auto &b) { return a.second.begunAt < b.second.begunAt; }));
    if (clears)
        refresh();
    return clears;
}

bool EvidenceLog::expire(TimePoint now)
{
    const auto isOld = [now](TimePoint at) { return now - at > kRetention; };
    std::erase_if(m_clearances, [&](const auto &it) { return isOld(it.second.begunAt); });
    const std::size_t dropped = std::erase_if(
            m_observations, [&](const auto &it) { return isOld(it.second.observation.crashedAt); });
    if (dropped > 0)
        refresh();
    return dropped > 0;
}

std::vector<std::uint64_t> EvidenceLog::suspectsOf(const CrashObservation &observation) const
{
    std::vector<std::uint64_t> suspects;
    for (const std::uint64_t it : observation.traits.segments) {
        const auto cleared = m_clearances.find(it);
        if (cleared == m_clearances.end() || cleared->second.begunAt <= observation.crashedAt)
            suspects.push_back(it);
    }
    return suspects;
}

void EvidenceLog::refresh()
{
    m_suspects.clear();
    std::set<std::uint64_t> upstreams;
    for (const auto &it : observed()) {
        m_suspects.insert(it.suspects.begin(), it.suspects.end());
        if (!it.suspects.empty())
            upstreams.insert(it.observation->upstream);
    }
    // A cleared request still counts as a bystander of those that are not.
    std::erase_if(m_observations, [&upstreams](const auto &it) {
        return !upstreams.contains(it.second.observation.upstream);
    });
}

void EvidenceLog::evict()
{
    std::set<std::uint64_t> needed;
    const auto isAnswered = [](std::uint64_t, TimePoint) { return false; };
    for (const auto &verdict : findVerdicts(observed(), isAnswered))
        needed.insert(verdict.support.begin(), verdict.support.end());
    auto oldest = m_observations.end();
    for (auto it = m_observations.begin(); it != m_observations.end(); ++it) {
        const auto rank = [&needed](const auto &entry) {
            return std::pair(needed.contains(entry.first), entry.second.observation.crashedAt);
        };
        if (oldest == m_observations.end() || rank(*it) < rank(*oldest))
            oldest = it;
    }
    m_observations.erase(oldest);
}

std::vector<SuspectObservation> EvidenceLog::observed() const
{
    std::vector<SuspectObservation> all;
    all.reserve(m_observations.size());
    for (const auto &[id, it] : m_observations)
        all.push_back({&it.observation, suspectsOf(it.observation)});
    return all;
}

void EvidenceLog::collectForReport(CrashEvidence &evidence)
{
    const auto isDue = [](const NewsSpread &spread) { return spread.isDueInReport(); };
    tellDue(m_observations, isDue, [&evidence](auto &it) {
        evidence.observations.push_back(it.second.observation);
        it.second.spread.countReport();
    });
    tellDue(m_clearances, isDue, [&evidence](auto &it) {
        evidence.clearances.push_back({it.first, it.second.begunAt});
        it.second.spread.countReport();
    });
}

void EvidenceLog::collectForSummary(CrashEvidence &evidence)
{
    const auto isDue = [](const NewsSpread &spread) { return spread.isDueInSummary(); };
    tellDue(m_observations, isDue, [&evidence](auto &it) {
        evidence.observations.push_back(it.second.observation);
        it.second.spread.countSummary();
    });
    tellDue(m_clearances, isDue, [&evidence](auto &it) {
        evidence.clearances.push_back({it.first, it.second.begunAt});
        it.second.spread.countSummary();
    });
}

void EvidenceLog::collect(const std::vector<std::uint64_t> &ids, CrashEvidence &evidence) const
{
    std::set<std::uint64_t> segments;
    for (const std::uint64_t id : ids) {
        const auto it = m_observations.find(id);
        if (it == m_observations.end())
            continue;
        const CrashObservation &observation = it->second.observation;
        evidence.observations.push_back(observation);
        segments.insert(observation.traits.segments.begin(), observation.traits.segments.end());
    }
    for (const std::uint64_t it : segments) {
        const auto cleared = m_clearances.find(it);
        if (cleared != m_clearances.end())
            evidence.clearances.push_back({it, cleared->second.begunAt});
    }
}

bool EvidenceLog::hasNews() const
{
    const auto isNew = [](const auto &it) { return it.second.spread.isNew(); };
    return std::any_of(m_observations.begin(), m_observations.end(), isNew) ||
           std::any_of(m_clearances.begin(), m_clearances.end(), isNew);
}

} // namespace hawthornslip
