#include "modules/routing/routing_diff.h"

#include "core/ascii.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace hawthornslip {

namespace {

/** The fields of an entry by name, as text. */
using Fields = std::map<std::string, std::string>;

std::string millis(Duration time)
{
    return fmt::format("{} ms", toMillis(time));
}

Fields fieldsOf(const Route &route)
{
    Fields fields{{"kind", std::string(nameOf(kRouteKindNames, route.kind))},
                  {"timeout", millis(route.timeout)},
                  {"objective", millis(route.objective)},
                  {"pause objective", millis(route.pauseObjective)},
                  {"priority", std::to_string(route.priority)},
                  {"attempts", std::to_string(route.maxAttempts)},
                  {"public", route.isPublic ? "yes" : "no"},
                  {"resumable", route.resumable ? "yes" : "no"}};
    for (const auto &it : route.targets)
        fields["weight of " + it.service] = std::to_string(it.weight);
    return fields;
}

Fields fieldsOf(const Service &service)
{
    Fields fields{{"connections", std::to_string(service.maxConnections)}};
    if (service.engine) {
        fields["slots"] = std::to_string(service.engine->slots);
        fields["memory"] = fmt::format("{} tokens", service.engine->memoryTokens);
        fields["tokens an event"] = std::to_string(service.engine->tokensPerEvent);
    }
    if (service.scaling) {
        fields["least upstreams"] = std::to_string(service.scaling->minUpstreams);
        fields["most upstreams"] = std::to_string(service.scaling->maxUpstreams);
        fields["start time"] = millis(service.scaling->startTime);
    }
    return fields;
}

Fields fieldsOf(const CallerLimits &limits)
{
    return {{"header", fmt::format("{} bytes", limits.maxHeaderBytes)},
            {"body", fmt::format("{} bytes", limits.maxBodyBytes)},
            {"header timeout", millis(limits.headerTimeout)},
            {"idle timeout", millis(limits.idleTimeout)}};
}

std::string valueOf(const Fields &fields, const std::string &name)
{
    const auto it = fields.find(name);
    return it == fields.end() ? "none" : it->second;
}

void diffFields(const std::string &entry, const Fields &before, const Fields &after,
                std::vector<std::string> &lines)
{
    Fields all = before;
    all.insert(after.begin(), after.end());
    for (const auto &[name, value] : all) {
        const auto old = valueOf(before, name);
        const auto now = valueOf(after, name);
        if (old != now)
            lines.push_back(fmt::format("{}: {} {} -> {}", entry, name, old, now));
    }
}

void diffEntries(const std::map<std::string, Fields> &before,
                 const std::map<std::string, Fields> &after, std::vector<std::string> &lines)
{
    for (const auto &[name, fields] : before) {
        const auto it = after.find(name);
        if (it == after.end())
            lines.push_back(name + ": removed");
        else
            diffFields(name, fields, it->second, lines);
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name))
            lines.push_back(name + ": added");
    }
}

std::map<std::string, Fields> entriesOf(const RoutingConfig &config)
{
    std::map<std::string, Fields> entries;
    for (const auto &it : config.routes)
        entries[fmt::format("route {}{}", toLowerAscii(it.host), it.pathPrefix)] = fieldsOf(it);
    for (const auto &it : config.services)
        entries["service " + it.name] = fieldsOf(it);
    entries["limits"] = fieldsOf(config.limits);
    for (const auto &it : config.workspaces.value_or(std::vector<KeyedWorkspace>()))
        entries["workspace " + it.name] = {{"priority", std::to_string(it.priority)}};
    return entries;
}

std::map<std::string, std::set<std::string>> keysOf(const RoutingConfig &config)
{
    std::map<std::string, std::set<std::string>> keys;
    for (const auto &it : config.workspaces.value_or(std::vector<KeyedWorkspace>()))
        keys[it.name].insert(it.apiKeys.begin(), it.apiKeys.end());
    return keys;
}

std::size_t countMissing(const std::set<std::string> &from, const std::set<std::string> &in)
{
    return static_cast<std::size_t>(std::count_if(
            from.begin(), from.end(), [&in](const auto &it) { return !in.contains(it); }));
}

} // namespace

std::vector<std::string> diffRouting(const RoutingConfig &before, const RoutingConfig &after)
{
    std::vector<std::string> lines;
    diffEntries(entriesOf(before), entriesOf(after), lines);
    if (before.workspaces.has_value() != after.workspaces.has_value())
        lines.emplace_back(after.workspaces ? "callers need keys" : "callers need no keys");
    const auto oldKeys = keysOf(before);
    for (const auto &[workspace, keys] : keysOf(after)) {
        const auto it = oldKeys.find(workspace);
        if (it == oldKeys.end())
            continue;
        const std::size_t added = countMissing(keys, it->second);
        const std::size_t removed = countMissing(it->second, keys);
        if (added + removed > 0)
            lines.push_back(fmt::format("workspace {}: {} keys added, {} removed", workspace, added,
                                        removed));
    }
    return lines;
}

} // namespace hawthornslip
