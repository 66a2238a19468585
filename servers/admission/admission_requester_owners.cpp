// The part of AdmissionRequester that talks to the owners: messages, grant reports, owner changes
// and local admission.
#include "servers/admission/admission_codec.h"
#include "servers/admission/admission_requester.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kOwnerTimeout = seconds(1);
// Interval of reports to an owner that does not answer, so that one lost message does not make it
// count as unreachable.
constexpr Duration kProbeInterval = milliseconds(300);
// A report takes about 100 bytes per grant; this keeps a node's reports near 1 kB/s until
// kMaxReportInterval applies.
constexpr Duration kReportIntervalPerGrant = milliseconds(100);
constexpr Duration kMinReportInterval = seconds(1);
constexpr Duration kMaxReportInterval = seconds(10);
// An owner frees a grant that is missing from a report only when it is older than 5 s. A report
// sent this long after the last release frees every slot whose release message was lost.
constexpr Duration kReleaseConfirmDelay = seconds(6);

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
        releaseUnused(grant, sender);
        return;
    }
    peer::Envelope reply;
    reply.mutable_grant_ack()->set_grant_id(grant.grant.value);
    m_context.send(sender, std::move(reply));
    if (!held)
        accept(key, grant, sender, now);
}

void AdmissionRequester::onRefusal(const NodeId &sender, const peer::Refusal &message,
                                   TimePoint now)
{
    onLoad(sender, message.load(), now);
    const AttemptKey key{RequestId(message.request_id()), message.attempt()};
    const auto it = m_pending.find(key);
    // Refusals from a previous owner or for a previous group are ignored.
    if (it == m_pending.end() || it->second.owner != sender ||
        it->second.group != admission::fromMessage(message.load().group()))
        return;
    const auto last = static_cast<std::uint32_t>(Reason::Internal);
    handleRefusal(key, static_cast<Reason>(std::min(message.reason(), last)),
                  Duration(static_cast<std::int64_t>(message.retry_after())), now);
}

void AdmissionRequester::onLoad(const NodeId &sender, const peer::GroupLoad &message, TimePoint now)
{
    const GroupId group = admission::fromMessage(message.group());
    const auto it = m_owners.find(group);
    if (it == m_owners.end() || it->second.owner != sender)
        return;
    m_chooser.observe(group, admission::fromMessage(message), now);
    it->second.unansweredSince.reset();
    if (it->second.emptyReportSentAt)
        it->second.releaseConfirmed = true;
    if (m_local.isActive(group))
        stopLocalAdmission(group, now);
}

GrantReportEvent AdmissionRequester::makeGrantReport(const GroupId &group, TimePoint now) const
{
    GrantReportEvent event;
    event.node = m_context.self;
    const auto grants = m_heldByGroup.find(group);
    if (grants == m_heldByGroup.end())
        return event;
    for (const auto &id : grants->second) {
        const HeldGrant &held = m_held.at(id);
        event.grants.push_back({id, held.key.request, held.grant.upstream, held.workspace,
                                admission::sharedProfile(m_context.config, held.profile),
                                now - held.grantedAt, held.tokens});
    }
    return event;
}

void AdmissionRequester::sendReport(const GroupId &group, OwnerState &state, TimePoint now)
{
    state.reportedAt = now;
    peer::Envelope message;
    auto &report = *message.mutable_grant_report();
    admission::toMessage(group, *report.mutable_group());
    const auto held = makeGrantReport(group, now);
    if (held.grants.empty() && now - state.releasedAt >= kReleaseConfirmDelay)
        state.emptyReportSentAt = now;
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
    sendToOwner(group, state, std::move(message), now);
}

void AdmissionRequester::startLocalAdmission(const GroupId &group, TimePoint now)
{
    m_local.start(group, makeGrantReport(group, now), now);
    dispatchAll(group, now);
}

void AdmissionRequester::stopLocalAdmission(const GroupId &group, TimePoint now)
{
    m_local.stop(group);
    // Reports the grants that this node issued locally.
    sendReport(group, ownerStateOf(group), now);
    dispatchAll(group, now);
}

void AdmissionRequester::dispatchAll(const GroupId &group, TimePoint now)
{
    for (auto &[key, pending] : m_pending) {
        if (pending.group == group)
            dispatch(pending, now);
    }
}

void AdmissionRequester::checkOwners(TimePoint now)
{
    const auto interval =
            std::clamp(kReportIntervalPerGrant * static_cast<std::int64_t>(m_held.size()),
                       kMinReportInterval, kMaxReportInterval);
    std::vector<GroupId> unreachable;
    for (auto &[group, state] : m_owners) {
        if (state.owner.empty())
            continue;
        const bool local = m_local.isActive(group);
        const bool hasGrants = m_heldByGroup.count(group) > 0;
        const bool unanswered =
                state.unansweredSince && now - *state.unansweredSince >= kProbeInterval;
        const bool releaseUnconfirmed =
                !state.releaseConfirmed && now - state.releasedAt >= kReleaseConfirmDelay;
        const bool reportNeeded = local || unanswered || hasGrants || releaseUnconfirmed;
        if (reportNeeded &&
            now - state.reportedAt >= (local || unanswered ? kProbeInterval : interval))
            sendReport(group, state, now);
        if (!local && state.unansweredSince && now - *state.unansweredSince >= kOwnerTimeout)
            unreachable.push_back(group);
    }
    for (const auto &it : unreachable)
        startLocalAdmission(it, now);
}

void AdmissionRequester::onTick(TimePoint now)
{
    m_local.onTick(now);
    handleLocalActions(now);
    checkOwners(now);
    retransmitRequests(now);
    handleLocalActions(now);
}

void AdmissionRequester::onMembership(TimePoint now)
{
    m_local.onChange(now);
    std::vector<GroupId> changed;
    for (const auto &[group, state] : m_owners) {
        if (m_context.directory.ownerOf(group) != state.owner)
            changed.push_back(group);
    }
    for (const auto &group : changed) {
        OwnerState &state = m_owners[group];
        const NodeId earlier = state.owner;
        state = OwnerState{};
        state.owner = m_context.directory.ownerOf(group);
        if (state.owner.empty())
            continue;
        m_local.stop(group);
        if (m_heldByGroup.count(group) > 0)
            sendReport(group, state, now);
        for (const auto &[key, pending] : m_pending) {
            if (pending.group == group && pending.owner == earlier && !earlier.empty())
                withdraw(key.request, earlier, now);
        }
        dispatchAll(group, now);
    }
    handleLocalActions(now);
}

} // namespace hawthornslip
