#include "modules/routing/routing_check.h"

#include "core/ascii.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace hawthornslip {

namespace {

/** Checks one configuration and collects its findings. */
class RoutingChecker
{
public:
    explicit RoutingChecker(const RoutingConfig &config)
        : m_config(config)
    {}

    std::vector<RoutingFinding> run()
    {
        for (std::size_t i = 0; i < m_config.services.size(); ++i)
            checkService(m_config.services[i], fmt::format("services[{}]", i));
        for (std::size_t i = 0; i < m_config.routes.size(); ++i)
            checkRoute(m_config.routes[i], fmt::format("routes[{}]", i));
        for (std::size_t i = 0; i < m_config.services.size(); ++i)
            checkUse(m_config.services[i], fmt::format("services[{}]", i));
        checkPriorities();
        checkLimits();
        checkWorkspaces();
        return std::move(m_findings);
    }

private:
    void error(RoutingFlaw flaw, const std::string &path, std::string message)
    {
        m_findings.push_back({flaw, true, path, std::move(message)});
    }

    void warn(RoutingFlaw flaw, const std::string &path, std::string message)
    {
        m_findings.push_back({flaw, false, path, std::move(message)});
    }

    void checkService(const Service &service, const std::string &path)
    {
        const auto [it, added] = m_services.try_emplace(service.name, path);
        if (!added)
            error(RoutingFlaw::Duplicate, path + ".name", "is the same as that of " + it->second);
        if (service.engine && service.engine->slots == 0)
            error(RoutingFlaw::Unusable, path + ".engine.slots", "no request can run");
        if (service.scaling && service.scaling->minUpstreams > service.scaling->maxUpstreams)
            error(RoutingFlaw::Contradiction, path + ".scaling",
                  fmt::format("at least {} upstreams, at most {}", service.scaling->minUpstreams,
                              service.scaling->maxUpstreams));
        if (service.engine && service.engine->slots > service.maxConnections &&
            service.maxConnections > 0)
            warn(RoutingFlaw::Contradiction, path + ".maxConnections",
                 "fewer connections than slots, some of which stay empty");
    }

    void checkUse(const Service &service, const std::string &path)
    {
        if (!m_used.contains(service.name))
            warn(RoutingFlaw::Unused, path, "no route sends requests to it");
    }

    void checkRoute(const Route &route, const std::string &path)
    {
        checkPlace(route, path);
        checkTargets(route, path);
        checkTimes(route, path);
        if (route.maxAttempts == 0)
            error(RoutingFlaw::Unusable, path + ".maxAttempts", "no attempt is allowed");
        if (route.maxAttempts > 1 && !route.isRepeatable())
            warn(RoutingFlaw::Contradiction, path + ".maxAttempts",
                 "more than one, but a request that may have run is not repeated");
        if (route.resumable && route.kind != RouteKind::Streaming)
            error(RoutingFlaw::Contradiction, path + ".resumable", "only a stream can be resumed");
    }

    void checkPlace(const Route &route, const std::string &path)
    {
        if (route.host.empty())
            error(RoutingFlaw::NeverMatches, path + ".host", "is empty");
        const std::string &prefix = route.pathPrefix;
        if (!prefix.starts_with('/') || !prefix.ends_with('/'))
            error(RoutingFlaw::NeverMatches, path + ".pathPrefix",
                  "does not begin and end with a slash");
        const std::string host = toLowerAscii(route.host.substr(0, route.host.find(':')));
        const auto [it, added] = m_places.try_emplace(std::pair(host, prefix), path);
        if (!added) {
            // Of two routes with the same place the later one is used.
            error(RoutingFlaw::NeverMatches, it->second,
                  fmt::format("{} has the same host and prefix and hides it", path));
            it->second = path;
        }
    }

    void checkTargets(const Route &route, const std::string &path)
    {
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < route.targets.size(); ++i) {
            const auto &target = route.targets[i];
            const auto at = fmt::format("{}.targets[{}]", path, i);
            total += target.weight;
            if (!m_services.contains(target.service))
                error(RoutingFlaw::Undefined, at, "service \"" + target.service + "\" is unknown");
            if (target.weight == 0 && route.targets.size() > 1)
                warn(RoutingFlaw::Unused, at, "weight 0: it gets no request");
            if (target.weight > 0)
                m_used.insert(target.service);
        }
        if (total == 0)
            error(RoutingFlaw::Unusable, path + ".targets", "no service gets a request");
    }

    void checkTimes(const Route &route, const std::string &path)
    {
        if (route.timeout <= Duration(0))
            error(RoutingFlaw::Unusable, path + ".timeout", "requests end at once");
        else if (route.objective > route.timeout)
            error(RoutingFlaw::Contradiction, path + ".timeout",
                  fmt::format("{} ms, shorter than the objective of {} ms", toMillis(route.timeout),
                              toMillis(route.objective)));
        if (route.pauseObjective > route.timeout)
            error(RoutingFlaw::Contradiction, path + ".pauseObjective", "longer than the timeout");
        if (route.pauseObjective > Duration(0) && route.kind != RouteKind::Streaming)
            warn(RoutingFlaw::Unused, path + ".pauseObjective", "the answer is no stream");
    }

    void checkPriorities()
    {
        for (std::size_t i = 0; i < m_config.routes.size(); ++i) {
            const auto &route = m_config.routes[i];
            const auto isOvertaken = [&route](const Route &other) {
                return other.priority < route.priority && other.objective > route.objective &&
                       sharesService(route, other);
            };
            const auto &routes = m_config.routes;
            const auto it = std::find_if(routes.begin(), routes.end(), isOvertaken);
            if (it == routes.end())
                continue;
            warn(RoutingFlaw::InvertedPriority, fmt::format("routes[{}].priority", i),
                 fmt::format("routes[{}] goes first at the same service, though its objective is "
                             "longer",
                             it - routes.begin()));
        }
    }

    static bool sharesService(const Route &a, const Route &b)
    {
        return std::any_of(a.targets.begin(), a.targets.end(), [&b](const auto &target) {
            return std::any_of(b.targets.begin(), b.targets.end(), [&target](const auto &it) {
                return it.service == target.service && it.weight > 0 && target.weight > 0;
            });
        });
    }

    void checkLimits()
    {
        const CallerLimits &limits = m_config.limits;
        if (limits.maxHeaderBytes == 0)
            error(RoutingFlaw::Unusable, "limits.maxHeaderBytes", "no request can be read");
        if (limits.headerTimeout <= Duration(0))
            error(RoutingFlaw::Unusable, "limits.headerTimeout", "no request can be read");
        if (limits.idleTimeout <= Duration(0))
            error(RoutingFlaw::Unusable, "limits.idleTimeout", "connections close at once");
        else if (limits.idleTimeout < limits.headerTimeout)
            warn(RoutingFlaw::Contradiction, "limits.idleTimeout",
                 "shorter than the time in which a head may arrive");
    }

    void checkWorkspaces()
    {
        if (!m_config.workspaces)
            return;
        const auto isPublic = [](const Route &it) { return it.isPublic; };
        const bool needsKeys = !std::ranges::all_of(m_config.routes, isPublic);
        if (m_config.workspaces->empty() && needsKeys)
            error(RoutingFlaw::Unusable, "workspaces", "no key is valid, and routes need one");
        for (std::size_t i = 0; i < m_config.workspaces->size(); ++i)
            checkWorkspace((*m_config.workspaces)[i], fmt::format("workspaces[{}]", i));
    }

    void checkWorkspace(const KeyedWorkspace &workspace, const std::string &path)
    {
        const auto [it, added] = m_workspaces.try_emplace(workspace.name, path);
        if (!added)
            error(RoutingFlaw::Duplicate, path + ".name", "is the same as that of " + it->second);
        if (workspace.apiKeys.empty())
            warn(RoutingFlaw::Unused, path, "has no key");
        for (std::size_t i = 0; i < workspace.apiKeys.size(); ++i) {
            const auto at = fmt::format("{}.apiKeys[{}]", path, i);
            if (workspace.apiKeys[i].empty())
                error(RoutingFlaw::Unusable, at, "is empty");
            const auto [held, isNew] = m_keys.try_emplace(workspace.apiKeys[i], at);
            if (!isNew)
                error(RoutingFlaw::Duplicate, at, "is the same key as " + held->second);
        }
    }

    const RoutingConfig &m_config;
    std::vector<RoutingFinding> m_findings;
    /** Paths of the entries by what has to be unique. */
    std::map<std::string, std::string> m_services;
    std::map<std::pair<std::string, std::string>, std::string> m_places;
    std::map<std::string, std::string> m_workspaces;
    std::map<std::string, std::string> m_keys;
    std::set<std::string> m_used;
};

} // namespace

std::vector<RoutingFinding> checkRouting(const RoutingConfig &config)
{
    return RoutingChecker(config).run();
}

} // namespace hawthornslip
