#pragma once

#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "core/interfaces/upstream_client.h"
#include "modules/lease/lease_manager.h"
#include "modules/placement/order_dispatcher.h"
#include "modules/placement/placement_planner.h"
#include "servers/config/config_source.h"
#include "servers/peer/control_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip {

/** Intervals and limits of placement. */
struct PlacementServiceOptions
{
    LeaseOptions lease;
    PlacementOptions planner;
    OrderOptions orders;
    Duration tickInterval = milliseconds(250);
    Duration planInterval = seconds(2);
    /** Interval at which a node reports its demand. */
    Duration demandInterval = seconds(5);
    /** Age at which a node's demand report expires. */
    Duration demandLifetime = seconds(15);
    /** Interval at which the lease holder announces its revision to all nodes. */
    Duration announceInterval = seconds(10);
    /** Number of nodes that compete for the lease of a domain. */
    std::size_t contenders = 2;
};

/** The services that DomainPlacement uses. */
struct PlacementContext
{
    ControlLoop &loop;
    ObjectStore &store;
    UpstreamClient &client;
    const ConfigSource &config;
    Metrics &metrics;
};

/**
 * Places models on the upstreams of one failure domain while this node holds the domain's lease.
 * Runs on the control thread.
 */
class DomainPlacement
{
public:
    /** Called with the upstreams whose models changed. */
    using Publish = std::function<void(const std::set<UpstreamId> &changed)>;

    DomainPlacement(FailureDomain domain, NodeId self, std::uint64_t incarnation,
                    PlacementContext context, const PlacementServiceOptions &options,
                    Publish publish);

    /** Sets whether this node competes for the lease; if not, it gives the lease up. */
    void setWanted(bool wanted);

    /** Renews the lease, plans and sends orders, given the demand in requests by model. */
    void tick(const std::map<ModelName, double> &demand);

    /** @return the lease if this node holds it and has read the state. */
    std::optional<HeldLease> active() const;

    /** @return the models of each upstream that are both applied and desired. */
    std::map<UpstreamId, std::vector<ModelName>> served() const;

private:
    void performAll(const LeaseActions &actions);
    void perform(const ReadLease &action);
    void perform(const WriteLease &action);
    void perform(const LeaseAcquired &action);
    void perform(const LeaseLost &action);
    void perform(const WakeLease & /*action*/) {}

    void readState();
    void onStateRead(std::uint64_t fencing, const StoreResult &result);
    bool syncWithConfig(PlacementState &state) const;
    std::vector<PlacementCandidate> candidates() const;
    std::vector<ModelName> configuredModels() const;
    void plan(const std::map<ModelName, double> &demand);
    void writeState(PlacementState next);
    void onStateWritten(std::uint64_t fencing, const StoreResult &result);
    void adoptState(PlacementState state);
    void sendOrders();
    void sendOrder(const UpstreamOrder &order, const std::string &url);
    void onOrderFinished(const UpstreamOrder &order, OrderResult result);
    std::string objectKey() const { return "placement/" + m_domain.value; }
    std::string leaseKey() const { return "leases/placement-" + m_domain.value; }

    FailureDomain m_domain;
    PlacementContext m_context;
    PlacementServiceOptions m_options;
    Publish m_publish;
    LeaseManager m_lease;
    PlacementPlanner m_planner;
    OrderDispatcher m_dispatcher;
    PlacementState m_state;
    std::uint64_t m_version = 0;
    PlacementState m_pendingState;
    bool m_stateLoaded = false;
    bool m_stateCallPending = false;
    /** All upstreams were published under this lease; from then on only changes are. */
    bool m_allPublished = false;
    /** The last lease write or state access failed: no order is sent until one succeeds. */
    bool m_storeFailed = false;
    TimePoint m_nextPlanAt;
    /** Expires with this object, so that later results are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
