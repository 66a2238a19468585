#include "servers/duties/scaling_service.h"

#include "core/logger.h"
#include "core/metric_names.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kHolderInterval = milliseconds(250);
constexpr Duration kObserverInterval = seconds(1);

UpstreamCounts readyUpstreams(const std::vector<UpstreamEntry> &entries)
{
    UpstreamCounts counts;
    for (const auto &it : entries) {
        const auto sort = it.reclaimable ? UpstreamSort::Reclaimable : UpstreamSort::Ordinary;
        counts[{it.domain, sort}] += it.draining ? 0 : 1;
    }
    return counts;
}

} // namespace

ScalingService::ScalingService(ScalingServiceParts parts, double callsPerSecond,
                               ScalingSettings settings)
    : m_parts(parts)
    , m_settings(settings)
    // The other half is left for the other duties.
    , m_calls(callsPerSecond / 2, std::max(1.0, callsPerSecond / 2), parts.loop.now())
{}

void ScalingService::tick()
{
    const TimePoint now = m_parts.loop.now();
    const auto term = m_parts.terms.current(now);
    enterTerm(term ? term->generation : 0);
    for (const auto &it : m_parts.source.scaledServices()) {
        State &state = m_services.try_emplace(it.name, m_settings).first->second;
        state.meter.add(it.demand, it.rate, it.policy.startTime, now);
        if (term && state.meter.isKnown() && term->usableUntil > m_refusedTermUntil)
            order(it, state, *term);
    }
    m_parts.loop.after(term ? kHolderInterval : kObserverInterval,
                       [this, alive = std::weak_ptr(m_alive)] {
                           if (!alive.expired())
                               tick();
                       });
}

void ScalingService::enterTerm(std::uint64_t generation)
{
    if (std::exchange(m_generation, generation) == generation)
        return;
    for (auto &[name, state] : m_services) {
        state.planner.reset();
        state.orders.reset();
    }
}

void ScalingService::order(const ScaledService &service, State &state, const DutyTerm &term)
{
    const TimePoint now = m_parts.loop.now();
    if (!state.planner) {
        state.planner.emplace(m_settings);
        state.orders.emplace(service.policy.startTime);
    }
    const auto ready = readyUpstreams(service.upstreams);
    for (const auto &it : state.orders->findReclaimed(ready, now))
        logEvent(LogLevel::Warning, "upstreams_reclaimed",
                 {{"service", service.name}, {"domain", it.value}});
    const auto without = state.orders->withoutReclaimable(now);
    const auto &desired =
            state.planner->plan({service.policy, ready, without, state.meter.estimate()}, now);
    recordCounts(service, desired, ready);
    for (const auto &it : state.orders->due(desired, ready, now)) {
        if (m_calls.tryTake(1, now))
            send(service, state, it, ready, term);
    }
}

void ScalingService::send(const ScaledService &service, State &state, const DueOrder &order,
                          const UpstreamCounts &ready, const DutyTerm &term)
{
    state.orders->onSent(order);
    const DemandEstimate &demand = state.meter.estimate();
    logEvent(LogLevel::Info, "upstreams_ordered",
             {{"service", service.name},
              {"domain", order.subject.domain.value},
              {"sort", nameOf(kUpstreamSortNames, order.subject.sort)},
              {"desired", order.desired},
              {"ready", countOf(ready, order.subject)},
              {"total", state.planner->total()},
              {"demand", demand.current},
              {"expected", demand.expected},
              {"peak", demand.peak},
              {"mean", demand.mean},
              {"observed_ms", toMillis(demand.observedFor)},
              {"running", service.demand.running},
              {"held", service.demand.held},
              {"prefill_rate", service.rate.prefillTokens},
              {"generation", term.generation}});
    const CapacityOrder call{service.name, order.subject.domain, order.desired,
                             order.subject.sort == UpstreamSort::Reclaimable};
    m_parts.provider.orderCapacity(call, term.generation,
                                   [this, alive = std::weak_ptr(m_alive), name = service.name,
                                    order, generation = term.generation](ProviderResult result) {
                                       if (!alive.expired())
                                           onResult(name, order, generation, result);
                                   });
}

void ScalingService::onResult(const std::string &service, const DueOrder &order,
                              std::uint64_t generation, ProviderResult result)
{
    const TimePoint now = m_parts.loop.now();
    const auto name = nameOf(kProviderResultNames, result);
    m_parts.metrics.count(metric::kCapacityOrders, {{"service", service}, {"result", name}});
    if (result != ProviderResult::Accepted)
        logEvent(LogLevel::Warning, "upstreams_not_ordered",
                 {{"service", service},
                  {"domain", order.subject.domain.value},
                  {"sort", nameOf(kUpstreamSortNames, order.subject.sort)},
                  {"desired", order.desired},
                  {"result", name},
                  {"generation", generation}});
    if (generation != m_generation)
        return;
    if (const auto term = m_parts.terms.current(now);
        result == ProviderResult::Conflict && term && term->generation == generation)
        m_refusedTermUntil = term->usableUntil;
    const auto it = m_services.find(service);
    if (it != m_services.end() && it->second.orders)
        it->second.orders->onResult(order, result, now);
}

void ScalingService::recordCounts(const ScaledService &service, const UpstreamCounts &desired,
                                  const UpstreamCounts &ready)
{
    for (const auto &[subject, n] : desired) {
        const MetricLabels labels = {{"service", service.name},
                                     {"domain", subject.domain.value},
                                     {"sort", nameOf(kUpstreamSortNames, subject.sort)}};
        m_parts.metrics.gauge(metric::kUpstreamsDesired, labels, n);
        m_parts.metrics.gauge(metric::kUpstreamsReady, labels, countOf(ready, subject));
    }
}

} // namespace hawthornslip
