#include "modules/routing/route_table.h"

#include "core/ascii.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

std::string normalizeHost(std::string_view host)
{
    return toLowerAscii(host.substr(0, host.find(':')));
}

} // namespace

RouteTable::RouteTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (const auto &it : m_config.routes)
        m_routes[normalizeHost(it.host)][it.pathPrefix] = &it;
    for (const auto &route : m_config.routes) {
        if (route.pauseObjective == Duration(0))
            continue;
        for (const auto &target : route.targets) {
            const auto found =
                    m_shortestPauseObjectives.emplace(target.service, route.pauseObjective).first;
            found->second = std::min(found->second, route.pauseObjective);
        }
    }
    for (const auto &it : m_config.services)
        m_services[it.name] = &it;
    if (!m_config.workspaces)
        return;
    for (const auto &workspace : *m_config.workspaces) {
        for (const auto &key : workspace.apiKeys)
            m_workspaces[key] = &workspace;
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(normalizeHost(host));
    if (routes == m_routes.end())
        return nullptr;
    // Prefixes end with a slash, so only prefixes of the path that end at a slash are looked up.
    for (auto end = path.rfind('/'); end != std::string_view::npos;) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return found->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const Service *RouteTable::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const KeyedWorkspace *RouteTable::findWorkspace(std::string_view apiKey) const
{
    const auto it = m_workspaces.find(apiKey);
    return it == m_workspaces.end() ? nullptr : it->second;
}

Duration RouteTable::shortestPauseObjective(std::string_view service) const
{
    const auto it = m_shortestPauseObjectives.find(service);
    return it == m_shortestPauseObjectives.end() ? Duration(0) : it->second;
}

const std::string *chooseTarget(const Route &route, std::uint64_t randomValue)
{
    std::uint64_t total = 0;
    for (const auto &it : route.targets)
        total += it.weight;
    if (total == 0)
        return route.targets.empty() ? nullptr : &route.targets.front().service;
    std::uint64_t remaining = randomValue % total;
    for (const auto &it : route.targets) {
        if (remaining < it.weight)
            return &it.service;
        remaining -= it.weight;
    }
    return nullptr;
}

} // namespace hawthornslip
