#pragma once

#include "modules/balancing/balancing_types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Places requests on the upstreams of one service, from the requests that this node and its peers
 * sent there. Requests with the same shared prompt prefer the same upstream on every node, so that
 * it is read once; the wait there bounds that preference.
 */
class ServiceBalancer
{
public:
    /** Upstreams that a shared prompt prefers. */
    static constexpr std::size_t kPreferredCount = 4;

    /** @param seed differs between nodes, so that they compare different upstreams. */
    explicit ServiceBalancer(std::uint64_t seed = 1);

    /** Takes the upstreams that may get requests; what is known of those that stay is kept. */
    void setUpstreams(const std::vector<UpstreamEntry> &entries);

    /**
     * @param excluded upstreams that the request was sent to before.
     * @return the best upstream for @p demand, or nothing when none is there.
     */
    std::optional<RequestPlacement> place(const RequestDemand &demand,
                                          const std::vector<UpstreamId> &excluded, TimePoint now);

    /** Notes a request of a caller before it is placed. */
    void onRequest(const RequestDemand &demand, TimePoint now);

    /** Notes that a request was sent as placed. */
    void onSent(const RequestPlacement &placement, TimePoint now);

    /** Notes the first event or the answer of a request @p timeToFirstEvent after it was sent. */
    void onFirstEvent(const RequestPlacement &placement, Duration timeToFirstEvent);

    /** Notes the end of an attempt. */
    void onEnded(const RequestPlacement &placement, AttemptOutcome outcome, TimePoint now);

    /** @return this node's load at each upstream that it used. */
    std::vector<NodeLoad> nodeLoads() const;
    /** @return the prompt tokens that this node was asked for. */
    NodeDemand nodeDemand() const { return m_demand; }

    /** Takes what changed in a peer's load at an upstream; unknown upstreams are ignored. */
    void onPeerLoad(const LoadChange &change, TimePoint now);
    /** Takes the prompt tokens that a peer was asked for since its last report. */
    void onPeerDemand(const NodeDemand &added, TimePoint now);

    /** @return upstreams that may get requests. */
    std::size_t size() const { return m_order.size(); }

private:
    /** Requests of all peers at one upstream. */
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
        /** Position in the order. */
        std::size_t position = 0;
        std::uint32_t running = 0;
        std::uint32_t sensitive = 0;
        PeerRequests peers;
        TokensByUrgency<std::uint64_t> sentTokens{};
        bool wasUsed = false;
        PrefillQueue prefill;
        std::uint32_t consecutiveFailures = 0;
        TimePoint avoidUntil{};
    };
    /** Engines of the requests' kind, as positions in the order. */
    struct Range
    {
        std::size_t first = 0;
        std::size_t last = 0;
    };
    /**
     * The upstreams that a shared prompt prefers, in an order that all nodes share. What finds the
     * first one full goes to the next, so that the prompt is read by as few as carry its requests.
     */
    using PreferredUpstreams = std::array<const State *, kPreferredCount>;

    /** An upstream in comparison with others. */
    struct Candidate
    {
        const State *state = nullptr;
        bool isAvoided = false;
        bool isFull = false;
        double cost = 0;
        bool isOutsidePartition = false;
    };

    /** What upstreams are compared for. */
    struct Query
    {
        const RequestDemand &demand;
        const std::vector<UpstreamId> &excluded;
        TimePoint now;
        Range range;
        PreferredUpstreams preferred{};
    };

    Candidate choose(const Query &query);
    /** Puts @p state in the place of @p best when it is better. */
    static void consider(Candidate &best, const State &state, const Query &query);
    static double runningRequests(const State &state);
    static double sensitiveRequests(const State &state);
    static bool isFullFor(const State &state, const RequestDemand &demand);
    double fullFractionOf(Range range, const RequestDemand &demand) const;
    Range engineRange(const RequestDemand &demand, TimePoint now);
    double enginesForSensitive() const;
    PreferredUpstreams preferredUpstreams(const RequestDemand &demand, Range range,
                                          TimePoint now) const;
    /** @return the part of a shared prompt that probably has to be read at @p state. */
    static double expectedMissFraction(std::size_t preferenceRank);
    /** @return the upstream to copy the shared prompt from when the request goes to @p chosen. */
    static std::string kvSourceFor(const State &chosen, const Query &query);
    static std::size_t preferenceRankOf(const State &state, const PreferredUpstreams &preferred);
    static double costOf(const State &state, const Query &query);

    std::unordered_map<UpstreamId, State> m_states;
    std::unordered_map<std::uint64_t, UpstreamId> m_byHash;
    /** Also for upstreams that this node does not know yet: peers tell changes only once. */
    std::unordered_map<std::uint64_t, PeerRequests> m_peers;
    EnginePartition m_partition;
    PrefillRateEstimator m_rate;
    NodeDemand m_demand;
    /** The usable ones in an order that all nodes share. */
    std::vector<UpstreamId> m_order;
    std::minstd_rand m_random;
};

} // namespace hawthornslip
