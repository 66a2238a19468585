#pragma once

#include "core/interfaces/connection_probe.h"
#include "core/interfaces/event_loop.h"
#include "modules/quarantine/end_evidence.h"
#include "modules/quarantine/prompt_quarantine.h"
#include "modules/upstreams/upstream_directory.h"
#include "servers/peers/peer_evidence.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip {

/** @return @p hashes in hexadecimal, separated by commas, for log lines. */
std::string hexList(const std::vector<std::uint64_t> &hashes);

/** An attempt whose connection ended before its answer had gone on. */
struct LostAttempt
{
    std::string requestId;
    UpstreamEntry upstream;
    PromptTraits traits;
    TimePoint sentAt{};
    /** The head of the answer had come. */
    bool hadBegun = false;
    /** The answer may be whole, if its upstream goes on. */
    bool mayBeWhole = false;
    /** When the answer began, if it may be whole. */
    TimePoint begunAt{};
};

/**
 * Keeps prompts that crash upstreams from being sent. Finds out whether a lost attempt means that
 * its upstream has ended, and shares that with the other nodes.
 */
class PromptGuard : public PeerEvidence
{
public:
    PromptGuard(EventLoop &loop, ConnectionProbe &probe, std::uint64_t seed);

    /** @return why a request must not be sent now, or nothing. */
    std::optional<QuarantineHold> check(const PromptTraits &traits) const;
    /** Records that a request is sent. */
    void onSent(const PromptTraits &traits);
    /** Records that an answer, begun at @p begunAt, has gone on. */
    void onAnswerGoesOn(const PromptTraits &traits, TimePoint begunAt);
    /** Handles an attempt whose connection ended. */
    void onAttemptLost(const LostAttempt &attempt);
    /** Records bytes of the answer to a request that was sent to @p upstream at @p sentAt. */
    void onBytes(const UpstreamEntry &upstream, TimePoint sentAt);

    /** Sets what tells how the process of an entry is listed. */
    void setListing(std::function<ProcessListing(const UpstreamEntry &)> listing)
    {
        m_listing = std::move(listing);
    }

    /** Sets the callback for an upstream, by hash of its id, that ended; it may be told again. */
    void onUpstreamEnded(std::function<void(std::uint64_t, TimePoint)> task)
    {
        m_upstreamEnded = std::move(task);
    }
    /** Sets the callback for evidence that the other nodes should get soon. */
    void onNews(std::function<void()> task) { m_news = std::move(task); }

    CrashEvidence evidenceForReport(const ReportReceivers &receivers) override;
    CrashEvidence evidenceForSummary() override;
    void onPeerEvidence(const CrashEvidence &evidence, NewsOrigin origin) override;

private:
    struct Pending
    {
        CrashObservation observation;
        std::string requestId;
        bool mayBeWhole = false;
        TimePoint begunAt{};
    };
    /** The lost attempts of one process. */
    struct Lost
    {
        UpstreamEntry upstream;
        EndEvidence evidence;
        std::vector<Pending> attempts;
        TimerId timer = 0;
    };
    /** Id and start of a process. */
    using Process = std::pair<UpstreamId, std::uint64_t>;

    static Process processOf(const UpstreamEntry &upstream);
    ProcessListing listingOf(const UpstreamEntry &upstream) const;
    void waitForLook(const Process &process);
    void look(const Process &process, bool asks);
    void onLooked(const Process &process);
    void conclude(const Process &process);
    /** Drops the attempts that ended so long before @p at that their process went on. */
    void settleBefore(TimePoint at, std::vector<Pending> &attempts);
    void record(const Lost &lost);
    void notifyUpstreamEnded(const CrashObservation &observation) const;
    void afterChange();

    EventLoop &m_loop;
    ConnectionProbe &m_probe;
    PromptQuarantine m_quarantine;
    /** Processes that are being checked. */
    std::map<Process, Lost> m_pending;
    std::function<ProcessListing(const UpstreamEntry &)> m_listing;
    /** Segments of the verdicts that were logged. */
    std::vector<std::vector<std::uint64_t>> m_logged;
    std::uint64_t m_loggedRevision = 0;
    std::function<void(std::uint64_t, TimePoint)> m_upstreamEnded;
    std::function<void()> m_news;
};

} // namespace hawthornslip
