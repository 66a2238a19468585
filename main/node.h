#pragma once

#include "core/settings.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/http/ulfius_http_server.h"
#include "drivers/prometheus/prometheus_metrics.h"
#include "drivers/system/system_clock.h"
#include "drivers/zeromq/zeromq_transport.h"
#include "main/node_operator_backend.h"
#include "servers/admission/admission_service.h"
#include "servers/caller/caller_service.h"
#include "servers/claims/claim_service.h"
#include "servers/config/config_service.h"
#include "servers/lifecycle/lifecycle_service.h"
#include "servers/membership/membership_service.h"
#include "servers/membership/upstream_vm_filter.h"
#include "servers/operator/operator_service.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"
#include "servers/placement/placed_config_source.h"
#include "servers/placement/placement_service.h"
#include "servers/request_path/budgeted_retry_limiter.h"
#include "servers/request_path/request_path.h"
#include "servers/request_path/shared_rate_limiter.h"

#include <memory>
#include <optional>

namespace hawthornslip {

/** A node: creates its services and connects them. */
class Node
{
public:
    explicit Node(const Settings &settings);
    /** Stops without draining unless stop() was called. */
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts all services. @return false when a listener cannot be started, which is logged. */
    bool start();

    /** Drains the node and stops it; returns when the last stream has ended. */
    void stop();

    /** @return the id of this node, its peer address. */
    const NodeId &id() const { return m_bus.self(); }

    /** @return the port of the caller interface, after start(). */
    std::uint16_t callerPort() const { return m_callerServer.port(); }
    /** @return the port of the operator interface, after start(). */
    std::uint16_t operatorPort() const { return m_operatorServer.port(); }

private:
    static HttpServerSettings callerServer(const CallerSettings &settings);
    static HttpServerSettings operatorServer(const OperatorSettings &settings);
    static MembershipServiceOptions membershipOptions(const Settings &settings);
    static std::unique_ptr<VmList> makeVmList(const Settings &settings, UpstreamClient &client);
    bool startListeners();
    /** Stops all threads; the services stay, because cancelled calls still invoke callbacks. */
    void stopThreads();
    void scheduleHousekeeping();
    void submitInitialConfig();
    void submitInitialConfigIfMissing();
    bool isReadyForCallers() const;
    /** @return number of requests in progress, or of claims whose outcome can still be stored. */
    std::size_t activeWork();
    NodeOperatorBackend::Facts facts() const;

    const Settings m_settings;
    SystemClock m_clock;
    PrometheusMetrics m_metrics;
    const std::uint64_t m_incarnation;
    ControlLoop m_loop;
    // Platform and upstream calls use separate loops, so that token traffic never delays a claim.
    std::unique_ptr<CurlUpstreamClient> m_platformClient;
    std::unique_ptr<CurlUpstreamClient> m_upstreamClient;
    std::unique_ptr<ObjectStore> m_store;
    std::unique_ptr<VmList> m_platformVms;
    UpstreamVmFilter m_vmList;
    ZeromqTransport m_transport;
    PeerBus m_bus;
    MembershipService m_membership;
    ConfigService m_config;
    ClaimService m_claims;
    PlacementService m_placement;
    PlacedConfigSource m_placedConfig;
    AdmissionService m_admission;
    BudgetedRetryLimiter m_retries;
    SharedRateLimiter m_rates;
    AnswerStore m_answers;
    RequestPath m_path;
    CallerService m_caller;
    UlfiusHttpServer m_callerServer;
    UlfiusHttpServer m_operatorServer;
    NodeOperatorBackend m_operatorBackend;
    OperatorService m_operators;
    LifecycleService m_lifecycle;
    /** Time since which a draining node has had no request; control thread only. */
    std::optional<TimePoint> m_idleSince;
    /** Whether the initial configuration was submitted; control thread only. */
    bool m_initialConfigSubmitted = false;
    bool m_started = false;
};

} // namespace hawthornslip
