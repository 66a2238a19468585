#pragma once

#include "servers/membership/membership_source.h"
#include "servers/peer/peer_bus.h"
#include "servers/placement/domain_placement.h"
#include "servers/placement/placement_source.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hawthornslip {

/**
 * Placement on this node: tries for the leases of the failure domains it is a contender of, reports
 * this node's demand, and keeps what all domains' holders announce.
 *
 * The models that upstreams serve reach the schedulers by the message PlacementUpdate: a change is
 * sent to every node at once, the version every 10 s, and a node that missed a change pulls all.
 */
class PlacementService : public PlacementSource
{
public:
    /** Gives this node's requests in flight or waiting by group; runs on the control thread. */
    using Demand = std::function<std::map<GroupId, double>()>;

    /** All references have to outlive this object; the loop is stopped before it is destroyed. */
    PlacementService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                     ObjectStore &store, UpstreamClient &client, const ConfigSource &config,
                     Metrics &metrics, Demand demand, PlacementServiceOptions options = {});

    const std::vector<ModelName> *modelsOf(const UpstreamId &upstream) const override;
    void subscribe(Listener listener) override;

    /** Gives up all leases, for a planned stop. */
    void stop();

    /** @return the lease of @p domain when this node holds it and acts on it. */
    std::optional<HeldLease> leaseOf(const FailureDomain &domain) const;

private:
    /** What is known of a domain from its holder. */
    struct Announced
    {
        std::uint64_t fencing = 0;
        std::uint64_t revision = 0;
        std::map<UpstreamId, std::vector<ModelName>> models;
    };

    struct Report
    {
        TimePoint at;
        std::map<ModelName, double> demand;
    };

    std::set<FailureDomain> domains() const;
    std::vector<NodeId> contenders(const FailureDomain &domain) const;
    void updateWanted();
    void tick();
    void reportDemand();
    /** @return the models of all engines; the routes of applications cannot be placed. */
    std::set<ModelName> languageModels() const;
    std::map<ModelName, double> demandOf(const FailureDomain &domain);
    void publish(const FailureDomain &domain, const std::set<UpstreamId> &changed);
    void announce(const FailureDomain &domain, const std::set<UpstreamId> *changed,
                  const std::vector<NodeId> &to);
    void onDemand(const NodeId &sender, const peer::DemandReport &report);
    void onUpdate(const NodeId &sender, const peer::PlacementUpdate &update);
    void onPull(const NodeId &sender, const peer::PlacementPull &pull);
    std::vector<NodeId> otherNodes() const;

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipSource &m_membership;
    const ConfigSource &m_config;
    PlacementContext m_context;
    Demand m_demand;
    PlacementServiceOptions m_options;
    bool m_stopping = false;
    std::map<FailureDomain, std::unique_ptr<DomainPlacement>> m_domains;
    std::map<FailureDomain, Announced> m_announced;
    std::map<FailureDomain, std::map<NodeId, Report>> m_reports;
    std::vector<Listener> m_listeners;
};

} // namespace hawthornslip
