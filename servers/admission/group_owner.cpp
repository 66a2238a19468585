#include "servers/admission/group_owner.h"

#include "core/metric_names.h"
#include "modules/admission/scheduler_factory.h"
#include "servers/admission/admission_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <variant>
#include <vector>

namespace hawthornslip {

namespace {

constexpr Duration kGrantRetransmitInterval = milliseconds(300);
constexpr Duration kGrantAckTimeout = seconds(2);
constexpr Duration kRebuildWindow = milliseconds(500);
// Share of each limit that is used while a previous owner of the group may still issue grants.
constexpr double kRebuildCapacityShare = 0.5;
// A group owned by another node is dropped after this time without a request or report.
constexpr Duration kUnownedGroupIdleTimeout = seconds(2);
// A node counts as dead when it is not a live member and sent nothing for this long.
constexpr Duration kNodeTimeout = seconds(2);
constexpr Duration kPublishInterval = seconds(1);

std::string grantPrefix(const AdmissionContext &context, const GroupId &id, std::uint64_t number)
{
    const std::string text = fmt::format("{}|{}|{}|{}", context.self.value, context.incarnation,
                                         id.toString(), number);
    return fmt::format("{:016x}-", XXH3_64bits(text.data(), text.size()));
}

} // namespace

GroupOwner::GroupOwner(AdmissionContext &context)
    : m_context(context)
{}

bool GroupOwner::ownsGroup(const GroupId &id)
{
    return m_context.directory.ownerOf(id) == m_context.self;
}

GroupOwner::Group &GroupOwner::groupOf(const GroupId &id, TimePoint now)
{
    const auto [it, isNew] = m_groups.try_emplace(id);
    Group &group = it->second;
    group.usedAt = now;
    if (!isNew)
        return group;
    SchedulerOptions options;
    options.grantPrefix = grantPrefix(m_context, id, ++m_schedulersMade);
    group.scheduler = makeScheduler(m_context.policy, options);
    group.scheduler->onUpstreams(m_context.directory.upstreamsOf(id), now);
    // Other nodes may hold grants of a previous owner that they have not reported here yet.
    group.rebuilding = m_context.membership.liveNodes().size() > 1;
    group.rebuildEndsAt = now + kRebuildWindow;
    if (group.rebuilding)
        group.scheduler->onCapacityShare(kRebuildCapacityShare, now);
    return group;
}

void GroupOwner::onMessage(const NodeId &sender, const peer::Envelope &message, TimePoint now)
{
    NodeState &state = m_nodes[sender];
    if (message.incarnation() < state.incarnation)
        return;
    // A restarted node has lost its streams and its queued requests.
    if (state.incarnation != 0 && message.incarnation() > state.incarnation)
        releaseNode(sender, now);
    state = {message.incarnation(), now};
    switch (message.body_case()) {
    case peer::Envelope::kAdmissionRequest:
        return onRequest(sender, message.admission_request(), now);
    case peer::Envelope::kAdmissionCancel:
        return onCancel(RequestId(message.admission_cancel().request_id()), now);
    case peer::Envelope::kGrantAck:
        m_unacknowledged.erase(GrantId(message.grant_ack().grant_id()));
        return;
    case peer::Envelope::kGrantRelease:
        return onRelease(message.grant_release(), now);
    case peer::Envelope::kGrantProgress:
        return onProgress(message.grant_progress(), now);
    case peer::Envelope::kGrantReport:
        return onReport(sender, message.grant_report(), now);
    case peer::Envelope::kUpstreamReports:
        return onUpstreamReports(message.upstream_reports(), now);
    default:
        return;
    }
}

void GroupOwner::onRequest(const NodeId &sender, const peer::AdmissionRequest &message,
                           TimePoint now)
{
    const GroupId id = admission::fromMessage(message.group());
    const auto event = admission::fromMessage(message, sender, m_context.config);
    if (!event) {
        const AttemptKey key{RequestId(message.request_id()), message.attempt()};
        sendRefusal(id, {key, sender, Reason::UnknownProfile, Duration(0)}, now);
        return;
    }
    Group &group = groupOf(id, now);
    const auto actions = group.scheduler->onAdmissionRequest(*event, now);
    apply(id, actions, now);
    const auto isAnswer = [&](const SchedulerAction &action) {
        const auto *grant = std::get_if<GrantAction>(&action);
        const auto *refusal = std::get_if<RefuseAction>(&action);
        return (grant != nullptr && grant->key == event->key) ||
               (refusal != nullptr && refusal->key == event->key);
    };
    // A queued request is answered with the load, which shows that the owner is reachable.
    if (std::none_of(actions.begin(), actions.end(), isAnswer))
        sendLoad(sender, id, now);
}

void GroupOwner::onCancel(const RequestId &request, TimePoint now)
{
    for (auto &[id, group] : m_groups)
        apply(id, group.scheduler->onCancel(request, now), now);
}

void GroupOwner::onRelease(const peer::GrantRelease &message, TimePoint now)
{
    const GroupId id = admission::fromMessage(message.group());
    m_unacknowledged.erase(GrantId(message.grant_id()));
    // Without a scheduler there is no slot to free, so none is created for a release.
    const auto it = m_groups.find(id);
    if (it != m_groups.end())
        apply(id, it->second.scheduler->onRelease(admission::fromMessage(message), now), now);
}

void GroupOwner::onProgress(const peer::GrantProgress &message, TimePoint now)
{
    const GroupId id = admission::fromMessage(message.group());
    const GrantId grant(message.grant_id());
    m_unacknowledged.erase(grant);
    const auto it = m_groups.find(id);
    if (it == m_groups.end())
        return;
    const Duration firstToken(static_cast<std::int64_t>(message.first_token()));
    apply(id, it->second.scheduler->onProgress({grant, message.tokens(), firstToken}, now), now);
}

void GroupOwner::onReport(const NodeId &sender, const peer::GrantReport &message, TimePoint now)
{
    const GroupId id = admission::fromMessage(message.group());
    const auto event = admission::fromMessage(message, sender, m_context.config);
    for (const auto &it : event.grants)
        m_unacknowledged.erase(it.grant);
    Group &group = groupOf(id, now);
    apply(id, group.scheduler->onGrantReport(event, now), now);
    sendLoad(sender, id, now);
}

void GroupOwner::onUpstreamReports(const peer::UpstreamReports &message, TimePoint now)
{
    for (auto &[id, group] : m_groups) {
        for (const auto &it : message.reports()) {
            const Duration age(static_cast<std::int64_t>(it.age()));
            apply(id,
                  group.scheduler->onLoadReport(
                          {UpstreamId(it.upstream()), it.running(), it.queued(), age}, now),
                  now);
        }
    }
}

void GroupOwner::apply(const GroupId &id, const SchedulerActions &actions, TimePoint now)
{
    for (const auto &it : actions) {
        if (const auto *grant = std::get_if<GrantAction>(&it))
            sendGrant(id, *grant, now);
        else if (const auto *refusal = std::get_if<RefuseAction>(&it))
            sendRefusal(id, *refusal, now);
        else
            sendPreempt(std::get<PreemptAction>(it));
    }
}

void GroupOwner::sendGrant(const GroupId &id, const GrantAction &action, TimePoint now)
{
    peer::Grant message;
    message.set_request_id(action.key.request.value);
    message.set_grant_id(action.grant.value);
    message.set_upstream(action.upstream.value);
    message.set_attempt(action.key.attempt);
    admission::toMessage(id, *message.mutable_group());
    admission::toMessage(id, loadOf(id, now), *message.mutable_load());
    peer::Envelope envelope;
    *envelope.mutable_grant() = message;
    // A repeated grant is not tracked anew: if it was acknowledged, its slot is in use.
    if (!action.repeated)
        m_unacknowledged[action.grant] = {action.node, id, std::move(message), now, now};
    m_context.send(action.node, std::move(envelope));
}

void GroupOwner::sendRefusal(const GroupId &id, const RefuseAction &action, TimePoint now)
{
    peer::Envelope envelope;
    auto &message = *envelope.mutable_refusal();
    message.set_request_id(action.key.request.value);
    message.set_attempt(action.key.attempt);
    message.set_reason(static_cast<std::uint32_t>(action.reason));
    message.set_retry_after(static_cast<std::uint64_t>(action.retryAfter.count()));
    admission::toMessage(id, loadOf(id, now), *message.mutable_load());
    m_context.send(action.node, std::move(envelope));
}

void GroupOwner::sendPreempt(const PreemptAction &action)
{
    peer::Envelope envelope;
    envelope.mutable_preempt()->set_grant_id(action.grant.value);
    m_context.send(action.node, std::move(envelope));
    m_context.metrics.count(metric::kPreemptions, {{"profile", action.profile.value}});
}

void GroupOwner::sendLoad(const NodeId &to, const GroupId &id, TimePoint now)
{
    peer::Envelope envelope;
    admission::toMessage(id, loadOf(id, now), *envelope.mutable_group_load());
    m_context.send(to, std::move(envelope));
}

GroupLoadInfo GroupOwner::loadOf(const GroupId &group, TimePoint now) const
{
    const auto it = m_groups.find(group);
    return it == m_groups.end() ? GroupLoadInfo{} : it->second.scheduler->load(now);
}

void GroupOwner::retransmitGrants(TimePoint now)
{
    std::vector<GrantId> expired;
    for (auto &[grant, it] : m_unacknowledged) {
        if (now - it.firstSentAt >= kGrantAckTimeout) {
            expired.push_back(grant);
        } else if (now - it.lastSentAt >= kGrantRetransmitInterval) {
            it.lastSentAt = now;
            peer::Envelope envelope;
            *envelope.mutable_grant() = it.message;
            m_context.send(it.node, std::move(envelope));
        }
    }
    for (const auto &grant : expired) {
        const GroupId id = m_unacknowledged[grant].group;
        m_unacknowledged.erase(grant);
        const auto it = m_groups.find(id);
        if (it == m_groups.end())
            continue;
        ReleaseEvent event;
        event.grant = grant;
        event.final = false;
        apply(id, it->second.scheduler->onRelease(event, now), now);
    }
}

void GroupOwner::onTick(TimePoint now)
{
    retransmitGrants(now);
    const bool publishDue = now - m_publishedAt >= kPublishInterval;
    if (publishDue) {
        m_publishedAt = now;
        checkNodes(now);
    }
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        Group &group = it->second;
        const bool own = ownsGroup(it->first);
        if (!own && now - group.usedAt > kUnownedGroupIdleTimeout) {
            it = m_groups.erase(it);
            continue;
        }
        if (!own)
            group.rebuildEndsAt = now + kRebuildWindow;
        if (group.rebuilding && now >= group.rebuildEndsAt) {
            group.rebuilding = false;
            apply(it->first, group.scheduler->onCapacityShare(1, now), now);
        }
        apply(it->first, group.scheduler->onTick(now), now);
        if (publishDue)
            publish(it->first, group, now);
        ++it;
    }
}

void GroupOwner::publish(const GroupId &id, Group &group, TimePoint now)
{
    const SchedulerStats &stats = group.scheduler->stats();
    const auto violations = stats.orderTierViolations - group.publishedStats.orderTierViolations;
    if (violations > 0)
        m_context.metrics.count(metric::kInvariantViolations, {{"invariant", "I1"}},
                                static_cast<double>(violations));
    group.publishedStats = stats;
    const auto load = group.scheduler->load(now);
    const std::string name = id.toString();
    for (std::size_t tier = 0; tier < load.queued.size(); ++tier) {
        const std::string label = std::to_string(tier);
        m_context.metrics.gauge(metric::kQueued, {{"group", name}, {"tier", label}},
                                load.queued[tier]);
    }
}

void GroupOwner::releaseNode(const NodeId &node, TimePoint now)
{
    std::erase_if(m_unacknowledged, [&](const auto &it) { return it.second.node == node; });
    for (auto &[id, group] : m_groups)
        apply(id, group.scheduler->onNodeLost(node, now), now);
}

void GroupOwner::checkNodes(TimePoint now)
{
    for (auto it = m_nodes.begin(); it != m_nodes.end();) {
        const auto &live = m_context.membership.liveNodes();
        const auto found = std::find_if(live.begin(), live.end(),
                                        [&](const LiveNode &n) { return n.node == it->first; });
        const bool dead = found == live.end() && now - it->second.lastMessageAt > kNodeTimeout;
        const bool restarted = found != live.end() && found->incarnation > it->second.incarnation;
        if (dead || restarted)
            releaseNode(it->first, now);
        if (restarted)
            it->second.incarnation = found->incarnation;
        it = dead ? m_nodes.erase(it) : std::next(it);
    }
}

void GroupOwner::onMembership(TimePoint now)
{
    checkNodes(now);
    // The requesting nodes resend queued requests and report held grants to the new owner.
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        const bool own = ownsGroup(it->first);
        if (own || it->second.rebuilding) {
            ++it;
            continue;
        }
        std::erase_if(m_unacknowledged,
                      [&](const auto &grant) { return grant.second.group == it->first; });
        it = m_groups.erase(it);
    }
}

void GroupOwner::onConfig(TimePoint now)
{
    for (auto &[id, group] : m_groups)
        apply(id, group.scheduler->onUpstreams(m_context.directory.upstreamsOf(id), now), now);
}

SchedulerStats GroupOwner::stats() const
{
    SchedulerStats sum;
    for (const auto &[id, group] : m_groups) {
        const auto &it = group.scheduler->stats();
        sum.grants += it.grants;
        sum.refusals += it.refusals;
        sum.preemptions += it.preemptions;
        sum.ejections += it.ejections;
        sum.orderTierViolations += it.orderTierViolations;
    }
    return sum;
}

} // namespace hawthornslip
