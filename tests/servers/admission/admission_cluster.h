#pragma once

#include "servers/admission/admission_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_membership.h"
#include "tests/support/sim_network.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip::test {

/** The load that callers put on each node of an AdmissionCluster. */
struct ClusterLoad
{
    /** Requests per second on each node, by tier. */
    std::array<double, kTierCount> rates{};
    Duration firstToken = milliseconds(50);
    Duration timePerToken = milliseconds(10);
    double meanTokens = 100;
};

/** Counts of the requests of one tier. */
struct TierCounts
{
    std::uint64_t requested = 0;
    std::uint64_t granted = 0;
    std::uint64_t completed = 0;
    std::uint64_t preempted = 0;
    std::map<Reason, std::uint64_t> refused;
    TimePoint lastGrant{};
};

/**
 * Several AdmissionService objects in simulated time with simulated callers and upstreams. Each
 * node runs its own control loop; a paused node neither runs tasks nor ends streams.
 */
class AdmissionCluster
{
public:
    /**
     * @param domains number of failure domains, each with @p upstreams upstreams.
     * @param slots concurrency limit of each upstream.
     */
    AdmissionCluster(int nodes, int domains, int upstreams, std::uint32_t slots,
                     std::uint64_t seed);
    ~AdmissionCluster();

    AdmissionCluster(const AdmissionCluster &) = delete;
    AdmissionCluster &operator=(const AdmissionCluster &) = delete;

    /** Advances the time by @p span; violations and overload are counted after each step. */
    void run(Duration span);

    /** Stops node @p i without notice; the others consider it live until setView(). */
    void crash(int i);
    /** Restarts node @p i as a new process with a new incarnation. */
    void restart(int i);
    void pause(int i);
    void resume(int i);
    /** Sets which nodes node @p i considers live. */
    void setView(int i, const std::vector<int> &live);
    /** Sets the same view on all nodes that have not crashed. */
    void setViews(const std::vector<int> &live);
    /** Marks an upstream of domain 0 as drained in the shared configuration. */
    void drain(int upstream);

    /** @return the index of the owner of the group of @p domain in node @p i's view. */
    int ownerOf(int domain, int i = 0) const;
    /** @return the requests in flight according to the schedulers of node @p i. */
    std::uint32_t inFlightAt(int i) const;
    /** @return the requests that run on upstreams. */
    std::size_t running() const;
    /** @return the requests that run on upstream @p upstream of domain 0. */
    std::size_t runningAt(int upstream) const;
    /** @return the requests of node @p i without an answer. */
    std::size_t waitingAt(int i) const;

    TimePoint now() const { return m_events.now(); }

    ClusterLoad load;
    std::array<TierCounts, kTierCount> counts;
    /** Tier-0 requests preempted, or refused other than at their deadline. */
    std::uint64_t orderTierViolations = 0;
    /** Longest continuous time for which an upstream ran more than its limit. */
    Duration longestExcess{0};
    /** Answers to a request after the first one. */
    std::uint64_t duplicateAnswers = 0;
    SimEvents m_events;
    SimNetwork network;

private:
    struct Stream
    {
        AdmissionGrant grant;
        AdmissionParams params;
        TimePoint grantedAt{};
        std::uint32_t tokens = 0;
        TimePoint end{};
        bool started = false;
        bool cancelling = false;
        bool ended = false;
    };

    struct Node;
    class Config;

    void generateRequests(Node &node, Duration step);
    void sendRequest(Node &node, AdmissionParams params);
    void onAnswer(Node &node, const AdmissionParams &params, const AdmissionAnswer &answer);
    void advanceStreams(Node &node);
    void endStream(Node &node, Stream &stream, AttemptResult result);
    void check(Duration step);
    std::uint32_t tokensOf(const Stream &stream) const;

    std::mt19937_64 m_random;
    std::unique_ptr<Config> m_config;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<UpstreamId, Duration> m_excess;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_incarnation = 0;
    int m_domains;
};

} // namespace hawthornslip::test
