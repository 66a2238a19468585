#include "servers/placement/domain_placement.h"

#include "core/logger.h"
#include "core/metric_names.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

DomainPlacement::DomainPlacement(FailureDomain domain, NodeId self, std::uint64_t incarnation,
                                 PlacementContext context, const PlacementServiceOptions &options,
                                 Publish publish)
    : m_domain(std::move(domain))
    , m_context(context)
    , m_options(options)
    , m_publish(std::move(publish))
    , m_lease(std::move(self), incarnation, options.lease)
    , m_planner(options.planner)
    , m_dispatcher(options.orders)
{}

void DomainPlacement::setWanted(bool wanted)
{
    performAll(m_lease.setWanted(wanted, m_context.loop.now()));
}

void DomainPlacement::tick(const std::map<ModelName, double> &demand)
{
    const auto now = m_context.loop.now();
    performAll(m_lease.wake(now));
    if (!m_lease.held(now))
        return;
    if (!m_stateLoaded) {
        readState();
        return;
    }
    if (now >= m_nextPlanAt) {
        m_nextPlanAt = now + m_options.planInterval;
        plan(demand);
    }
    sendOrders();
}

std::optional<HeldLease> DomainPlacement::active() const
{
    return m_stateLoaded ? m_lease.held(m_context.loop.now()) : std::nullopt;
}

std::map<UpstreamId, std::vector<ModelName>> DomainPlacement::served() const
{
    std::map<UpstreamId, std::vector<ModelName>> served;
    for (const auto &[id, desired] : m_state.desired) {
        auto &models = served[id];
        const auto applied = m_dispatcher.applied().find(id);
        if (applied == m_dispatcher.applied().end())
            continue;
        for (const auto &[model, target] : applied->second.models) {
            if (desired.models.contains(model))
                models.push_back(model);
        }
    }
    return served;
}

void DomainPlacement::performAll(const LeaseActions &actions)
{
    for (const auto &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
}

void DomainPlacement::perform(const ReadLease &action)
{
    m_context.store.get(leaseKey(), [this, alive = std::weak_ptr(m_alive), &loop = m_context.loop,
                                     operation = action.operation](const StoreResult &result) {
        loop.post([this, alive, operation, result] {
            if (alive.expired())
                return;
            const auto record = result.ok() ? decodeLease(result.object.value) : std::nullopt;
            performAll(m_lease.read(operation, result.error, record, result.object.version,
                                    m_context.loop.now()));
        });
    });
}

void DomainPlacement::perform(const WriteLease &action)
{
    m_context.store.put(leaseKey(), encodeLease(action.record), action.expectedVersion,
                        [this, alive = std::weak_ptr(m_alive), &loop = m_context.loop,
                         operation = action.operation](const StoreResult &result) {
                            loop.post([this, alive, operation, result] {
                                if (alive.expired())
                                    return;
                                m_storeFailed = !result.ok();
                                performAll(m_lease.written(operation, result.error,
                                                           result.object.version,
                                                           m_context.loop.now()));
                            });
                        });
}

void DomainPlacement::perform(const LeaseAcquired &action)
{
    logEvent(LogLevel::Info, "lease_acquired",
             {{"lease", leaseKey()}, {"fencing", action.fencing}});
    m_context.metrics.count(metric::kLeases, {{"lease", leaseKey()}, {"result", "acquired"}});
    m_stateLoaded = false;
    m_stateCallPending = false;
    m_allPublished = false;
    m_dispatcher.reset();
}

void DomainPlacement::perform(const LeaseLost &action)
{
    logEvent(LogLevel::Info, "lease_lost", {{"lease", leaseKey()}, {"fencing", action.fencing}});
    m_context.metrics.count(metric::kLeases, {{"lease", leaseKey()}, {"result", "lost"}});
    m_stateLoaded = false;
    m_allPublished = false;
    m_dispatcher.reset();
}

void DomainPlacement::sendOrders()
{
    const auto config = m_context.config.current();
    // No order is sent during an outage of the store, not even one that was planned before it.
    if (m_storeFailed)
        return;
    std::set<UpstreamId> fencing;
    for (const auto &it : config->upstreams) {
        if (it.checksFencing)
            fencing.insert(it.id);
    }
    m_dispatcher.setFencingUpstreams(std::move(fencing));
    const auto now = m_context.loop.now();
    for (const auto &order : m_dispatcher.startOrders(m_lease.held(now), now)) {
        if (const auto *upstream = config->findUpstream(order.upstream))
            sendOrder(order, upstream->url);
        else
            onOrderFinished(order, OrderResult::Failed);
    }
}

void DomainPlacement::onOrderFinished(const UpstreamOrder &order, OrderResult result)
{
    m_context.metrics.count(metric::kOrders, {{"kind", nameOf(kOrderKindNames, order.kind)},
                                              {"result", nameOf(kOrderResultNames, result)}});
    if (result != OrderResult::Done)
        logEvent(LogLevel::Warning, "order_failed",
                 {{"upstream", order.upstream.value},
                  {"kind", nameOf(kOrderKindNames, order.kind)},
                  {"result", nameOf(kOrderResultNames, result)}});
    if (m_dispatcher.recordResult(order.id, result, m_context.loop.now()) && m_stateLoaded)
        m_publish({order.upstream});
}

} // namespace hawthornslip
