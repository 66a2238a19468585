#pragma once

#include "modules/peers/news_spread.h"
#include "modules/quarantine/verdict_finder.h"

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * The evidence of all nodes. It only grows until it expires, so that reports may be lost, repeated
 * or reordered.
 */
class EvidenceLog
{
public:
    /** Adds an observation. @return true when it was not known. */
    bool add(const CrashObservation &observation, NewsOrigin origin);

    /** Adds a clearance. @return true when it clears a segment of a known crash. */
    bool add(const SegmentClearance &clearance, NewsOrigin origin);

    /** Drops expired evidence. @return true when something was dropped. */
    bool expire(TimePoint now);

    /** @return the observations of crashes that are not explained by cleared segments alone. */
    std::vector<SuspectObservation> observed() const;

    /** @return true when an open observation has @p segment among its suspects. */
    bool isSuspect(std::uint64_t segment) const { return m_suspects.contains(segment); }

    /** Adds what this node has to tell its peers: what it saw itself, twice. */
    void collectForReport(CrashEvidence &evidence);
    /** Adds what a summary of this failure domain has to contain, twice. */
    void collectForSummary(CrashEvidence &evidence);
    /** Adds the observations with the given ids and what clears them, for nodes that missed them.
     */
    void collect(const std::vector<std::uint64_t> &ids, CrashEvidence &evidence) const;

    /** @return true when there is something that collectForReport() would add. */
    bool hasNews() const;

    std::size_t size() const { return m_observations.size(); }

private:
    struct Observed
    {
        CrashObservation observation;
        NewsSpread spread;
    };
    struct Cleared
    {
        TimePoint begunAt{};
        NewsSpread spread;
    };

    std::vector<std::uint64_t> suspectsOf(const CrashObservation &observation) const;
    void refresh();
    void evict();

    std::map<std::uint64_t, Observed> m_observations;
    std::unordered_map<std::uint64_t, Cleared> m_clearances;
    std::set<std::uint64_t> m_suspects;
};

} // namespace hawthornslip
