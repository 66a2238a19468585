#include "servers/admission/admission_requester.h"

#include "servers/admission/admission_codec.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornslip {

namespace {

constexpr Duration kInitialRetransmitDelay = milliseconds(300);
constexpr Duration kMaxRetransmitDelay = seconds(2);
// The owner refuses a request at its deadline; this node does so after the grace period.
constexpr Duration kDeadlineGrace = milliseconds(500);

bool canTryAnotherGroup(Reason reason)
{
    return reason == Reason::DeadlineUnreachable || reason == Reason::QueueFull ||
           reason == Reason::NoUpstream;
}

RequestError makeError(Reason reason, Duration retryAfter)
{
    return {reason, Execution::NotRun, std::string(nameOf(reason)), retryAfter};
}

} // namespace

AdmissionRequester::AdmissionRequester(AdmissionContext &context)
    : m_context(context)
    , m_chooser(context.domain)
    , m_local(context, [this](const GroupId &group, const SchedulerAction &action) {
        // Deferred until the scheduler has returned, because handling an action may call it again.
        m_localActions.emplace_back(group, action);
    })
{}

AdmissionRequester::OwnerState &AdmissionRequester::ownerStateOf(const GroupId &group)
{
    const auto [it, isNew] = m_owners.try_emplace(group);
    if (isNew)
        it->second.owner = m_context.directory.ownerOf(group);
    return it->second;
}

void AdmissionRequester::sendToOwner(const GroupId & /*group*/, OwnerState &state,
                                     peer::Envelope message, TimePoint now)
{
    if (!state.unansweredSince)
        state.unansweredSince = now;
    m_context.send(state.owner, std::move(message));
}

void AdmissionRequester::request(AdmissionParams params, AdmissionGateway::Answer answer,
                                 AdmissionGateway::Preempt preempt, TimePoint now)
{
    const AttemptKey key{params.request, params.attempt};
    PendingRequest pending;
    pending.params = std::move(params);
    pending.answer = std::move(answer);
    pending.preempt = std::move(preempt);
    pending.requestedAt = now;
    const auto [it, isNew] = m_pending.try_emplace(key, std::move(pending));
    if (!isNew) {
        // NOLINTNEXTLINE(bugprone-use-after-move): try_emplace leaves its argument on failure.
        pending.answer(makeError(Reason::Internal, Duration(0)));
        return;
    }
    dispatchToNextGroup(key, now);
    handleLocalActions(now);
}

void AdmissionRequester::dispatchToNextGroup(const AttemptKey &key, TimePoint now)
{
    PendingRequest &pending = m_pending.at(key);
    const auto &model = pending.params.model;
    const auto group =
            m_chooser.choose(pending.params.profile.tier, m_context.directory.groupsOf(model),
                             pending.triedDomains, now);
    if (!group) {
        const Reason none =
                m_context.directory.hasModel(model) ? Reason::NoUpstream : Reason::UnknownModel;
        fail(key, pending.refusal.value_or(makeError(none, Duration(0))));
        return;
    }
    pending.triedDomains.push_back(group->domain);
    pending.group = *group;
    dispatch(pending, now);
}

void AdmissionRequester::dispatch(PendingRequest &pending, TimePoint now)
{
    OwnerState &state = ownerStateOf(pending.group);
    const Duration elapsed = now - pending.requestedAt;
    if (state.owner.empty() && !m_local.isActive(pending.group))
        startLocalAdmission(pending.group, now);
    pending.sentAt = now;
    if (m_local.isActive(pending.group)) {
        pending.owner = NodeId{};
        m_local.request(pending.group, pending.params, elapsed, now);
        return;
    }
    if (pending.owner != state.owner)
        pending.retransmitDelay = Duration(0);
    pending.owner = state.owner;
    pending.retransmitDelay =
            std::clamp(2 * pending.retransmitDelay, kInitialRetransmitDelay, kMaxRetransmitDelay);
    peer::Envelope message;
    admission::toMessage(pending.params, pending.group, elapsed,
                         *message.mutable_admission_request());
    sendToOwner(pending.group, state, std::move(message), now);
}

void AdmissionRequester::finish(const AttemptKey &key, const AdmissionAnswer &answer)
{
    const auto node = m_pending.extract(key);
    if (!node.empty())
        node.mapped().answer(answer);
}

void AdmissionRequester::fail(const AttemptKey &key, RequestError error)
{
    finish(key, std::move(error));
}

void AdmissionRequester::withdraw(const RequestId &request, const NodeId &owner, TimePoint now)
{
    if (owner.empty()) {
        m_local.cancel(request, now);
        return;
    }
    peer::Envelope message;
    message.mutable_admission_cancel()->set_request_id(request.value);
    m_context.send(owner, std::move(message));
}

void AdmissionRequester::cancel(const RequestId &request, std::uint32_t attempt, TimePoint now)
{
    const AttemptKey key{request, attempt};
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    withdraw(request, it->second.owner, now);
    fail(key, makeError(Reason::CallerGone, Duration(0)));
    // AdmissionCancel covers all attempts of the request; the others are requested again.
    for (const auto &other : attemptsOf(m_pending, request))
        dispatch(m_pending.at(other), now);
    handleLocalActions(now);
}

void AdmissionRequester::progress(const AdmissionGrant &grant, std::uint32_t tokens,
                                  Duration firstToken, TimePoint now)
{
    const auto it = m_held.find(grant.grant);
    if (it == m_held.end())
        return;
    HeldGrant &held = it->second;
    held.tokens = std::max(held.tokens, tokens);
    // Later progress is part of the grant reports, which cost less than a message per stream.
    if (held.firstTokenSent || firstToken <= Duration(0))
        return;
    held.firstTokenSent = true;
    peer::Envelope message;
    auto &body = *message.mutable_grant_progress();
    body.set_grant_id(grant.grant.value);
    admission::toMessage(grant.group, *body.mutable_group());
    body.set_tokens(tokens);
    body.set_first_token(static_cast<std::uint64_t>(firstToken.count()));
    OwnerState &state = ownerStateOf(grant.group);
    if (!state.owner.empty())
        m_context.send(state.owner, std::move(message));
    (void)now;
}

void AdmissionRequester::release(const AttemptReport &report, TimePoint now)
{
    const auto it = m_held.find(report.grant.grant);
    if (it == m_held.end())
        return;
    const NodeId grantingNode = it->second.grantingNode;
    auto &inGroup = m_heldByGroup[report.grant.group];
    inGroup.erase(report.grant.grant);
    if (inGroup.empty())
        m_heldByGroup.erase(report.grant.group);
    m_held.erase(it);
    OwnerState &state = ownerStateOf(report.grant.group);
    state.releasedAt = now;
    state.emptyReportSentAt.reset();
    state.releaseConfirmed = false;
    peer::Envelope message;
    admission::toMessage(report, *message.mutable_grant_release());
    if (!state.owner.empty())
        m_context.send(state.owner, message);
    // The granting node may still schedule the group.
    if (!grantingNode.empty() && grantingNode != state.owner)
        m_context.send(grantingNode, std::move(message));
    m_local.release(report, now);
    handleLocalActions(now);
}

void AdmissionRequester::releaseUnused(const AdmissionGrant &grant, const NodeId &grantingNode)
{
    AttemptReport report;
    report.grant = grant;
    peer::Envelope message;
    admission::toMessage(report, *message.mutable_grant_release());
    m_context.send(grantingNode, std::move(message));
}

void AdmissionRequester::accept(const AttemptKey &key, const AdmissionGrant &grant,
                                const NodeId &grantingNode, TimePoint now)
{
    PendingRequest &pending = m_pending.at(key);
    HeldGrant held;
    held.grant = grant;
    held.key = key;
    held.model = pending.params.model;
    held.workspace = pending.params.workspace;
    held.profile = pending.params.profile.name;
    held.preempt = std::move(pending.preempt);
    held.grantingNode = grantingNode;
    held.grantedAt = now;
    const NodeId requestedNode = pending.owner;
    // An owner that did not issue this grant gets a report at the next tick.
    OwnerState &state = ownerStateOf(grant.group);
    if (!grantingNode.empty() && grantingNode != state.owner)
        state.reportedAt = TimePoint{};
    m_heldByGroup[grant.group].insert(grant.grant);
    m_held.emplace(grant.grant, std::move(held));
    finish(key, grant);
    if (requestedNode != grantingNode)
        withdraw(key.request, requestedNode, now);
}

void AdmissionRequester::handleRefusal(const AttemptKey &key, Reason reason, Duration retryAfter,
                                       TimePoint now)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    const auto error = makeError(reason, retryAfter);
    // When all groups refused, the caller gets the refusal with the shortest retryAfter.
    auto &first = it->second.refusal;
    if (!first || retryAfter < first->retryAfter)
        first = error;
    if (canTryAnotherGroup(reason))
        dispatchToNextGroup(key, now);
    else
        fail(key, error);
}

void AdmissionRequester::preemptHeld(const GrantId &grant)
{
    HeldGrant &held = m_held.at(grant);
    if (held.preempted)
        return;
    held.preempted = true;
    if (held.preempt)
        held.preempt();
}

void AdmissionRequester::onLocalAction(const GroupId &group, const SchedulerAction &action)
{
    const TimePoint now = m_localActionTime;
    if (const auto *grant = std::get_if<GrantAction>(&action)) {
        const AdmissionGrant given{grant->grant, group, grant->upstream};
        if (m_pending.count(grant->key) > 0) {
            accept(grant->key, given, NodeId{}, now);
        } else if (m_held.count(grant->grant) == 0) {
            AttemptReport unused;
            unused.grant = given;
            m_local.release(unused, now);
        }
    } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
        handleRefusal(refusal->key, refusal->reason, refusal->retryAfter, now);
    } else {
        const GrantId &victim = std::get<PreemptAction>(action).grant;
        if (m_held.count(victim) > 0)
            preemptHeld(victim);
    }
}

void AdmissionRequester::handleLocalActions(TimePoint now)
{
    m_localActionTime = now;
    while (!m_localActions.empty()) {
        const auto actions = std::exchange(m_localActions, {});
        for (const auto &[group, action] : actions)
            onLocalAction(group, action);
    }
}

void AdmissionRequester::retransmitRequests(TimePoint now)
{
    std::vector<AttemptKey> expired;
    std::vector<AttemptKey> due;
    for (const auto &[key, pending] : m_pending) {
        if (now - pending.requestedAt > pending.params.remaining + kDeadlineGrace)
            expired.push_back(key);
        else if (!pending.owner.empty() && now - pending.sentAt >= pending.retransmitDelay)
            due.push_back(key);
    }
    for (const auto &it : expired) {
        withdraw(it.request, m_pending.at(it).owner, now);
        fail(it, makeError(Reason::DeadlineExceeded, Duration(0)));
    }
    for (const auto &it : due) {
        const auto pending = m_pending.find(it);
        if (pending != m_pending.end())
            dispatch(pending->second, now);
    }
}

std::map<GroupId, double> AdmissionRequester::demand() const
{
    std::map<GroupId, double> counts;
    for (const auto &[key, pending] : m_pending)
        ++counts[{pending.params.model, pending.group.domain}];
    for (const auto &[id, held] : m_held)
        ++counts[{held.model, held.grant.group.domain}];
    return counts;
}

} // namespace hawthornslip
