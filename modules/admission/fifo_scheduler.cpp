#include "modules/admission/fifo_scheduler.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace hawthornslip {

namespace {

// Below this capacity share the scheduler serves a node that admits locally, without the owner.
constexpr double kLocalAdmissionShare = 0.5;
constexpr Duration kReportGrace = seconds(5);

} // namespace

FifoScheduler::FifoScheduler(const SchedulerOptions &options, SchedulingPolicy policy)
    : m_options(options)
    , m_policy(policy)
    , m_grants(options.grantPrefix)
{}

std::uint32_t &FifoScheduler::queuedCount(const AdmissionRequestEvent &admissionRequest)
{
    return m_queued[static_cast<std::size_t>(admissionRequest.profile->tier)];
}

std::uint32_t FifoScheduler::capacityOf(const UpstreamSlots &slots) const
{
    if (!slots.info.acceptsWork)
        return 0;
    const auto share = static_cast<std::uint32_t>(slots.info.maxConcurrency * m_capacityShare);
    // Under local admission one slot of the group may be used even when the share is less.
    if (m_capacityShare < kLocalAdmissionShare)
        return share > 0 || m_grants.size() > 0 ? share : 1;
    return std::max(1U, share);
}

std::optional<std::size_t> FifoScheduler::pickUpstream()
{
    const std::size_t n = m_upstreams.size();
    std::optional<std::size_t> best;
    for (std::size_t step = 0; step < n; ++step) {
        const std::size_t i = (m_nextUpstream + step) % n;
        const UpstreamSlots &slots = m_upstreams[i];
        if (slots.inFlight >= capacityOf(slots))
            continue;
        if (!best || slots.inFlight < m_upstreams[*best].inFlight)
            best = i;
        if (m_policy == SchedulingPolicy::RoundRobin)
            break;
    }
    if (best)
        m_nextUpstream = *best + 1;
    return best;
}

SchedulerActions FifoScheduler::onAdmissionRequest(const AdmissionRequestEvent &event,
                                                   TimePoint now)
{
    SchedulerActions actions;
    if (const GrantRecord *held = m_grants.findAttempt(event.key)) {
        actions.emplace_back(GrantAction{event.key, event.node, held->id, held->upstreamId, true});
        return actions;
    }
    if (m_queuedByAttempt.count(event.key) > 0)
        return actions;
    const bool any = std::any_of(m_upstreams.begin(), m_upstreams.end(),
                                 [](const UpstreamSlots &it) { return it.info.acceptsWork; });
    if (!any || m_queue.size() >= m_options.queueBound) {
        ++m_stats.refusals;
        const Reason reason = any ? Reason::QueueFull : Reason::NoUpstream;
        actions.emplace_back(RefuseAction{event.key, event.node, reason, seconds(1)});
        return actions;
    }
    m_queue.push_back({event, now + event.remaining});
    m_queuedByAttempt[event.key] = std::prev(m_queue.end());
    ++queuedCount(event);
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onCancel(const RequestId &request, TimePoint /*now*/)
{
    for (const auto &key : attemptsOf(m_queuedByAttempt, request)) {
        const auto it = m_queuedByAttempt.find(key);
        --queuedCount(it->second->admissionRequest);
        m_queue.erase(it->second);
        m_queuedByAttempt.erase(it);
    }
    return {};
}

void FifoScheduler::dispatch(TimePoint now, SchedulerActions &actions)
{
    while (!m_queue.empty()) {
        const bool late = m_queue.front().deadline <= now;
        const std::size_t upstream = late ? 0 : pickUpstream().value_or(m_upstreams.size());
        if (!late && upstream == m_upstreams.size())
            return;
        const AdmissionRequestEvent admissionRequest = std::move(m_queue.front().admissionRequest);
        m_queue.pop_front();
        --queuedCount(admissionRequest);
        m_queuedByAttempt.erase(admissionRequest.key);
        if (late) {
            ++m_stats.refusals;
            actions.emplace_back(RefuseAction{admissionRequest.key, admissionRequest.node,
                                              Reason::DeadlineExceeded, Duration(0)});
            continue;
        }
        GrantRecord record;
        record.key = admissionRequest.key;
        record.node = admissionRequest.node;
        record.upstream = upstream;
        record.upstreamId = m_upstreams[upstream].info.id;
        record.tier = admissionRequest.profile->tier;
        record.since = now;
        const GrantRecord &stored = m_grants.add(std::move(record));
        ++m_upstreams[upstream].inFlight;
        ++m_stats.grants;
        actions.emplace_back(GrantAction{admissionRequest.key, admissionRequest.node, stored.id,
                                         stored.upstreamId, false});
    }
}

void FifoScheduler::dropGrant(const GrantId &id)
{
    const GrantRecord record = m_grants.take(id);
    --m_upstreams[record.upstream].inFlight;
}

SchedulerActions FifoScheduler::onRelease(const ReleaseEvent &event, TimePoint now)
{
    SchedulerActions actions;
    if (event.final)
        m_grants.markReleased(event.grant, now);
    if (m_grants.find(event.grant) != nullptr)
        dropGrant(event.grant);
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onProgress(const ProgressEvent & /*event*/, TimePoint /*now*/)
{
    return {};
}

std::size_t FifoScheduler::findOrAdd(const UpstreamId &id)
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                 [&](const UpstreamSlots &slots) { return slots.info.id == id; });
    if (it != m_upstreams.end())
        return static_cast<std::size_t>(it - m_upstreams.begin());
    m_upstreams.push_back({{id, false, 1}, 0});
    return m_upstreams.size() - 1;
}

SchedulerActions FifoScheduler::onGrantReport(const GrantReportEvent &event, TimePoint now)
{
    std::unordered_set<GrantId> listed;
    for (const auto &it : event.grants) {
        listed.insert(it.grant);
        if (m_grants.find(it.grant) != nullptr || m_grants.wasReleased(it.grant))
            continue;
        GrantRecord record;
        record.id = it.grant;
        record.key.request = it.request.empty() ? RequestId(it.grant.value) : it.request;
        record.node = event.node;
        record.upstream = findOrAdd(it.upstream);
        record.upstreamId = it.upstream;
        record.since = now - it.age;
        ++m_upstreams[record.upstream].inFlight;
        m_grants.restore(std::move(record));
    }
    for (const auto &it : m_grants.heldBy(event.node)) {
        if (listed.count(it) == 0 && now - m_grants.find(it)->since > kReportGrace)
            dropGrant(it);
    }
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onUpstreams(const std::vector<UpstreamInfo> &upstreams,
                                            TimePoint now)
{
    for (auto &it : m_upstreams)
        it.info.acceptsWork = false;
    for (const auto &it : upstreams)
        m_upstreams[findOrAdd(it.id)].info = it;
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onLoadReport(const LoadReportEvent & /*event*/, TimePoint /*now*/)
{
    return {};
}

SchedulerActions FifoScheduler::onNodeLost(const NodeId &node, TimePoint now)
{
    for (const auto &it : m_grants.heldBy(node))
        dropGrant(it);
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        const bool lost = it->admissionRequest.node == node;
        if (lost) {
            m_queuedByAttempt.erase(it->admissionRequest.key);
            --queuedCount(it->admissionRequest);
        }
        it = lost ? m_queue.erase(it) : std::next(it);
    }
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onCapacityShare(double share, TimePoint now)
{
    m_capacityShare = share;
    SchedulerActions actions;
    dispatch(now, actions);
    return actions;
}

SchedulerActions FifoScheduler::onTick(TimePoint now)
{
    SchedulerActions actions;
    dispatch(now, actions);
    m_grants.expire(now);
    return actions;
}

GroupLoadInfo FifoScheduler::load(TimePoint /*now*/) const
{
    GroupLoadInfo info;
    info.inFlight = static_cast<std::uint32_t>(m_grants.size());
    info.queued = m_queued;
    for (const auto &it : m_upstreams)
        info.limit += capacityOf(it);
    return info;
}

} // namespace hawthornslip
