#pragma once

#include "core/time.h"
#include "modules/balancing/engine_partition.h"
#include "modules/balancing/prefill_queue.h"
#include "modules/routing/routing_config.h"
#include "modules/upstreams/upstream_directory.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornslip {

/** What one request asks of an upstream. */
struct Demand
{
    /** Names the part of the prompt that other requests share; 0 without one. */
    std::uint64_t affinityKey = 0;
    /** Tokens of the shared part. */
    std::uint32_t sharedTokens = 0;
    /** Tokens that only this request has. */
    std::uint32_t ownTokens = 0;
    /** 0 is the most urgent; below kUrgencyLevels. */
    std::size_t level = 0;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
};

/** Where a request would go, and what it would meet there. */
struct Placement
{
    UpstreamEntry upstream;
    std::size_t level = 0;
    /** Time until the engine begins to read the prompt. */
    Duration wait{0};
    /** Time that the engine takes to read the prompt. */
    Duration read{0};
    /** Tokens of the prompt that the engine probably has to read. */
    double tokens = 0;
    /** The engine is one of those that the other kind of requests goes to. */
    bool isOutside = false;
    /** Place among the prompt's preferred upstreams, 0 the first; their number when it is none. */
    std::size_t homeRank = 0;
    /** The engine has no slot for it now. */
    bool isFull = false;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
};

/** How an attempt at an upstream ended, as far as it tells about the upstream. */
enum class AttemptVerdict {
    Good,
    /** The upstream had no room. */
    Full,
    /** The upstream could not be reached or broke off. */
    Unreachable,
    /** The upstream answered with a failure of its own. */
    Failed,
    /** The attempt says nothing, as when the caller left. */
    Neutral
};

/** Load of one node at one upstream, as nodes tell each other. */
struct NodeLoad
{
    /** Hash of the upstream's id. */
    std::uint64_t upstream = 0;
    std::uint32_t running = 0;
    /** Those of them whose callers notice short pauses. */
    std::uint32_t sensitive = 0;
    /** Prompt tokens sent since the node's start. */
    TokensByLevel<std::uint64_t> promptTokens{};

    bool operator==(const NodeLoad &) const = default;
};

/** What changed in a peer's load at an upstream. */
struct LoadChange
{
    std::uint64_t upstream = 0;
    std::int64_t running = 0;
    std::int64_t sensitive = 0;
    TokensByLevel<std::uint64_t> promptTokens{};
};

/** Prompt tokens that one node was asked for since its start. */
struct NodeDemand
{
    std::uint64_t tolerantTokens = 0;
    std::uint64_t sensitiveTokens = 0;
};

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

    static double runningOf(const State &state);
    static double sensitiveOf(const State &state);
    static bool isFullFor(const State &state, const Demand &demand);
    Range engineRange(const Demand &demand);
    double enginesOfDialogues() const;
    Homes homesOf(const Demand &demand, Range range, TimePoint now) const;
    /** @return the part of a shared prompt that probably has to be read at @p state. */
    static double rereadPart(std::size_t homeRank);
    static std::size_t rankOf(const State &state, const Homes &homes);
    double costOf(const State &state, const Demand &demand, const Homes &homes,
                  TimePoint now) const;

    std::unordered_map<UpstreamId, State> m_states;
    std::unordered_map<std::uint64_t, UpstreamId> m_byHash;
    /** Also for upstreams that this node does not know yet: peers tell changes only once. */
    std::unordered_map<std::uint64_t, PeersRunning> m_peers;
    EnginePartition m_partition;
    ReadingRate m_rate;
    NodeDemand m_demand;
    /** The usable ones in an order that all nodes share. */
    std::vector<UpstreamId> m_order;
    std::size_t m_next = 0;
};

} // namespace hawthornslip
