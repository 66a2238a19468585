#pragma once

#include "core/gateway_settings.h"
#include "core/interfaces/connection_probe.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/upstream_client.h"
#include "core/interfaces/usage_sink.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/limits/token_bucket.h"
#include "modules/peers/peer_loads.h"
#include "modules/retry/answer_evidence.h"
#include "modules/routing/route_table.h"
#include "servers/gateway/prompt_guard.h"
#include "servers/gateway/scaling_source.h"
#include "servers/gateway/service_context.h"
#include "servers/gateway/upstream_limits.h"
#include "servers/gateway/version_keeper.h"
#include "servers/state/router_state.h"

#include <functional>
#include <memory>
#include <random>
#include <string_view>
#include <unordered_map>

namespace hawthornslip {

class Exchange;

/** Dependencies of a gateway; all must outlive it. */
struct GatewayParts
{
    EventLoop &loop;
    const WireDialect &dialect;
    UpstreamClient &client;
    ConnectionProbe &probe;
    Metrics &metrics;
};

/**
 * Routes callers' requests to upstreams. Each node decides independently, based on its own requests
 * and on the load reports of its peers.
 */
class Gateway : public RequestSink, public PeerLoadSink, public ScalingSource
{
public:
    Gateway(GatewayParts parts, const GatewaySettings &settings, std::uint64_t seed);
    ~Gateway() override;

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override;
    CallerLimits limits() const override;
    bool isStopping() const override { return m_stopping; }
    void onBadInput(int status, std::string_view cause) override;
    void onConnectionEnd(const ConnectionEnd &end) override;

    /** @return true when this node is ready for new connections. */
    bool isReady() const;

    /** Makes isReady() false before a stop; requests are still served. */
    void beginStop() { m_stopping = true; }

    /**
     * Applies changed time limits and the retry ratio; addresses and the windows of existing retry
     * budgets stay.
     */
    void applySettings(const GatewaySettings &settings);

    RouterState &state() { return m_state; }
    PromptGuard &promptGuard() { return m_promptGuard; }
    UpstreamLimits &upstreamLimits() { return m_upstreamLimits; }
    VersionKeeper &versions() { return m_versions; }

    void onPeerLoad(const LoadChange &change) override;
    void onPeerDemand(std::uint64_t service, const NodeDemand &added) override;
    std::vector<ScaledService> scaledServices() override;
    void onPeerUses(const std::string &sender, std::uint64_t service,
                    const std::vector<WorkspaceUse> &uses) override;
    /** Adds this node's loads and demands to a report. */
    void collectLoads(PeerReport &report) const;
    /** Sets the callback for changes of this node's load at an upstream. */
    void onLoadChanged(std::function<void()> task) { m_loadChanged = std::move(task); }

    /** Sets who counts the requests that upstreams run. @param usage null for none. */
    void setUsageSink(UsageSink *usage) { m_usage = usage; }

    // Used by Exchange.
    GatewayParts &parts() { return m_parts; }
    /** @return the context of @p service, updated with its current upstreams. */
    ServiceContext &serviceContext(const std::string &service);
    /** Schedules runs over the hold queue of @p context until it is empty. */
    void scheduleHoldQueueRun(ServiceContext &context);
    /**
     * Updates the longest timeout seen from callers of @p route.
     *
     * @param left the time that the caller still waits.
     * @return the part of that timeout that the caller spent on earlier attempts.
     */
    Duration spentBefore(const std::string &route, Duration left);
    void notifyLoadChanged();
    /** Records what the head of an answer says about its upstream. */
    void onUpstreamAnswer(const UpstreamId &upstream, const AnswerEvidence &answer);
    /** Refuses requests that arrive from now on, because the process ends soon. */
    void refuseNew() { m_refusing = true; }
    /** Gives all open requests their final answer, because the process ends now. */
    void endRequests();
    void onExchangeDone(const Exchange &exchange) { m_open.erase(&exchange); }
    bool isRefusing() const { return m_refusing; }
    UsageSink *usageSink() const { return m_usage; }
    std::mt19937_64 &random() { return m_random; }
    /** @return false when log lines of @p level about single requests exceed their rate. */
    bool mayLogRequest(LogLevel level);

private:
    /** Tells the keeper of versions which upstreams are listed. */
    void refreshVersions();
    void setRequestLimit(std::uint64_t upstream, std::optional<double> requestsPerSecond);

    GatewayParts m_parts;
    GatewaySettings m_settings;
    RouterState m_state;
    std::mt19937_64 m_random;
    PromptGuard m_promptGuard;
    UpstreamLimits m_upstreamLimits;
    VersionKeeper m_versions;
    /** Revision of the upstream directory that the keeper was last told. */
    std::uint64_t m_versionsRevision = 0;
    StringMap<std::unique_ptr<ServiceContext>> m_services;
    /** Longest timeout seen from callers, by route. */
    StringMap<Duration> m_callerTimeouts;
    bool m_stopping = false;
    bool m_refusing = false;
    std::function<void()> m_loadChanged;
    UsageSink *m_usage = nullptr;
    /** Exchanges without a final answer. */
    std::unordered_map<const Exchange *, std::weak_ptr<Exchange>> m_open;
    TokenBucket m_infoLines;
    TokenBucket m_warningLines;
    std::uint64_t m_droppedLines = 0;
};

} // namespace hawthornslip
