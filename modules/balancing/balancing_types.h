#pragma once

#include "core/time.h"
#include "modules/balancing/engine_partition.h"
#include "modules/balancing/engine_speed.h"
#include "modules/balancing/prefill_queue.h"
#include "modules/upstreams/upstream_directory.h"

#include <cstdint>
#include <optional>
#include <string>

/** Data types for balancing requests over the upstreams of a service. */
namespace hawthornslip {

/** Properties of a request that decide which upstream serves it. */
struct RequestDemand
{
    /** Identifies the prompt prefix that other requests share; 0 without one. */
    std::uint64_t affinityKey = 0;
    /** Tokens of the shared prefix. */
    std::uint32_t sharedTokens = 0;
    /** Prompt tokens after the shared prefix. */
    std::uint32_t ownTokens = 0;
    /** 0 is the most urgent; below kUrgencyLevels. */
    std::size_t urgency = 0;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
    /** Only upstreams with this version of their software may serve it, if it is set. */
    std::optional<std::string> softwareVersion{};
};

/** The upstream chosen for a request, with the estimates behind the choice. */
struct RequestPlacement
{
    UpstreamEntry upstream;
    std::size_t urgency = 0;
    /** Estimated time until the request may be sent and the engine starts to prefill the prompt. */
    Duration wait{0};
    /** Estimated time that the engine takes to prefill the prompt. */
    Duration prefillTime{0};
    /** Expected number of prompt tokens that are not in the prefix cache of the engine. */
    double prefillTokens = 0;
    /** Expected number of prompt tokens that the engine prefills before this prompt. */
    double tokensBefore = 0;
    /** The engine belongs to the partition for the other PauseTolerance. */
    bool isOutsidePartition = false;
    /** Rank among the upstreams that the shared prefix prefers, from 0; kPreferredCount if none. */
    std::size_t preferenceRank = 0;
    /** The engine has no free slot for the request now. */
    bool isFull = false;
    /** The upstream limits its requests, and this node may not send it one yet. */
    bool isOverLimit = false;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
    /** Fraction of the upstreams in the request's partition without a free slot, from 0 to 1. */
    double fullFraction = 0;
    /** Fraction of the upstream's slots in use before the request, from 0. */
    double occupancy = 0;
    /** Address of another upstream that probably caches the shared prefix; empty without one. */
    std::string kvSourceAddress;
};

/** Result of an attempt, as far as it reflects the state of the upstream. */
enum class AttemptOutcome {
    Succeeded,
    /** The upstream had no free slot. */
    Full,
    /** The upstream could not be reached, or another one answered at its address. */
    Unreachable,
    /** The upstream answered with an error, or its answer was broken off or not valid. */
    Failed,
    /** Says nothing about the upstream, for example after the caller disconnected. */
    Neutral
};

/** Load of one node at one upstream, as nodes report it to their peers. */
struct NodeLoad
{
    /** Result of rendezvousMember() for the upstream's id. */
    std::uint64_t upstreamHash = 0;
    std::uint32_t running = 0;
    /** Running requests with PauseTolerance::Sensitive. */
    std::uint32_t sensitive = 0;
    /** Prompt tokens to prefill that were sent since the node started. */
    TokensByUrgency<std::uint64_t> promptTokens{};
    /** Observations of the upstream's speed; nothing in a report that leaves them unchanged. */
    std::optional<EngineSpeedSums> speed = std::nullopt;

    bool operator==(const NodeLoad &) const = default;
};

/** Difference between two reports of a peer's load at an upstream. */
struct LoadChange
{
    std::uint64_t upstreamHash = 0;
    std::int64_t running = 0;
    std::int64_t sensitive = 0;
    TokensByUrgency<std::uint64_t> promptTokens{};
    EngineSpeedSums speed = {};
};

/** All requests that one node got since it started. */
struct NodeDemand
{
    /** Prompt tokens after the shared prefixes. */
    std::uint64_t tolerantTokens = 0;
    std::uint64_t sensitiveTokens = 0;
    std::uint64_t requests = 0;
    std::uint64_t tolerantRequests = 0;
};

} // namespace hawthornslip
