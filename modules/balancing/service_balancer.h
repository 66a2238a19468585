#pragma once

#include "modules/balancing/balancing_types.h"
#include "modules/limits/request_share.h"
#include "modules/limits/shared_permits.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Chooses an upstream of one service for each request, based on the requests that this node and its
 * peers sent to the upstreams. Requests with the same shared prompt prefix prefer the same upstream
 * on every node, so that the prefix is prefilled once; the expected wait there limits this
 * preference.
 */
class ServiceBalancer
{
public:
    /** Number of upstreams that a shared prompt prefix prefers. */
    static constexpr std::size_t kPreferredCount = 4;

    /** @param seed differs between nodes, so that they sample different upstreams. */
    explicit ServiceBalancer(std::uint64_t seed = 1);

    /** Sets the upstreams that may get requests; those that keep their address keep their state. */
    void setUpstreams(const std::vector<UpstreamEntry> &entries);

    /**
     * @param excluded upstreams that the request was already sent to.
     * @return the best upstream for @p demand, or nothing when none is left.
     */
    std::optional<RequestPlacement> place(const RequestDemand &demand,
                                          const std::vector<UpstreamId> &excluded, TimePoint now);

    /** Records a request of a caller before it is placed. */
    void onRequest(const RequestDemand &demand, TimePoint now);

    /** Records that a request was sent to the upstream of @p placement. */
    void onSent(const RequestPlacement &placement, TimePoint now);

    /** Records that the first event, or the answer, came @p timeToFirstEvent after sending. */
    void onFirstEvent(const RequestPlacement &placement, Duration timeToFirstEvent, TimePoint now);

    /** Records the end of an attempt. */
    void onEnded(const RequestPlacement &placement, AttemptOutcome outcome, TimePoint now);

    /**
     * Limits the requests per second from all nodes together to the upstream with the given
     * NodeLoad::upstreamHash; nothing ends the limit.
     */
    void setRequestLimit(std::uint64_t upstreamHash, std::optional<double> requestsPerSecond,
                         TimePoint now);

    /** @return this node's load at each upstream that it has sent requests to. */
    std::vector<NodeLoad> nodeLoads() const;
    /** @return the sums of the requests recorded by onRequest(). */
    NodeDemand nodeDemand() const { return m_demand; }

    /** @return the sums of the requests of this node and of its peers. */
    NodeDemand totalDemand() const;
    /** @return prompt tokens that this node and its peers sent to upstreams for prefill. */
    std::uint64_t totalSentTokens() const { return m_totalSentTokens; }
    /**
     * @return true when this node or a peer has recently sent requests that are less urgent than
     *         @p urgency.
     */
    bool hasSentLessUrgent(std::size_t urgency, TimePoint now) const;
    /** @return requests of this node and of its peers that run at usable upstreams. */
    std::uint32_t totalRunning() const;

    /**
     * Applies a change of a peer's load at an upstream. Of an upstream that is not known yet, only
     * the running requests are recorded.
     */
    void onPeerLoad(const LoadChange &change, TimePoint now);
    /** Adds the requests that a peer received since its last report. */
    void onPeerDemand(const NodeDemand &added, TimePoint now);

    /** @return prompt tokens per second that an engine prefills for a single request. */
    double peakPrefillRate() const { return m_rate.peakTokensPerSecond(); }

    /** @return the number of upstreams that may get requests. */
    std::size_t size() const { return m_order.size(); }

private:
    /** Running requests of all peers at one upstream. */
    struct PeerRequests
    {
        std::int64_t running = 0;
        std::int64_t sensitive = 0;
    };
    struct State
    {
        UpstreamEntry entry;
        bool usable = false;
        std::uint64_t hash = 0;
        /** Index in m_order. */
        std::size_t position = 0;
        std::uint32_t running = 0;
        std::uint32_t sensitive = 0;
        PeerRequests peers;
        TokensByUrgency<std::uint64_t> sentTokens{};
        bool wasUsed = false;
        PrefillQueue prefill;
        EngineSpeed speed;
        /** Observations of this node. */
        EngineSpeedSums speedSums;
        /** Reciprocal of the speed factor that the estimates use. */
        double slowness = 1;
        std::uint32_t consecutiveFailures = 0;
        TimePoint avoidUntil{};
        /** Set while the upstream limits its requests. */
        std::optional<SharedPermits> permits;
    };
    /** Partition of the engines, as indices in m_order; @c last is exclusive. */
    struct Range
    {
        std::size_t first = 0;
        std::size_t last = 0;
    };
    /**
     * The upstreams that a shared prompt prefix prefers, best first, in an order that all nodes
     * share. A request that finds the first one full goes to the next, so that as few upstreams as
     * can serve the requests prefill the prefix.
     */
    using PreferredUpstreams = std::array<const State *, kPreferredCount>;

    /** An upstream with the values that it is compared by. */
    struct Candidate
    {
        const State *state = nullptr;
        bool isAvoided = false;
        bool isFull = false;
        /** Until this node may send the upstream a request. */
        Duration permitWait{0};
        double cost = 0;
        bool isOutsidePartition = false;
    };

    /** Input of one choice of an upstream. */
    struct Query
    {
        const RequestDemand &demand;
        const std::vector<UpstreamId> &excluded;
        TimePoint now;
        Range range;
        /** This node's part of limits for all nodes. */
        double share = 1;
        PreferredUpstreams preferred{};
    };

    void observeSpeed(const RequestPlacement &placement, Duration timeToFirstEvent, TimePoint now);
    void resetSpeed(State &state) const;
    /** Sets the estimates of an engine by its speed. */
    void applySpeed(State &state, TimePoint now) const;
    Candidate choose(const Query &query);
    /** Replaces @p best with @p state if that is better. */
    static void consider(Candidate &best, const State &state, const Query &query);
    static double runningRequests(const State &state);
    static double sensitiveRequests(const State &state);
    static bool isFullFor(const State &state, const RequestDemand &demand);
    double fullFractionOf(Range range, const RequestDemand &demand) const;
    /** Sorts m_order. */
    void sortUpstreams();
    Range engineRange(const RequestDemand &demand, TimePoint now);
    /** @return the limits of requests of the first upstreams in m_order. */
    std::vector<double> requestLimits() const;
    double enginesForSensitive() const;
    PreferredUpstreams preferredUpstreams(const RequestDemand &demand, Range range,
                                          TimePoint now) const;
    /** @return the expected fraction of a shared prefix that is not cached at this rank. */
    static double expectedMissFraction(std::size_t preferenceRank);
    /** @return the address to copy the KV cache of the shared prefix to @p chosen from. */
    static std::string kvSourceFor(const State &chosen, const Query &query);
    static std::size_t preferenceRankOf(const State &state, const PreferredUpstreams &preferred);
    static double costOf(const State &state, const Query &query);

    std::unordered_map<UpstreamId, State> m_states;
    std::unordered_map<std::uint64_t, UpstreamId> m_byHash;
    /** Includes upstreams that this node does not know yet, as each change is reported once. */
    std::unordered_map<std::uint64_t, PeerRequests> m_peers;
    EnginePartition m_partition;
    RequestShare m_share;
    PrefillRateEstimator m_rate;
    FirstEventReference m_firstEvents;
    NodeDemand m_demand;
    NodeDemand m_peerDemand;
    std::uint64_t m_totalSentTokens = 0;
    /** When a request of each urgency was last sent, by any node. */
    TokensByUrgency<TimePoint> m_lastSentAt{};
    /**
     * Usable upstreams in an order that all nodes have: by hash, those that limit their requests
     * first.
     */
    std::vector<UpstreamId> m_order;
    std::minstd_rand m_random;
};

} // namespace hawthornslip
