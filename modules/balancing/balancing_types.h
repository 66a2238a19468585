#pragma once

#include "core/time.h"
#include "modules/balancing/engine_partition.h"
#include "modules/balancing/prefill_queue.h"
#include "modules/upstreams/upstream_directory.h"

#include <cstdint>
#include <string>

/** What requests ask of the upstreams of a service, and what nodes tell each other of them. */
namespace hawthornslip {

/** What one request asks of an upstream. */
struct RequestDemand
{
    /** Names the part of the prompt that other requests share; 0 without one. */
    std::uint64_t affinityKey = 0;
    /** Tokens of the shared part. */
    std::uint32_t sharedTokens = 0;
    /** Tokens that only this request has. */
    std::uint32_t ownTokens = 0;
    /** 0 is the most urgent; below kUrgencyLevels. */
    std::size_t urgency = 0;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
};

/** Where a request would go, and what it would meet there. */
struct RequestPlacement
{
    UpstreamEntry upstream;
    std::size_t urgency = 0;
    /** Time until the engine begins to read the prompt. */
    Duration wait{0};
    /** Time that the engine takes to read the prompt. */
    Duration prefillTime{0};
    /** Tokens of the prompt that the engine probably has to read. */
    double prefillTokens = 0;
    /** The engine is one of those that the other kind of requests goes to. */
    bool isOutsidePartition = false;
    /** Place among the prompt's preferred upstreams, 0 the first; their number when it is none. */
    std::size_t preferenceRank = 0;
    /** The engine has no slot for it now. */
    bool isFull = false;
    PauseTolerance tolerance = PauseTolerance::Sensitive;
    /** Part of the upstreams for its kind of request that have no slot, from 0 to 1. */
    double fullFraction = 0;
    /** Address of another upstream that probably keeps the shared prompt; empty without one. */
    std::string kvSourceAddress;
};

/** How an attempt at an upstream ended, as far as it tells about the upstream. */
enum class AttemptOutcome {
    Succeeded,
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
    std::uint64_t upstreamHash = 0;
    std::uint32_t running = 0;
    /** Those of them whose callers notice short pauses. */
    std::uint32_t sensitive = 0;
    /** Prompt tokens sent since the node's start. */
    TokensByUrgency<std::uint64_t> promptTokens{};

    bool operator==(const NodeLoad &) const = default;
};

/** What changed in a peer's load at an upstream. */
struct LoadChange
{
    std::uint64_t upstreamHash = 0;
    std::int64_t running = 0;
    std::int64_t sensitive = 0;
    TokensByUrgency<std::uint64_t> promptTokens{};
};

/** Prompt tokens that one node was asked for since its start. */
struct NodeDemand
{
    std::uint64_t tolerantTokens = 0;
    std::uint64_t sensitiveTokens = 0;
};

} // namespace hawthornslip
