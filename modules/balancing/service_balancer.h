#pragma once

#include "core/time.h"
#include "modules/balancing/engine_partition.h"
#include "modules/routing/routing_config.h"
#include "modules/upstreams/upstream_directory.h"

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

/**
 * Places requests on the upstreams of one service from what this node sees itself: its own requests
 * in flight, the times to the first event and failures. Requests with the same shared prompt prefer
 * the same upstream on every node, so that it is read once; load bounds that preference.
 */
class ServiceBalancer
{
public:
    /** Takes the upstreams that may get requests; what is known of those that stay is kept. */
    void setUpstreams(const std::vector<UpstreamEntry> &entries);

    /**
     * @param excluded upstreams that the request was sent to before.
     * @return the upstream for @p demand, or nullptr when none is there.
     */
    const UpstreamEntry *pick(const Demand &demand, const std::vector<UpstreamId> &excluded,
                              TimePoint now);

    /** Notes a request of a caller before it is placed. */
    void onRequest(const Demand &demand, TimePoint now);

    /** Notes that a request was sent to @p id. */
    void onSent(const UpstreamId &id, const Demand &demand);

    /** Notes the first event or the answer of a request @p took after it was sent. */
    void onFirstEvent(const UpstreamId &id, const Demand &demand, Duration took);

    /** Notes the end of an attempt. @param hadFirstEvent as told by onFirstEvent(). */
    void onEnded(const UpstreamId &id, const Demand &demand, bool hadFirstEvent,
                 AttemptVerdict verdict, TimePoint now);

    /** @return requests of this node that run at the upstreams. */
    std::uint32_t running() const;

    /** @return upstreams that may get requests. */
    std::size_t size() const { return m_order.size(); }

private:
    struct State
    {
        UpstreamEntry entry;
        bool usable = false;
        std::uint64_t hash = 0;
        std::uint32_t running = 0;
        /** Tokens of prompts that were sent and have no first event yet. */
        double pendingTokens = 0;
        /** Smoothed time to the first event against that expected, 1 is as expected. */
        double slowness = 1;
        std::uint32_t failuresInRow = 0;
        TimePoint avoidUntil{};
    };

    std::pair<std::size_t, std::size_t> engineRange(const Demand &demand) const;
    double loadOf(const State &state, const Demand &demand, bool isPreferred) const;
    const State *preferred(const Demand &demand, TimePoint now) const;
    double expectedSeconds(const State &state, const Demand &demand) const;

    std::unordered_map<UpstreamId, State> m_states;
    EnginePartition m_partition;
    /** The usable ones in an order that all nodes share. */
    std::vector<UpstreamId> m_order;
    /** Smoothed seconds to the first event, of all upstreams together. */
    double m_baseSeconds = 0;
    /** Smoothed seconds that a token of a prompt adds. */
    double m_tokenSeconds = 0;
    std::size_t m_next = 0;
};

} // namespace hawthornslip
