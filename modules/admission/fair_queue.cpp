#include "modules/admission/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace hawthornslip {

namespace {

constexpr double kMinWeight = 0.001;

} // namespace

FairQueue::FairQueue(bool fair)
    : m_fair(fair)
{}

const WorkspaceId &FairQueue::flowKeyOf(const WorkspaceId &workspace) const
{
    return m_fair ? workspace : m_sharedFlowKey;
}

void FairQueue::activate(Flow &flow)
{
    // An idle workspace accumulates no credit, but keeps the debt of adjusted charges.
    flow.startTag = std::max(flow.startTag, m_virtualTime);
    m_activeFlows.insert({{flow.startTag, flow.creationOrder}, &flow});
    m_activeWeight += flow.weight;
}

void FairQueue::deactivate(Flow &flow)
{
    m_activeFlows.erase({{flow.startTag, flow.creationOrder}, &flow});
    m_activeWeight = m_activeFlows.empty() ? 0 : m_activeWeight - flow.weight;
}

void FairQueue::push(QueuedRequest item)
{
    item.sequence = m_nextSequence++;
    const auto [it, isNew] = m_items.emplace(item.admissionRequest.key, std::move(item));
    if (!isNew)
        return;
    const QueuedRequest &stored = it->second;
    auto [position, isNewFlow] = m_flows.try_emplace(flowKeyOf(stored.admissionRequest.workspace));
    Flow &flow = position->second;
    if (isNewFlow)
        flow.creationOrder = m_nextFlow++;
    if (flow.items.empty()) {
        flow.weight = std::max(kMinWeight, stored.admissionRequest.workspaceWeight);
        activate(flow);
    }
    flow.items.insert({{stored.startBy, stored.sequence}, &stored});
    flow.cost += stored.cost;
    m_totalCost += stored.cost;
}

QueuedRequest FairQueue::detach(Flow &flow, const AttemptKey &key)
{
    auto node = m_items.extract(key);
    QueuedRequest item = std::move(node.mapped());
    flow.items.erase({{item.startBy, item.sequence}, &node.mapped()});
    flow.cost = flow.items.empty() ? 0 : flow.cost - item.cost;
    m_totalCost = m_items.empty() ? 0 : m_totalCost - item.cost;
    return item;
}

std::optional<QueuedRequest> FairQueue::remove(const AttemptKey &key)
{
    const auto it = m_items.find(key);
    if (it == m_items.end())
        return std::nullopt;
    Flow &flow = m_flows.find(flowKeyOf(it->second.admissionRequest.workspace))->second;
    if (flow.items.size() == 1)
        deactivate(flow);
    return detach(flow, key);
}

void FairQueue::removeRequest(const RequestId &request)
{
    for (const auto &it : attemptsOf(m_items, request))
        remove(it);
}

const QueuedRequest *FairQueue::head(std::size_t n) const
{
    if (n >= m_activeFlows.size())
        return nullptr;
    const auto it = std::next(m_activeFlows.begin(), static_cast<std::ptrdiff_t>(n));
    return it->second->items.begin()->second;
}

const QueuedRequest *FairQueue::timelyHead(std::size_t n, TimePoint now) const
{
    if (n >= m_activeFlows.size())
        return nullptr;
    const auto &items =
            std::next(m_activeFlows.begin(), static_cast<std::ptrdiff_t>(n))->second->items;
    const auto timely = items.lower_bound({{now, 0}, nullptr});
    return timely == items.end() ? items.begin()->second : timely->second;
}

QueuedRequest FairQueue::take(const AttemptKey &key)
{
    Flow &flow =
            m_flows.find(flowKeyOf(m_items.find(key)->second.admissionRequest.workspace))->second;
    m_virtualTime = std::max(m_virtualTime, m_activeFlows.begin()->first.first);
    deactivate(flow);
    QueuedRequest item = detach(flow, key);
    flow.startTag += item.cost / flow.weight;
    if (!flow.items.empty())
        activate(flow);
    return item;
}

void FairQueue::adjustCharge(const WorkspaceId &workspace, double weight, double difference)
{
    const auto it = m_flows.find(flowKeyOf(workspace));
    if (it == m_flows.end())
        return;
    Flow &flow = it->second;
    const bool active = !flow.items.empty();
    if (active)
        deactivate(flow);
    flow.startTag += difference / std::max(kMinWeight, weight);
    if (active)
        activate(flow);
}

std::vector<QueuedRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<AttemptKey> keys;
    for (const auto &[order, flow] : m_activeFlows) {
        for (const auto &[position, item] : flow->items) {
            if (item->refuseAfter > now)
                break;
            keys.push_back(item->admissionRequest.key);
        }
    }
    std::vector<QueuedRequest> expired;
    expired.reserve(keys.size());
    for (const auto &it : keys)
        expired.push_back(*remove(it));
    return expired;
}

void FairQueue::removeNode(const NodeId &node)
{
    std::vector<AttemptKey> keys;
    for (const auto &[key, item] : m_items) {
        if (item.admissionRequest.node == node)
            keys.push_back(key);
    }
    for (const auto &it : keys)
        remove(it);
}

void FairQueue::expireIdle()
{
    std::erase_if(m_flows, [&](const auto &it) {
        return it.second.items.empty() && it.second.startTag <= m_virtualTime;
    });
}

double FairQueue::workAhead(const WorkspaceId &workspace, double weight, TimePoint startBy) const
{
    const auto it = m_flows.find(flowKeyOf(workspace));
    double startTag = m_virtualTime;
    double own = 0;
    bool active = false;
    if (it != m_flows.end()) {
        const Flow &flow = it->second;
        startTag = std::max(startTag, flow.startTag);
        active = !flow.items.empty();
        if (active && startBy >= flow.items.begin()->second->startBy) {
            // Estimates the rank among the workspace's own requests by interpolating between the
            // first and the last startBy.
            const auto first = flow.items.begin()->first.first;
            const auto last = flow.items.rbegin()->first.first;
            const double span = toSeconds(last - first);
            const double part = span > 0 ? toSeconds(startBy - first) / span : 1;
            own = flow.cost * std::clamp(part, 0.0, 1.0);
        }
    }
    const double weights = m_activeWeight + (active ? 0 : weight);
    const double virtualWait = startTag + own / std::max(kMinWeight, weight) - m_virtualTime;
    return std::min(m_totalCost, virtualWait * weights);
}

} // namespace hawthornslip
