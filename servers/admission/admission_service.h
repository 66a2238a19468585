#pragma once

#include "servers/admission/admission_context.h"
#include "servers/admission/admission_gateway.h"
#include "servers/admission/admission_requester.h"
#include "servers/admission/group_owner.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <map>
#include <vector>

namespace hawthornslip {

/** Where this node is and how it decides. */
struct AdmissionSettings
{
    FailureDomain domain;
    SchedulingPolicy policy = SchedulingPolicy::Hawthornslip;
};

/**
 * Admission on the control thread: asks the owner of a group for each request of this node, and
 * decides for the groups that this node owns. The loop must stop before this object goes.
 */
class AdmissionService : public AdmissionGateway
{
public:
    AdmissionService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                     const ConfigSource &config, Metrics &metrics,
                     const AdmissionSettings &settings);

    /** Registers the handlers and timers; call once, before the loop starts or on its thread. */
    void start();

    void request(AdmissionParams params, Answer answer, Preempt preempt) override;
    void cancel(const RequestId &request, std::uint32_t attempt) override;
    void progress(const AdmissionGrant &grant, std::uint32_t tokens, Duration firstToken) override;
    void release(const AttemptReport &report) override;

    /** Sets the upstreams that leave without being drained by the configuration; any thread. */
    void setLeavingUpstreams(std::vector<UpstreamId> upstreams);

    /** @return the load of @p group as this node's scheduler sees it; on the control thread. */
    GroupLoadInfo loadOf(const GroupId &group) const { return m_owner.loadOf(group, m_loop.now()); }

    /** @return the counts of this node's schedulers; on the control thread. */
    SchedulerStats stats() const { return m_owner.stats(); }

    /** @return this node's requests that wait or run, by group; control thread only. */
    std::map<GroupId, double> demand() const { return m_requester.demand(); }

private:
    void onMessage(const NodeId &sender, const peer::Envelope &message);
    void onMembership();
    void onTick();
    void refreshConfig(bool force);

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipSource &m_membership;
    AdmissionContext m_context;
    GroupOwner m_owner;
    AdmissionRequester m_requester;
};

} // namespace hawthornslip
