#include "servers/placement/placement_service.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

PlacementService::PlacementService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                                   ObjectStore &store, UpstreamClient &client,
                                   const ConfigSource &config, Metrics &metrics,
                                   DemandProvider demand, PlacementServiceOptions options)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
    , m_config(config)
    , m_context{loop, store, client, config, metrics}
    , m_demandProvider(std::move(demand))
    , m_options(options)
{
    using Body = peer::Envelope::BodyCase;
    m_bus.handle(Body::kDemandReport, [this](const NodeId &sender, const auto &it) {
        onDemand(sender, it.demand_report());
    });
    m_bus.handle(Body::kPlacementUpdate, [this](const NodeId &sender, const auto &it) {
        onUpdate(sender, it.placement_update());
    });
    m_bus.handle(Body::kPlacementPull, [this](const NodeId &sender, const auto &it) {
        onPull(sender, it.placement_pull());
    });
    m_loop.every(m_options.tickInterval, [this] { tick(); });
    m_loop.every(m_options.demandInterval, [this] { reportDemand(); });
    m_loop.every(m_options.announceInterval, [this] {
        for (const auto &[domain, placement] : m_domains)
            announce(domain, nullptr, otherNodes());
    });
}

const std::vector<ModelName> *PlacementService::modelsOf(const UpstreamId &upstream) const
{
    for (const auto &[domain, announced] : m_announced) {
        if (const auto it = announced.models.find(upstream); it != announced.models.end())
            return &it->second;
    }
    return nullptr;
}

void PlacementService::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void PlacementService::stop()
{
    m_stopping = true;
    updateWanted();
}

std::optional<HeldLease> PlacementService::leaseOf(const FailureDomain &domain) const
{
    const auto it = m_domains.find(domain);
    return it == m_domains.end() ? std::nullopt : it->second->active();
}

std::set<FailureDomain> PlacementService::domains() const
{
    std::set<FailureDomain> all;
    for (const auto &it : m_config.current()->upstreams) {
        if (it.kind == UpstreamKind::Language)
            all.insert(it.domain);
    }
    return all;
}

std::vector<NodeId> PlacementService::contenders(const FailureDomain &domain) const
{
    std::vector<NodeId> nodes;
    for (const auto &it : m_membership.liveNodes()) {
        if (!it.leaving && it.domain == domain)
            nodes.push_back(it.node);
    }
    // A domain without live nodes may still have upstreams, so nodes of other domains compete.
    if (nodes.empty())
        nodes = m_membership.ownerCandidates();
    return rendezvousOrder("placement/" + domain.value, nodes, m_options.contenders);
}

void PlacementService::updateWanted()
{
    for (const auto &domain : domains()) {
        const auto nodes = contenders(domain);
        const bool wanted =
                !m_stopping && std::find(nodes.begin(), nodes.end(), m_bus.self()) != nodes.end();
        auto &placement = m_domains[domain];
        if (!placement)
            placement = std::make_unique<DomainPlacement>(
                    domain, m_bus.self(), m_bus.incarnation(), m_context, m_options,
                    [this, domain](const auto &changed) { publish(domain, changed); });
        placement->setWanted(wanted);
    }
}

void PlacementService::tick()
{
    updateWanted();
    for (const auto &[domain, placement] : m_domains)
        placement->tick(demandOf(domain));
}

void PlacementService::reportDemand()
{
    std::map<FailureDomain, peer::Envelope> messages;
    for (const auto &[group, requests] : m_demandProvider()) {
        auto &report = *messages[group.domain].mutable_demand_report();
        report.set_domain(group.domain.value);
        auto &demand = *report.add_demands();
        demand.set_model(group.model.value);
        demand.set_requests(requests);
    }
    for (const auto &[domain, message] : messages) {
        for (const auto &it : contenders(domain))
            m_bus.send(it, message);
    }
}

std::set<ModelName> PlacementService::languageModels() const
{
    std::set<ModelName> models;
    for (const auto &it : m_config.current()->upstreams) {
        if (it.kind == UpstreamKind::Language)
            models.insert(it.models.begin(), it.models.end());
    }
    return models;
}

std::map<ModelName, double> PlacementService::demandOf(const FailureDomain &domain)
{
    auto &reports = m_reports[domain];
    std::erase_if(reports, [&](const auto &it) {
        return m_loop.now() - it.second.receivedAt > m_options.demandLifetime;
    });
    const auto known = languageModels();
    std::map<ModelName, double> sum;
    for (const auto &[node, report] : reports) {
        for (const auto &[model, requests] : report.demand) {
            if (known.contains(model))
                sum[model] += requests;
        }
    }
    return sum;
}

void PlacementService::publish(const FailureDomain &domain, const std::set<UpstreamId> &changed)
{
    const auto &placement = *m_domains.at(domain);
    const auto lease = placement.active();
    if (!lease)
        return;
    const auto served = placement.served();
    auto &announced = m_announced[domain];
    const bool newHolder = announced.fencing != lease->fencing;
    announced.fencing = lease->fencing;
    announced.revision = newHolder ? 1 : announced.revision + 1;
    if (newHolder)
        announced.models = served;
    for (const auto &it : changed) {
        const auto models = served.find(it);
        if (models != served.end())
            announced.models[it] = models->second;
        else
            announced.models.erase(it);
    }
    announce(domain, &changed, otherNodes());
    for (const auto &it : m_listeners)
        it();
}

void PlacementService::announce(const FailureDomain &domain, const std::set<UpstreamId> *changed,
                                const std::vector<NodeId> &to)
{
    const auto &placement = *m_domains.at(domain);
    const auto lease = placement.active();
    const auto &announced = m_announced[domain];
    if (!lease || announced.fencing != lease->fencing)
        return;
    peer::Envelope message;
    auto &update = *message.mutable_placement_update();
    update.set_domain(domain.value);
    update.set_fencing(announced.fencing);
    update.set_revision(announced.revision);
    if (changed != nullptr) {
        update.set_full(changed->size() >= announced.models.size());
        for (const auto &[id, models] : announced.models) {
            if (!changed->contains(id))
                continue;
            auto &upstream = *update.add_upstreams();
            upstream.set_upstream(id.value);
            for (const auto &model : models)
                upstream.add_models(model.value);
        }
    }
    for (const auto &it : to)
        m_bus.send(it, message);
}

void PlacementService::onDemand(const NodeId &sender, const peer::DemandReport &report)
{
    auto &kept = m_reports[FailureDomain(report.domain())][sender];
    kept.receivedAt = m_loop.now();
    kept.demand.clear();
    for (const auto &it : report.demands())
        kept.demand[ModelName(it.model())] = it.requests();
}

void PlacementService::onUpdate(const NodeId &sender, const peer::PlacementUpdate &update)
{
    auto &announced = m_announced[FailureDomain(update.domain())];
    const auto version = std::pair(update.fencing(), update.revision());
    const auto known = std::pair(announced.fencing, announced.revision);
    if (version <= known)
        return;
    const bool next = version.first == known.first && version.second == known.second + 1;
    // Pulls the full placement if the update carries no changes or a revision was missed.
    if (!update.full() && (!next || update.upstreams().empty())) {
        peer::Envelope message;
        message.mutable_placement_pull()->set_domain(update.domain());
        m_bus.send(sender, std::move(message));
        return;
    }
    announced.fencing = update.fencing();
    announced.revision = update.revision();
    if (update.full())
        announced.models.clear();
    for (const auto &it : update.upstreams()) {
        auto &models = announced.models[UpstreamId(it.upstream())];
        models.clear();
        for (const auto &model : it.models())
            models.emplace_back(model);
    }
    for (const auto &it : m_listeners)
        it();
}

void PlacementService::onPull(const NodeId &sender, const peer::PlacementPull &pull)
{
    const FailureDomain domain(pull.domain());
    const auto it = m_domains.find(domain);
    if (it == m_domains.end() || !it->second->active())
        return;
    std::set<UpstreamId> all;
    for (const auto &[id, models] : m_announced[domain].models)
        all.insert(id);
    announce(domain, &all, {sender});
}

std::vector<NodeId> PlacementService::otherNodes() const
{
    std::vector<NodeId> nodes;
    for (const auto &it : m_membership.liveNodes()) {
        if (it.node != m_bus.self())
            nodes.push_back(it.node);
    }
    return nodes;
}

} // namespace hawthornslip
