#include "servers/admission/admission_service.h"

#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kTickInterval = milliseconds(50);

} // namespace

AdmissionService::AdmissionService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                                   const ConfigSource &config, Metrics &metrics,
                                   const AdmissionSettings &settings)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
    , m_context{bus.self(),
                bus.incarnation(),
                settings.domain,
                settings.policy,
                membership,
                config,
                metrics,
                [this](const NodeId &to, peer::Envelope message) {
                    m_bus.send(to, std::move(message));
                },
                config.current(),
                {},
                {}}
    , m_owner(m_context)
    , m_requester(m_context)
{
    m_context.directory.setConfig(*m_context.config, m_context.leavingUpstreams);
    m_context.directory.setOwnerCandidates(membership.ownerCandidates());
}

void AdmissionService::start()
{
    using Body = peer::Envelope;
    for (const auto kind :
         {Body::kAdmissionRequest, Body::kAdmissionCancel, Body::kGrant, Body::kRefusal,
          Body::kGrantAck, Body::kGrantRelease, Body::kPreempt, Body::kGrantReport,
          Body::kGroupLoad, Body::kGrantProgress, Body::kUpstreamReports}) {
        m_bus.handle(kind, [this](const NodeId &sender, const peer::Envelope &message) {
            onMessage(sender, message);
        });
    }
    m_membership.subscribe([this] { onMembership(); });
    m_loop.post([this] { onMembership(); });
    m_loop.every(kTickInterval, [this] { onTick(); });
}

void AdmissionService::request(AdmissionParams params, Answer answer, Preempt preempt)
{
    m_loop.post([this, params = std::move(params), answer = std::move(answer),
                 preempt = std::move(preempt)]() mutable {
        refreshConfig(false);
        m_requester.request(std::move(params), std::move(answer), std::move(preempt), m_loop.now());
    });
}

void AdmissionService::cancel(const RequestId &request, std::uint32_t attempt)
{
    m_loop.post([this, request, attempt] { m_requester.cancel(request, attempt, m_loop.now()); });
}

void AdmissionService::progress(const AdmissionGrant &grant, std::uint32_t tokens,
                                Duration firstToken)
{
    m_loop.post([this, grant, tokens, firstToken] {
        m_requester.progress(grant, tokens, firstToken, m_loop.now());
    });
}

void AdmissionService::release(const AttemptReport &report)
{
    m_loop.post([this, report] { m_requester.release(report, m_loop.now()); });
}

void AdmissionService::setLeavingUpstreams(std::vector<UpstreamId> upstreams)
{
    m_loop.post([this, upstreams = std::move(upstreams)] {
        m_context.leavingUpstreams = {upstreams.begin(), upstreams.end()};
        refreshConfig(true);
    });
}

void AdmissionService::onMessage(const NodeId &sender, const peer::Envelope &message)
{
    const TimePoint now = m_loop.now();
    refreshConfig(false);
    m_owner.onMessage(sender, message, now);
    m_requester.onMessage(sender, message, now);
}

void AdmissionService::onMembership()
{
    const TimePoint now = m_loop.now();
    m_context.directory.setOwnerCandidates(m_membership.ownerCandidates());
    m_owner.onMembership(now);
    m_requester.onMembership(now);
}

void AdmissionService::onTick()
{
    const TimePoint now = m_loop.now();
    refreshConfig(false);
    m_owner.onTick(now);
    m_requester.onTick(now);
}

void AdmissionService::refreshConfig(bool force)
{
    auto config = m_context.configSource.current();
    if (config == m_context.config && !force)
        return;
    m_context.config = std::move(config);
    m_context.directory.setConfig(*m_context.config, m_context.leavingUpstreams);
    m_owner.onConfig(m_loop.now());
    m_requester.onConfig(m_loop.now());
}

} // namespace hawthornslip
