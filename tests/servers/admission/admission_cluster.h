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

/** The load that each node of an AdmissionCluster takes from callers. */
struct ClusterLoad
{
    /** Requests per second and node, by tier. */
    std::array<double, kTierCount> rates{};
    Duration firstToken = milliseconds(50);
    Duration timePerToken = milliseconds(10);
    double meanTokens = 100;
};

/** What happened to the requests of one tier. */
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
 * Several AdmissionService objects in virtual time with callers and upstreams that only count. Each
 * node runs its own control loop; a paused one neither runs tasks nor ends streams.
 */
class AdmissionCluster
{
public:
    /** @param domains number of failure domains, each with @p upstreams upstreams. */
    AdmissionCluster(int nodes, int domains, int upstreams, std::uint32_t slots,
                     std::uint64_t seed);
    ~AdmissionCluster();

    AdmissionCluster(const AdmissionCluster &) = delete;
    AdmissionCluster &operator=(const AdmissionCluster &) = delete;

    /** Lets @p span pass; the invariants are checked after each step. */
    void run(Duration span);

    /** Ends node @p i without a word; the others hold it for live until setView() says otherwise.
     */
    void crash(int i);
    /** Starts node @p i again as a new process. */
    void restart(int i);
    void pause(int i);
    void resume(int i);
    /** Sets which nodes node @p i holds for live. */
    void setView(int i, const std::vector<int> &live);
    /** Sets the same view at all running nodes. */
    void setViews(const std::vector<int> &live);
    /** Marks an upstream of domain 0 as drained in the shared configuration. */
    void drain(int upstream);

    /** @return the index of the node that owns the group of domain @p domain in node @p i's view.
     */
    int ownerOf(int domain, int i = 0) const;
    /** @return the requests that the schedulers of node @p i hold for in flight. */
    std::uint32_t inFlightAt(int i) const;
    /** @return the requests that run at upstreams. */
    std::size_t running() const;
    /** @return the requests that run at upstream @p upstream of domain 0. */
    std::size_t runningAt(int upstream) const;
    /** @return requests of node @p i that wait for an answer. */
    std::size_t waitingAt(int i) const;

    TimePoint now() const { return m_events.now(); }

    ClusterLoad load;
    std::array<TierCounts, kTierCount> counts;
    /** Tier-0 requests preempted, or refused other than at their deadline. */
    std::uint64_t orderTierViolations = 0;
    /** Longest time for which some upstream ran more than its configured bound without a break. */
    Duration longestExcess{0};
    /** Answers for one ask beyond the first. */
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
