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
 * Runs placement on this node: competes for the leases of the failure domains that it is a
 * contender of, reports this node's demand, and keeps what the lease holders of all domains
 * announce.
 *
 * Schedulers learn the models of the upstreams from PlacementUpdate messages: the holder sends a
 * change to every node at once and its revision every 10 s, and a node that missed a change pulls
 * the full placement.
 */
class PlacementService : public PlacementSource
{
public:
    /** Returns this node's in-flight and queued requests by group; runs on the control thread. */
    using DemandProvider = std::function<std::map<GroupId, double>()>;

    /** All references must outlive this object; stop @p loop before destroying it. */
    PlacementService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                     ObjectStore &store, UpstreamClient &client, const ConfigSource &config,
                     Metrics &metrics, DemandProvider demand, PlacementServiceOptions options = {});

    const std::vector<ModelName> *modelsOf(const UpstreamId &upstream) const override;
    void subscribe(Listener listener) override;

    /** Stops competing for leases and releases those held, for a planned stop. */
    void stop();

    /** @return the lease of @p domain if this node holds it and has read the state. */
    std::optional<HeldLease> leaseOf(const FailureDomain &domain) const;

private:
    /** The placement that the lease holder of a domain last announced. */
    struct AnnouncedPlacement
    {
        std::uint64_t fencing = 0;
        std::uint64_t revision = 0;
        std::map<UpstreamId, std::vector<ModelName>> models;
    };

    struct Report
    {
        TimePoint receivedAt;
        std::map<ModelName, double> demand;
    };

    std::set<FailureDomain> domains() const;
    std::vector<NodeId> contenders(const FailureDomain &domain) const;
    void updateWanted();
    void tick();
    void reportDemand();
    /** @return the models of all language upstreams; application routes cannot be placed. */
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
    DemandProvider m_demandProvider;
    PlacementServiceOptions m_options;
    bool m_stopping = false;
    std::map<FailureDomain, std::unique_ptr<DomainPlacement>> m_domains;
    std::map<FailureDomain, AnnouncedPlacement> m_announced;
    std::map<FailureDomain, std::map<NodeId, Report>> m_reports;
    std::vector<Listener> m_listeners;
};

} // namespace hawthornslip
