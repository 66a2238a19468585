// The part of AdmissionRequester that follows the owners: messages, reports, owner changes and the
// time without an owner.
#include "servers/admission/admission_codec.h"
#include "servers/admission/admission_requester.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kUnreachableAfter = seconds(1);
// An owner that does not answer is tried this often, so that one lost message is not taken for
// a lost owner.
constexpr Duration kProbeInterval = milliseconds(300);
// A report costs about 100 bytes a grant; this keeps all reports of a node near 1 kB/s.
constexpr Duration kReportIntervalPerGrant = milliseconds(100);
constexpr Duration kShortestReportInterval = seconds(1);
constexpr Duration kLongestReportInterval = seconds(10);
// An owner frees a grant that is missing from a report only when it is older than 5 s. A report
// this long after the last release therefore frees every slot whose release was lost.
constexpr Duration kSettle = seconds(6);

} // namespace

void AdmissionRequester::onMessage(const NodeId &sender, const peer::Envelope &message,
                                   TimePoint now)
{
    switch (message.body_case()) {
    case peer::Envelope::kGrant:
        onGrant(sender, message.grant(), now);
        break;
    case peer::Envelope::kRefusal:
        onRefusal(sender, message.refusal(), now);
        break;
    case peer::Envelope::kGroupLoad:
        onLoad(sender, message.group_load(), now);
        break;
    case peer::Envelope::kPreempt: {
        const GrantId grant(message.preempt().grant_id());
        if (m_held.count(grant) > 0)
            preemptHeld(grant);
        break;
    }
    default:
        break;
    }
    handleLocalActions(now);
}

void AdmissionRequester::onGrant(const NodeId &sender, const peer::Grant &message, TimePoint now)
{
    const AttemptKey key{RequestId(message.request_id()), message.attempt()};
    const AdmissionGrant grant{GrantId(message.grant_id()), admission::fromMessage(message.group()),
                               UpstreamId(message.upstream())};
    onLoad(sender, message.load(), now);
    const bool held = m_held.count(grant.grant) > 0;
    if (!held && m_pending.count(key) == 0) {
        giveBack(grant, sender);
        return;
    }
    peer::Envelope reply;
    reply.mutable_grant_ack()->set_grant_id(grant.grant.value);
    m_world.send(sender, std::move(reply));
    if (!held)
        accept(key, grant, sender, now);
}

void AdmissionRequester::onRefusal(const NodeId &sender, const peer::Refusal &message,
                                   TimePoint now)
{
    onLoad(sender, message.load(), now);
    const AttemptKey key{RequestId(message.request_id()), message.attempt()};
    const auto it = m_pending.find(key);
    // A refusal by an earlier owner or for an earlier group no longer counts.
    if (it == m_pending.end() || it->second.owner != sender ||
        it->second.group != admission::fromMessage(message.load().group()))
        return;
    const auto last = static_cast<std::uint32_t>(Reason::Internal);
    refused(key, static_cast<Reason>(std::min(message.reason(), last)),
            Duration(static_cast<std::int64_t>(message.retry_after())), now);
}

void AdmissionRequester::onLoad(const NodeId &sender, const peer::GroupLoad &message, TimePoint now)
{
    const GroupId group = admission::fromMessage(message.group());
    const auto it = m_views.find(group);
    if (it == m_views.end() || it->second.owner != sender)
        return;
    m_chooser.observe(group, admission::fromMessage(message), now);
    it->second.unansweredSince.reset();
    if (it->second.emptyReportSent)
        it->second.settled = true;
    if (m_local.isActive(group))
        leaveAlone(group, now);
}

GrantReportEvent AdmissionRequester::heldIn(const GroupId &group, TimePoint now) const
{
    GrantReportEvent event;
    event.node = m_world.self;
    const auto grants = m_heldByGroup.find(group);
    if (grants == m_heldByGroup.end())
        return event;
    for (const auto &id : grants->second) {
        const Held &held = m_held.at(id);
        event.grants.push_back({id, held.key.request, held.grant.upstream, held.workspace,
                                admission::sharedProfile(m_world.config, held.profile),
                                now - held.since, held.tokens});
    }
    return event;
}

void AdmissionRequester::sendReport(const GroupId &group, OwnerView &view, TimePoint now)
{
    view.reported = now;
    peer::Envelope message;
    auto &report = *message.mutable_grant_report();
    admission::toMessage(group, *report.mutable_group());
    const auto held = heldIn(group, now);
    if (held.grants.empty() && now - view.released >= kSettle)
        view.emptyReportSent = now;
    for (const auto &it : held.grants) {
        auto &entry = *report.add_grants();
        entry.set_grant_id(it.grant.value);
        entry.set_request_id(it.request.value);
        entry.set_upstream(it.upstream.value);
        entry.set_workspace(it.workspace.value);
        entry.set_profile(m_held.at(it.grant).profile.value);
        entry.set_age(static_cast<std::uint64_t>(it.age.count()));
        entry.set_tokens(it.tokens);
    }
    sendTo(group, view, std::move(message), now);
}

void AdmissionRequester::enterAlone(const GroupId &group, TimePoint now)
{
    m_local.start(group, heldIn(group, now), now);
    submitAll(group, now);
}

void AdmissionRequester::leaveAlone(const GroupId &group, TimePoint now)
{
    m_local.stop(group);
    // The owner learns of the grants that this node gave itself.
    sendReport(group, viewOf(group), now);
    submitAll(group, now);
}

void AdmissionRequester::submitAll(const GroupId &group, TimePoint now)
{
    for (auto &[key, pending] : m_pending) {
        if (pending.group == group)
            submit(pending, now);
    }
}

void AdmissionRequester::checkOwners(TimePoint now)
{
    const auto interval =
            std::clamp(kReportIntervalPerGrant * static_cast<std::int64_t>(m_held.size()),
                       kShortestReportInterval, kLongestReportInterval);
    std::vector<GroupId> unreachable;
    for (auto &[group, view] : m_views) {
        if (view.owner.empty())
            continue;
        const bool alone = m_local.isActive(group);
        const bool holds = m_heldByGroup.count(group) > 0;
        const bool unheard = view.unansweredSince && now - *view.unansweredSince >= kProbeInterval;
        const bool unsettled = !view.settled && now - view.released >= kSettle;
        const bool wanted = alone || unheard || holds || unsettled;
        if (wanted && now - view.reported >= (alone || unheard ? kProbeInterval : interval))
            sendReport(group, view, now);
        if (!alone && view.unansweredSince && now - *view.unansweredSince >= kUnreachableAfter)
            unreachable.push_back(group);
    }
    for (const auto &it : unreachable)
        enterAlone(it, now);
}

void AdmissionRequester::onTick(TimePoint now)
{
    m_local.onTick(now);
    handleLocalActions(now);
    checkOwners(now);
    repeatAsks(now);
    handleLocalActions(now);
}

void AdmissionRequester::onMembership(TimePoint now)
{
    m_local.onChange(now);
    std::vector<GroupId> changed;
    for (const auto &[group, view] : m_views) {
        if (m_world.directory.ownerOf(group) != view.owner)
            changed.push_back(group);
    }
    for (const auto &group : changed) {
        OwnerView &view = m_views[group];
        const NodeId earlier = view.owner;
        view = OwnerView{};
        view.owner = m_world.directory.ownerOf(group);
        if (view.owner.empty())
            continue;
        m_local.stop(group);
        if (m_heldByGroup.count(group) > 0)
            sendReport(group, view, now);
        for (const auto &[key, pending] : m_pending) {
            if (pending.group == group && pending.owner == earlier && !earlier.empty())
                withdraw(key.request, earlier, now);
        }
        submitAll(group, now);
    }
    handleLocalActions(now);
}

} // namespace hawthornslip
