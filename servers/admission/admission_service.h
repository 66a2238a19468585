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

/** Failure domain and scheduling policy of this node. */
struct AdmissionSettings
{
    FailureDomain domain;
    SchedulingPolicy policy = SchedulingPolicy::Hawthornslip;
};

/**
 * Admission on the control thread: requests grants from the group owners for this node's requests,
 * and schedules the groups that this node owns. The loop must be stopped before this object is
 * destroyed.
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

    /** Sets the upstreams that are leaving but not drained by the configuration; any thread. */
    void setLeavingUpstreams(std::vector<UpstreamId> upstreams);

    /** @return the load of @p group in this node's scheduler; control thread only. */
    GroupLoadInfo loadOf(const GroupId &group) const { return m_owner.loadOf(group, m_loop.now()); }

    /** @return the summed counts of this node's schedulers; control thread only. */
    SchedulerStats stats() const { return m_owner.stats(); }

    /** @return this node's pending and running requests, by group; control thread only. */
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
