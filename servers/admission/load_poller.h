#pragma once

#include "core/interfaces/upstream_client.h"
#include "servers/config/config_source.h"
#include "servers/peer/control_loop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace hawthornslip {

/** What an engine says about its load. */
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/** @return the load in the body of an answer to `GET /load`, or nothing when it is malformed. */
std::optional<EngineLoad> parseEngineLoad(std::string_view body);

/** Asks the engines of the groups that this node owns for their load. */
class LoadPoller
{
public:
    /** @return the upstreams to ask; called on the control thread. */
    using Targets = std::function<std::vector<UpstreamId>()>;
    /** Takes the load of an upstream; called on the control thread. */
    using Report = std::function<void(const UpstreamId &, const EngineLoad &)>;

    /** All references outlive this object; the client ends its calls before this object goes. */
    LoadPoller(ControlLoop &loop, UpstreamClient &client, const ConfigSource &config,
               Targets targets, Report report);

    /** Starts to ask; call once. */
    void start();

    /** Asks each target that has no question in progress; control thread only. */
    void poll();

private:
    void ask(const Upstream &upstream);
    void finish(const UpstreamId &upstream, const std::optional<EngineLoad> &load);

    ControlLoop &m_loop;
    UpstreamClient &m_client;
    const ConfigSource &m_config;
    Targets m_targets;
    Report m_report;
    std::unordered_set<UpstreamId> m_asked;
};

} // namespace hawthornslip
