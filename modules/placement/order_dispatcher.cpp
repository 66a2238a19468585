#include "modules/placement/order_dispatcher.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

OrderDispatcher::OrderDispatcher(OrderOptions options)
    : m_options(options)
{}

void OrderDispatcher::setState(const PlacementState &state, TimePoint now)
{
    // Results recorded by this lease holder are newer than the stored object.
    const bool first = m_state.generation == 0;
    m_state = state;
    if (first)
        m_applied = state.applied;
    for (const auto &[id, applied] : m_applied) {
        auto &unwanted = m_progress[id].unwantedSince;
        const auto desired = m_state.desired.find(id);
        for (const auto &[model, target] : applied.models) {
            const bool wanted =
                    desired != m_state.desired.end() && desired->second.models.contains(model);
            if (wanted)
                unwanted.erase(model);
            else
                unwanted.emplace(model, now);
        }
    }
}

void OrderDispatcher::setFencingUpstreams(std::set<UpstreamId> upstreams)
{
    m_fencingUpstreams = std::move(upstreams);
}

std::vector<UpstreamOrder> OrderDispatcher::startOrders(const std::optional<HeldLease> &lease,
                                                        TimePoint now)
{
    std::vector<UpstreamOrder> orders;
    if (!lease || m_fencedOut || now >= lease->usableUntil)
        return orders;
    std::size_t loads = loadsRunning();
    for (const auto &[id, desired] : m_state.desired) {
        auto &progress = m_progress[id];
        const bool awaitsEarlierOrders = !m_fencingUpstreams.contains(id) &&
                                         now < lease->acquiredAt + m_options.orderTimeout;
        if (progress.order || now < progress.retryAt || awaitsEarlierOrders)
            continue;
        auto order = nextOrder(id, progress, now);
        if (!order || (order->kind == OrderKind::LoadModel && loads >= m_options.maxLoads))
            continue;
        loads += order->kind == OrderKind::LoadModel ? 1 : 0;
        order->id = ++m_lastOrderId;
        order->fencing = lease->fencing;
        order->generation = m_state.generation;
        progress.order = order;
        orders.push_back(*order);
    }
    return orders;
}

bool OrderDispatcher::recordResult(std::uint64_t orderId, OrderResult result, TimePoint now)
{
    const auto it = std::find_if(m_progress.begin(), m_progress.end(), [&](const auto &entry) {
        return entry.second.order && entry.second.order->id == orderId;
    });
    if (it == m_progress.end())
        return false;
    auto &progress = it->second;
    const auto order = *std::exchange(progress.order, std::nullopt);
    if (result == OrderResult::Done) {
        progress.backoff = Duration(0);
        apply(order);
        return true;
    }
    m_fencedOut = m_fencedOut || result == OrderResult::StaleFencing;
    progress.backoff = progress.backoff == Duration(0)
                               ? m_options.initialBackoff
                               : std::min(progress.backoff * 2, m_options.maxBackoff);
    progress.retryAt = now + progress.backoff;
    return false;
}

void OrderDispatcher::reset()
{
    // Order ids continue, so that a late result of an earlier order matches nothing.
    m_state = {};
    m_applied.clear();
    m_progress.clear();
    m_fencedOut = false;
}

std::optional<UpstreamOrder> OrderDispatcher::nextOrder(const UpstreamId &id, Progress &progress,
                                                        TimePoint now) const
{
    const auto &desired = m_state.desired.at(id);
    const auto applied = m_applied.find(id);
    const UpstreamTarget current = applied == m_applied.end() ? UpstreamTarget{} : applied->second;
    for (const auto &[model, since] : progress.unwantedSince) {
        if (now >= since + m_options.drainBeforeUnload)
            return UpstreamOrder{0, id, OrderKind::UnloadModel, model, "", 0, 0};
    }
    for (const auto &[model, target] : desired.models) {
        const auto loaded = current.models.find(model);
        if (loaded == current.models.end())
            return UpstreamOrder{0, id, OrderKind::LoadModel, model, target.version, 0, 0};
        if (loaded->second.version != target.version)
            return UpstreamOrder{0, id, OrderKind::SetVersion, model, target.version, 0, 0};
        for (const auto &adapter : target.adapters) {
            if (!loaded->second.adapters.contains(adapter))
                return UpstreamOrder{0, id, OrderKind::LoadAdapter, model, adapter, 0, 0};
        }
    }
    if (current.role != desired.role && !desired.role.empty())
        return UpstreamOrder{0, id, OrderKind::SetRole, {}, desired.role, 0, 0};
    return std::nullopt;
}

std::size_t OrderDispatcher::loadsRunning() const
{
    return static_cast<std::size_t>(
            std::count_if(m_progress.begin(), m_progress.end(), [](const auto &it) {
                return it.second.order && it.second.order->kind == OrderKind::LoadModel;
            }));
}

void OrderDispatcher::apply(const UpstreamOrder &order)
{
    auto &target = m_applied[order.upstream];
    switch (order.kind) {
    case OrderKind::LoadModel:
    case OrderKind::SetVersion:
        target.models[order.model].version = order.value;
        break;
    case OrderKind::UnloadModel:
        target.models.erase(order.model);
        m_progress[order.upstream].unwantedSince.erase(order.model);
        break;
    case OrderKind::LoadAdapter:
        target.models[order.model].adapters.insert(order.value);
        break;
    case OrderKind::SetRole:
        target.role = order.value;
        break;
    }
}

} // namespace hawthornslip
