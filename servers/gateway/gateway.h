#pragma once

#include "core/gateway_settings.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/limits/token_bucket.h"
#include "modules/routing/route_table.h"
#include "servers/gateway/service_lane.h"
#include "servers/state/router_state.h"

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
 * Takes callers' requests, finds their route and sends them on. It shares nothing with other nodes
 * but what the store holds: each decision is made from the node's own requests.
 */
class Gateway : public RequestSink
{
public:
    Gateway(GatewayParts parts, const GatewaySettings &settings, std::uint64_t seed);
    ~Gateway() override;

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<AnswerWriter> writer) override;
    CallerBounds bounds() const override;
    bool isStopping() const override { return m_stopping; }
    void onBadInput(int status, std::string_view cause) override;

    /** @return true when the platform should send new connections. */
    bool isReady() const;

    /** Turns the gateway unready; requests are still served. */
    void beginStop() { m_stopping = true; }

    RouterState &state() { return m_state; }

    // For exchanges.
    GatewayParts &parts() { return m_parts; }
    /** @return the lane of @p service with its present upstreams. */
    ServiceLane &lane(const std::string &service);
    std::mt19937_64 &random() { return m_random; }
    /** @return false when lines of @p level for single requests are over their rate. */
    bool mayLogRequest(LogLevel level);

private:
    GatewayParts m_parts;
    GatewaySettings m_settings;
    RouterState m_state;
    std::mt19937_64 m_random;
    TextMap<std::unique_ptr<ServiceLane>> m_lanes;
    bool m_stopping = false;
    TokenBucket m_plainLines;
    TokenBucket m_failureLines;
    std::uint64_t m_droppedLines = 0;
};

} // namespace hawthornslip
