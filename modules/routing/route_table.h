#pragma once

#include "modules/routing/routing_config.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornslip {

/** Transparent string hash, for lookups by string_view without a copy. */
struct StringHash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** A map with string keys that supports lookups by string_view. */
template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/** Lookup tables for the routes, services and workspaces of one configuration version. */
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /**
     * @param host value of the Host header; case-insensitive, a port is ignored.
     * @return the route with the longest prefix of @p path, or nullptr.
     */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @return the service called @p name, or nullptr. */
    const Service *findService(std::string_view name) const;

    /** @return the workspace that @p apiKey belongs to, or nullptr. */
    const KeyedWorkspace *findWorkspace(std::string_view apiKey) const;

    /**
     * @return the shortest pause objective of all routes to @p service, or zero when none of them
     *         has one.
     */
    Duration shortestPauseObjective(std::string_view service) const;

    /** @return true when requests to routes that are not public need an API key. */
    bool requiresApiKeys() const { return m_config.workspaces.has_value(); }

    const RoutingConfig &config() const { return m_config; }

private:
    RoutingConfig m_config;
    /** Routes by host, then by path prefix. */
    StringMap<StringMap<const Route *>> m_routes;
    StringMap<const Service *> m_services;
    StringMap<const KeyedWorkspace *> m_workspaces;
    StringMap<Duration> m_shortestPauseObjectives;
};

/**
 * Chooses a target at random by weight.
 *
 * @param randomValue a uniformly distributed random number.
 * @return the service for one request, or nullptr when @p route has no targets.
 */
const std::string *chooseTarget(const Route &route, std::uint64_t randomValue);

} // namespace hawthornslip
