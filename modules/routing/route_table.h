#pragma once

#include "modules/routing/routing_config.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornslip {

/** Hashes text without a copy, for look-ups by string_view. */
struct StringHash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** A map from text that is searched by string_view. */
template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/** Finds routes, services and workspaces of one version of the configuration. */
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /**
     * @param host value of the Host header; its case and a port do not matter.
     * @return the route with the longest prefix that begins @p path, or nullptr.
     */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @return the service called @p name, or nullptr. */
    const Service *findService(std::string_view name) const;

    /** @return the workspace that holds @p apiKey, or nullptr. */
    const KeyedWorkspace *findWorkspace(std::string_view apiKey) const;

    /**
     * @return the shortest pause objective of all streams that @p service gets, or zero without
     *         one.
     */
    Duration shortestPauseObjective(std::string_view service) const;

    /** @return true when requests need a key unless their route is public. */
    bool requiresApiKeys() const { return !m_config.workspaces.empty(); }

    const RoutingConfig &config() const { return m_config; }

private:
    RoutingConfig m_config;
    /** By host, then by prefix. */
    StringMap<StringMap<const Route *>> m_routes;
    StringMap<const Service *> m_services;
    StringMap<const KeyedWorkspace *> m_workspaces;
    StringMap<Duration> m_shortestPauseObjectives;
};

/**
 * @param randomValue a uniformly distributed number.
 * @return the service of @p route for one request by the weights, or nullptr without targets.
 */
const std::string *chooseTarget(const Route &route, std::uint64_t randomValue);

} // namespace hawthornslip
