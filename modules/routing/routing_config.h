#pragma once

#include "core/caller_limits.h"
#include "core/enum_names.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** The shared configuration of the router as all nodes see it. */
namespace hawthornslip {

/** What a route's requests are like, and with that what may be repeated. */
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

inline constexpr EnumNames<RouteKind, 3> kRouteKindNames = {{
        {RouteKind::Idempotent, "idempotent"},
        {RouteKind::NonIdempotent, "non_idempotent"},
        {RouteKind::Streaming, "streaming"},
}};

/** A service that a route leads to, with its part of the requests. */
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/** A set of requests by host and path prefix, and what they are promised. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Longest time a caller is kept waiting for the whole answer. */
    Duration timeout = seconds(15);
    /** Time to the answer, or to the first event of a stream, that counts as in time. */
    Duration objective = seconds(1);
    /** Longest pause between events that counts as in time; zero without streams. */
    Duration pauseObjective{0};
    /** 0 is the most urgent. */
    int priority = 0;
    /** Most upstreams that one request may be sent to. */
    std::uint32_t maxAttempts = 1;
    /** Needs no key. */
    bool isPublic = false;
    /** A stream can be continued at another upstream after its last event. */
    bool resumable = false;

    /** @return true when a request may run more than once. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

/** What the language engines of a service can take. */
struct EngineLimits
{
    /** Requests that run at a time. */
    std::uint32_t slots = 0;
    /** Tokens of prompts and answers that fit into memory. */
    std::uint64_t memoryTokens = 0;
    /** Tokens in one event of a stream. */
    std::uint32_t tokensPerEvent = 1;
};

/** A set of upstreams that do the same work. */
struct Service
{
    std::string name;
    /** Connections that one upstream takes from all callers. */
    std::uint32_t maxConnections = 0;
    /** Set for language engines. */
    std::optional<EngineLimits> engine;
};

/** A workspace with the keys of its callers. */
struct KeyedWorkspace
{
    std::string name;
    std::vector<std::string> apiKeys;
    /** 0 is the most urgent; goes before the priority of the route. */
    int priority = 0;
};

/** One version of the shared configuration. */
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /** Empty: requests need no key. */
    std::vector<KeyedWorkspace> workspaces;
};

} // namespace hawthornslip
