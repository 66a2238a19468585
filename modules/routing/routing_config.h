#pragma once

#include "core/caller_limits.h"
#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** The routing configuration that all nodes share. */
namespace hawthornslip {

/** The kind of a route's requests, which determines whether they may be retried. */
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

inline constexpr EnumNames<RouteKind, 3> kRouteKindNames = {{
        {RouteKind::Idempotent, "idempotent"},
        {RouteKind::NonIdempotent, "non_idempotent"},
        {RouteKind::Streaming, "streaming"},
}};

/** A target service of a route and its share of the requests. */
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/** Matches requests by host and path prefix and defines their objectives and limits. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Longest time until the complete response. */
    Duration timeout = seconds(15);
    /** Latency objective to the response, or to the first event of a stream. */
    Duration objective = seconds(1);
    /** Objective for the pause between two events of a stream; zero for none. */
    Duration pauseObjective{0};
    /** 0 is the most urgent. */
    int priority = 0;
    /** Largest number of upstreams that one request may be sent to. */
    std::uint32_t maxAttempts = 1;
    /** Requests need no API key. */
    bool isPublic = false;
    /** A stream can be continued at another upstream after its last event. */
    bool resumable = false;

    /** @return true when a request may be executed more than once. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

/** Capacity of each language-model engine of a service. */
struct EngineLimits
{
    /** Requests that run concurrently. */
    std::uint32_t slots = 0;
    /** Prompt and response tokens that fit into memory. */
    std::uint64_t memoryTokens = 0;
    /** Tokens in one event of a stream. */
    std::uint32_t tokensPerEvent = 1;
};

/** Terms on which the provider adds and removes upstreams of a service. */
struct ScalingPolicy
{
    /** Bounds of the upstreams in each failure domain, ordinary and reclaimable ones together. */
    std::uint32_t minUpstreams = 0;
    std::uint32_t maxUpstreams = 0;
    /** Time until an ordered upstream takes requests. */
    Duration startTime = seconds(5);
    /** Price of a reclaimable upstream as a fraction of an ordinary one's; none are on offer
     * without it. */
    std::optional<double> reclaimablePrice;
    /** Price of an upstream by failure domain; domains that are missing cost 1. */
    std::map<FailureDomain, double> domainPrices;

    bool operator==(const ScalingPolicy &) const = default;
};

/** A set of interchangeable upstreams. */
struct Service
{
    std::string name;
    /** Connections that one upstream accepts in total. */
    std::uint32_t maxConnections = 0;
    /** Set for language engines. */
    std::optional<EngineLimits> engine;
    /** Set when upstreams of the service can be ordered. */
    std::optional<ScalingPolicy> scaling;
};

/** A workspace with the keys of its callers. */
struct KeyedWorkspace
{
    std::string name;
    std::vector<std::string> apiKeys;
    /** 0 is the most urgent; takes precedence over the priority of the route. */
    int priority = 0;
};

/** One version of the shared configuration. */
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /** Without a value, requests need no API key; with an empty list, no key is valid. */
    std::optional<std::vector<KeyedWorkspace>> workspaces;
};

} // namespace hawthornslip
