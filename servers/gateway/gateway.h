#pragma once

#include "core/gateway_settings.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/limits/token_bucket.h"
#include "modules/peers/peer_loads.h"
#include "modules/routing/route_table.h"
#include "servers/gateway/service_context.h"
#include "servers/state/router_state.h"

#include <functional>
#include <memory>
#include <random>
#include <string_view>

namespace hawthornslip {

/** What a gateway works with; all outlive it. */
struct GatewayParts
{
    EventLoop &loop;
    const WireDialect &dialect;
    UpstreamClient &client;
    Metrics &metrics;
};

/**
 * Takes callers' requests, finds their route and sends them on. Each node decides alone, from its
 * own requests and from what its peers tell about theirs.
 */
class Gateway : public RequestSink, public PeerLoadSink
{
public:
    Gateway(GatewayParts parts, const GatewaySettings &settings, std::uint64_t seed);
    ~Gateway() override;

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<AnswerWriter> writer) override;
    CallerLimits limits() const override;
    bool isStopping() const override { return m_stopping; }
    void onBadInput(int status, std::string_view cause) override;

    /** @return true when the platform should send new connections. */
    bool isReady() const;

    /** Turns the gateway unready; requests are still served. */
    void beginStop() { m_stopping = true; }

    /** Takes the bounds of changed settings; addresses and the budget's window stay. */
    void applySettings(const GatewaySettings &settings);

    RouterState &state() { return m_state; }

    void onPeerLoad(const LoadChange &change) override;
    void onPeerDemand(std::uint64_t service, const NodeDemand &added) override;
    /** Adds this node's loads and demands to a report. */
    void collectLoads(PeerReport &report) const;
    /** Sets what runs when this node's load at an upstream changed. */
    void onLoadChanged(std::function<void()> task) { m_loadChanged = std::move(task); }

    // For exchanges.
    GatewayParts &parts() { return m_parts; }
    /** @return the context of @p service with its present upstreams. */
    ServiceContext &serviceContext(const std::string &service);
    /** Offers held requests of @p context a place from time to time. */
    void scheduleHoldQueueRun(ServiceContext &context);
    /**
     * Learns how long callers of @p route wait in all.
     *
     * @return how much of that a caller with @p left has spent on earlier tries.
     */
    Duration spentBefore(const std::string &route, Duration left);
    void notifyLoadChanged();
    /** Refuses requests that arrive from now on: the process ends soon. */
    void refuseNew() { m_refusing = true; }
    bool isRefusing() const { return m_refusing; }
    std::mt19937_64 &random() { return m_random; }
    /** @return false when lines of @p level for single requests are over their rate. */
    bool mayLogRequest(LogLevel level);

private:
    GatewayParts m_parts;
    GatewaySettings m_settings;
    RouterState m_state;
    std::mt19937_64 m_random;
    TextMap<std::unique_ptr<ServiceContext>> m_services;
    /** By route, the longest time that callers were seen to wait. */
    TextMap<Duration> m_callerTimeouts;
    bool m_stopping = false;
    bool m_refusing = false;
    std::function<void()> m_loadChanged;
    TokenBucket m_infoLines;
    TokenBucket m_warningLines;
    std::uint64_t m_droppedLines = 0;
};

} // namespace hawthornslip
