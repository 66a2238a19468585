#pragma once

#include "modules/quarantine/evidence_log.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/** Why and for how long a request is refused. */
struct QuarantineHold
{
    Verdict verdict;
    /** Until the node tries such a request again. */
    Duration remaining{0};
};

/**
 * Decides which requests are refused because what they hold crashes upstreams, from what this node
 * and its peers have observed. After a while one request is let through; its outcome decides for
 * all nodes.
 */
class PromptQuarantine
{
public:
    /** @param seed differs between nodes, so that they try one after the other. */
    explicit PromptQuarantine(std::uint64_t seed);

    /** Records a crash that this node saw. */
    void onCrash(const CrashObservation &observation, TimePoint now);

    /** Records that an answer to a request with @p traits, begun at @p begunAt, has gone on. */
    void onAnswerGoesOn(const PromptTraits &traits, TimePoint begunAt, TimePoint now);

    /** Adds what a peer has reported. */
    void merge(const CrashEvidence &evidence, NewsOrigin origin, TimePoint now);

    /** @return why a request must not be sent, or nothing. */
    std::optional<QuarantineHold> check(const PromptTraits &traits, TimePoint now) const;

    /** Records that a request is sent; after the end of a quarantine the next ones wait for it. */
    void onSent(const PromptTraits &traits, TimePoint now);

    /**
     * The more nodes get a report, the less often each node repeats what restarted ones missed.
     *
     * @return the evidence for a report to the peers.
     */
    CrashEvidence reportTo(const ReportReceivers &receivers, TimePoint now);
    /** @return the evidence for a summary of the failure domain. */
    CrashEvidence summary(TimePoint now);

    /** @return true when a report has to be sent soon. */
    bool hasNews() const { return m_log.hasNews(); }

    const std::vector<Verdict> &verdicts() const { return m_verdicts; }

    /** @return a number that changes whenever the verdicts may have changed. */
    std::uint64_t revision() const { return m_revision; }

private:
    /** When segments were last answered soundly at this node. */
    class SoundSegments
    {
    public:
        void note(const std::vector<std::uint64_t> &segments, TimePoint now);
        /** @return true when @p segment was answered shortly before @p at, or after it. */
        bool contains(std::uint64_t segment, TimePoint at) const;

    private:
        std::unordered_map<std::uint64_t, TimePoint> m_answeredAt;
    };

    void update(TimePoint now);
    Duration spanOf(const Verdict &verdict) const;
    void repeatSupport(CrashEvidence &evidence) const;

    EvidenceLog m_log;
    SoundSegments m_sound;
    std::vector<Verdict> m_verdicts;
    /** When the last request was let through after a quarantine, by the verdict's segments. */
    std::map<std::vector<std::uint64_t>, TimePoint> m_triedAt;
    /** When this node tries among all nodes, from 0 to 1. */
    double m_turn = 0;
    std::size_t m_nodes = 1;
    TimePoint m_reportRepeatedAt{};
    TimePoint m_summaryRepeatedAt{};
    std::uint64_t m_revision = 0;
};

} // namespace hawthornslip
