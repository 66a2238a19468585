#include "servers/admission/admission_requester.h"

#include "servers/admission/admission_codec.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornslip {

namespace {

constexpr Duration kFirstRepeat = milliseconds(300);
constexpr Duration kLongestRepeat = seconds(2);
// The owner answers a request at its deadline; this node answers itself a little later.
constexpr Duration kDeadlineGrace = milliseconds(500);

bool triesElsewhere(Reason reason)
{
    return reason == Reason::DeadlineUnreachable || reason == Reason::QueueFull ||
           reason == Reason::NoUpstream;
}

RequestError makeError(Reason reason, Duration retryAfter)
{
    return {reason, Execution::NotRun, std::string(nameOf(reason)), retryAfter};
}

} // namespace

AdmissionRequester::AdmissionRequester(AdmissionWorld &world)
    : m_world(world)
    , m_chooser(world.domain)
    , m_local(world, [this](const GroupId &group, const SchedulerAction &action) {
        // Handled after the scheduler's call has returned, as the answers may lead to new calls.
        m_localActions.emplace_back(group, action);
    })
{}

AdmissionRequester::OwnerView &AdmissionRequester::viewOf(const GroupId &group)
{
    const auto [it, isNew] = m_views.try_emplace(group);
    if (isNew)
        it->second.owner = m_world.directory.ownerOf(group);
    return it->second;
}

void AdmissionRequester::sendTo(const GroupId & /*group*/, OwnerView &view, peer::Envelope message,
                                TimePoint now)
{
    if (!view.unansweredSince)
        view.unansweredSince = now;
    m_world.send(view.owner, std::move(message));
}

void AdmissionRequester::request(AdmissionAsk ask, AdmissionGateway::Answer answer,
                                 AdmissionGateway::Preempt preempt, TimePoint now)
{
    const AttemptKey key{ask.request, ask.attempt};
    Pending pending;
    pending.ask = std::move(ask);
    pending.answer = std::move(answer);
    pending.preempt = std::move(preempt);
    pending.asked = now;
    const auto [it, isNew] = m_pending.try_emplace(key, std::move(pending));
    if (!isNew) {
        // NOLINTNEXTLINE(bugprone-use-after-move): try_emplace leaves its argument on failure.
        pending.answer(makeError(Reason::Internal, Duration(0)));
        return;
    }
    place(key, now);
    handleLocalActions(now);
}

void AdmissionRequester::place(const AttemptKey &key, TimePoint now)
{
    Pending &pending = m_pending.at(key);
    const auto &model = pending.ask.model;
    const auto group = m_chooser.choose(pending.ask.profile.tier, m_world.directory.groupsOf(model),
                                        pending.tried, now);
    if (!group) {
        const Reason none =
                m_world.directory.hasModel(model) ? Reason::NoUpstream : Reason::UnknownModel;
        fail(key, pending.refusal.value_or(makeError(none, Duration(0))));
        return;
    }
    pending.tried.push_back(group->domain);
    pending.group = *group;
    submit(pending, now);
}

void AdmissionRequester::submit(Pending &pending, TimePoint now)
{
    OwnerView &view = viewOf(pending.group);
    const Duration passed = now - pending.asked;
    if (view.owner.empty() && !m_local.isActive(pending.group))
        enterAlone(pending.group, now);
    pending.sent = now;
    if (m_local.isActive(pending.group)) {
        pending.owner = NodeId{};
        m_local.ask(pending.group, pending.ask, passed, now);
        return;
    }
    if (pending.owner != view.owner)
        pending.repeatAfter = Duration(0);
    pending.owner = view.owner;
    pending.repeatAfter = std::clamp(2 * pending.repeatAfter, kFirstRepeat, kLongestRepeat);
    peer::Envelope message;
    admission::toMessage(pending.ask, pending.group, passed, *message.mutable_admission_request());
    sendTo(pending.group, view, std::move(message), now);
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
    m_world.send(owner, std::move(message));
}

void AdmissionRequester::cancel(const RequestId &request, std::uint32_t attempt, TimePoint now)
{
    const AttemptKey key{request, attempt};
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    withdraw(request, it->second.owner, now);
    fail(key, makeError(Reason::CallerGone, Duration(0)));
    // The message names the request only; its other attempts are asked for again.
    for (const auto &other : attemptsOf(m_pending, request))
        submit(m_pending.at(other), now);
    handleLocalActions(now);
}

void AdmissionRequester::progress(const AdmissionGrant &grant, std::uint32_t tokens,
                                  Duration firstToken, TimePoint now)
{
    const auto it = m_held.find(grant.grant);
    if (it == m_held.end())
        return;
    Held &held = it->second;
    held.tokens = std::max(held.tokens, tokens);
    // Later progress travels with the reports, which cost less than a message for each stream.
    if (held.firstTokenSent || firstToken <= Duration(0))
        return;
    held.firstTokenSent = true;
    peer::Envelope message;
    auto &body = *message.mutable_grant_progress();
    body.set_grant_id(grant.grant.value);
    admission::toMessage(grant.group, *body.mutable_group());
    body.set_tokens(tokens);
    body.set_first_token(static_cast<std::uint64_t>(firstToken.count()));
    OwnerView &view = viewOf(grant.group);
    if (!view.owner.empty())
        m_world.send(view.owner, std::move(message));
    (void)now;
}

void AdmissionRequester::release(const AttemptReport &report, TimePoint now)
{
    const auto it = m_held.find(report.grant.grant);
    if (it == m_held.end())
        return;
    const NodeId granter = it->second.granter;
    auto &inGroup = m_heldByGroup[report.grant.group];
    inGroup.erase(report.grant.grant);
    if (inGroup.empty())
        m_heldByGroup.erase(report.grant.group);
    m_held.erase(it);
    OwnerView &view = viewOf(report.grant.group);
    view.released = now;
    view.emptyReportSent.reset();
    view.settled = false;
    peer::Envelope message;
    admission::toMessage(report, *message.mutable_grant_release());
    if (!view.owner.empty())
        m_world.send(view.owner, message);
    // The node that granted it may still schedule the group.
    if (!granter.empty() && granter != view.owner)
        m_world.send(granter, std::move(message));
    m_local.release(report, now);
    handleLocalActions(now);
}

void AdmissionRequester::giveBack(const AdmissionGrant &grant, const NodeId &granter)
{
    AttemptReport report;
    report.grant = grant;
    peer::Envelope message;
    admission::toMessage(report, *message.mutable_grant_release());
    m_world.send(granter, std::move(message));
}

void AdmissionRequester::accept(const AttemptKey &key, const AdmissionGrant &grant,
                                const NodeId &granter, TimePoint now)
{
    Pending &pending = m_pending.at(key);
    Held held;
    held.grant = grant;
    held.key = key;
    held.model = pending.ask.model;
    held.workspace = pending.ask.workspace;
    held.profile = pending.ask.profile.name;
    held.preempt = std::move(pending.preempt);
    held.granter = granter;
    held.since = now;
    const NodeId asked = pending.owner;
    // An owner that did not give this grant learns of it by a report at once.
    OwnerView &view = viewOf(grant.group);
    if (!granter.empty() && granter != view.owner)
        view.reported = TimePoint{};
    m_heldByGroup[grant.group].insert(grant.grant);
    m_held.emplace(grant.grant, std::move(held));
    finish(key, grant);
    if (asked != granter)
        withdraw(key.request, asked, now);
}

void AdmissionRequester::refused(const AttemptKey &key, Reason reason, Duration retryAfter,
                                 TimePoint now)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    const auto error = makeError(reason, retryAfter);
    // The refusal that promises the earliest success is the one that the caller is told.
    auto &first = it->second.refusal;
    if (!first || retryAfter < first->retryAfter)
        first = error;
    if (triesElsewhere(reason))
        place(key, now);
    else
        fail(key, error);
}

void AdmissionRequester::preemptHeld(const GrantId &grant)
{
    Held &held = m_held.at(grant);
    if (held.preempted)
        return;
    held.preempted = true;
    if (held.preempt)
        held.preempt();
}

void AdmissionRequester::onLocalAction(const GroupId &group, const SchedulerAction &action)
{
    const TimePoint now = m_localTime;
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
        refused(refusal->key, refusal->reason, refusal->retryAfter, now);
    } else {
        const GrantId &victim = std::get<PreemptAction>(action).grant;
        if (m_held.count(victim) > 0)
            preemptHeld(victim);
    }
}

void AdmissionRequester::handleLocalActions(TimePoint now)
{
    m_localTime = now;
    while (!m_localActions.empty()) {
        const auto actions = std::exchange(m_localActions, {});
        for (const auto &[group, action] : actions)
            onLocalAction(group, action);
    }
}

void AdmissionRequester::repeatAsks(TimePoint now)
{
    std::vector<AttemptKey> over;
    std::vector<AttemptKey> due;
    for (const auto &[key, pending] : m_pending) {
        if (now - pending.asked > pending.ask.remaining + kDeadlineGrace)
            over.push_back(key);
        else if (!pending.owner.empty() && now - pending.sent >= pending.repeatAfter)
            due.push_back(key);
    }
    for (const auto &it : over) {
        withdraw(it.request, m_pending.at(it).owner, now);
        fail(it, makeError(Reason::DeadlineExceeded, Duration(0)));
    }
    for (const auto &it : due) {
        const auto pending = m_pending.find(it);
        if (pending != m_pending.end())
            submit(pending->second, now);
    }
}

std::map<GroupId, double> AdmissionRequester::demand() const
{
    std::map<GroupId, double> counts;
    for (const auto &[key, pending] : m_pending)
        ++counts[{pending.ask.model, pending.group.domain}];
    for (const auto &[id, held] : m_held)
        ++counts[{held.model, held.grant.group.domain}];
    return counts;
}

} // namespace hawthornslip
