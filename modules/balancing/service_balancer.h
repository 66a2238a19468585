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
    static constexpr std::size_t kHomes = 4;

    /** @param seed differs between nodes, so that they compare different upstreams. */
    explicit ServiceBalancer(std::uint64_t seed = 1);

    /** Takes the upstreams that may get requests; what is known of those that stay is kept. */
    void setUpstreams(const std::vector<UpstreamEntry> &entries);

    /**
     * @param excluded upstreams that the request was sent to before.
     * @return the best upstream for @p demand, or nothing when none is there.
     */
    std::optional<Placement> place(const Demand &demand, const std::vector<UpstreamId> &excluded,
                                   TimePoint now);

    /** Notes a request of a caller before it is placed. */
    void onRequest(const Demand &demand, TimePoint now);

    /** Notes that a request was sent as placed. */
    void onSent(const Placement &placement, TimePoint now);

    /** Notes the first event or the answer of a request @p took after it was sent. */
    void onFirstEvent(const Placement &placement, Duration took);

    /** Notes the end of an attempt. */
    void onEnded(const Placement &placement, AttemptVerdict verdict, TimePoint now);

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
    struct PeersRunning
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
        std::size_t place = 0;
        std::uint32_t running = 0;
        std::uint32_t sensitive = 0;
        PeersRunning peers;
        TokensByLevel<std::uint64_t> sentTokens{};
        bool isUsed = false;
        PrefillQueue prefill;
        std::uint32_t failuresInRow = 0;
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
    using Homes = std::array<const State *, kHomes>;

    /** An upstream in comparison with others. */
    struct Choice
    {
        const State *state = nullptr;
        bool isAvoided = false;
        bool isFull = false;
        double cost = 0;
        bool isOutside = false;
    };

    /** What upstreams are compared for. */
    struct Search
    {
        const Demand &demand;
        const std::vector<UpstreamId> &excluded;
        TimePoint now;
        Range range;
        Homes homes{};
    };

    Choice choose(const Search &search);
    /** Puts @p state in the place of @p best when it is better. */
    static void consider(Choice &best, const State &state, const Search &search);
    static double runningOf(const State &state);
    static double sensitiveOf(const State &state);
    static bool isFullFor(const State &state, const Demand &demand);
    double fullPartOf(Range range, const Demand &demand) const;
    Range engineRange(const Demand &demand, TimePoint now);
    double enginesOfDialogues() const;
    Homes homesOf(const Demand &demand, Range range, TimePoint now) const;
    /** @return the part of a shared prompt that probably has to be read at @p state. */
    static double rereadPart(std::size_t homeRank);
    /** @return the upstream to copy the shared prompt from when the request goes to @p chosen. */
    static std::string sourceFor(const State &chosen, const Search &search);
    static std::size_t rankOf(const State &state, const Homes &homes);
    static double costOf(const State &state, const Search &search);

    std::unordered_map<UpstreamId, State> m_states;
    std::unordered_map<std::uint64_t, UpstreamId> m_byHash;
    /** Also for upstreams that this node does not know yet: peers tell changes only once. */
    std::unordered_map<std::uint64_t, PeersRunning> m_peers;
    EnginePartition m_partition;
    ReadingRate m_rate;
    NodeDemand m_demand;
    /** The usable ones in an order that all nodes share. */
    std::vector<UpstreamId> m_order;
    std::minstd_rand m_random;
};

} // namespace hawthornslip
