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

/** Times and bounds of placement. */
struct PlacementServiceOptions
{
    LeaseOptions lease;
    PlacementOptions planner;
    OrderOptions orders;
    Duration tick = milliseconds(250);
    Duration planInterval = seconds(2);
    /** How often a node reports its demand. */
    Duration demandInterval = seconds(5);
    /** A node's report counts this long. */
    Duration demandLifetime = seconds(15);
    /** How often the holder tells its version to all nodes. */
    Duration announceInterval = seconds(10);
    /** Nodes of a domain that try to hold its lease. */
    std::size_t contenders = 2;
};

/** What the placement of a domain works with. */
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
    /** Gets the upstreams whose models changed. */
    using Publish = std::function<void(const std::set<UpstreamId> &changed)>;

    DomainPlacement(FailureDomain domain, NodeId self, std::uint64_t incarnation,
                    PlacementContext context, const PlacementServiceOptions &options,
                    Publish publish);

    /** Sets whether this node tries to hold the lease. */
    void setWanted(bool wanted);

    /** Renews the lease, plans and gives orders. */
    void tick(const std::map<ModelName, double> &demand);

    /** @return the lease, when it is in force and the state was read. */
    std::optional<HeldLease> active() const;

    /** @return the models that each upstream serves and is to go on serving. */
    std::map<UpstreamId, std::vector<ModelName>> served() const;

private:
    void run(const LeaseActions &actions);
    void perform(const ReadLease &action);
    void perform(const WriteLease &action);
    void perform(const LeaseAcquired &action);
    void perform(const LeaseLost &action);
    void perform(const WakeLease & /*action*/) {}

    void readState();
    void stateRead(std::uint64_t fencing, const StoreResult &result);
    bool addConfigured(PlacementState &state) const;
    std::vector<PlacementCandidate> candidates() const;
    std::vector<ModelName> configuredModels() const;
    void plan(const std::map<ModelName, double> &demand);
    void writeState(PlacementState next);
    void stateWritten(std::uint64_t fencing, const StoreResult &result);
    void useState(PlacementState state);
    void giveOrders();
    void send(const UpstreamOrder &order, const std::string &url);
    void finished(const UpstreamOrder &order, OrderResult result);
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
    PlacementState m_writing;
    bool m_loaded = false;
    bool m_busy = false;
    /** All upstreams were announced under this lease; later only changes are. */
    bool m_published = false;
    /** The last call to the store failed: nothing is ordered until one succeeds. */
    bool m_storeFailed = false;
    TimePoint m_planAt;
    /** Results that come after this object is gone are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
