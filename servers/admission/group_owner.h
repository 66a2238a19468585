#pragma once

#include "modules/admission/group_scheduler.h"
#include "servers/admission/admission_context.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace hawthornslip {

/**
 * Owner side of admission: runs a scheduler for each group that this node gets requests or reports
 * for and sends its actions as messages. Owners of the same group need no consensus; two owners at
 * once only overload the group briefly.
 */
class GroupOwner
{
public:
    explicit GroupOwner(AdmissionContext &context);

    /** Handles an admission message for an owner; others are ignored. */
    void onMessage(const NodeId &sender, const peer::Envelope &message, TimePoint now);

    /** Retransmits or frees unacknowledged grants, ticks the schedulers; call every 50 ms. */
    void onTick(TimePoint now);

    /** Frees the grants of dead nodes and drops groups that this node no longer owns. */
    void onMembership(TimePoint now);

    /** Passes the upstreams of the configuration to the schedulers. */
    void onConfig(TimePoint now);

    /** @return the load of @p group in its scheduler; all zero without a scheduler. */
    GroupLoadInfo loadOf(const GroupId &group, TimePoint now) const;

    /** @return the summed counts of all schedulers of this node. */
    SchedulerStats stats() const;

private:
    struct Group
    {
        std::unique_ptr<GroupScheduler> scheduler;
        TimePoint rebuildEndsAt{};
        bool rebuilding = false;
        TimePoint usedAt{};
        SchedulerStats publishedStats;
    };

    struct UnacknowledgedGrant
    {
        NodeId node;
        GroupId group;
        peer::Grant message;
        TimePoint firstSentAt{};
        TimePoint lastSentAt{};
    };

    struct NodeState
    {
        std::uint64_t incarnation = 0;
        TimePoint lastMessageAt{};
    };

    Group &groupOf(const GroupId &id, TimePoint now);
    bool ownsGroup(const GroupId &id);
    void onRequest(const NodeId &sender, const peer::AdmissionRequest &message, TimePoint now);
    void onCancel(const RequestId &request, TimePoint now);
    void onRelease(const peer::GrantRelease &message, TimePoint now);
    void onProgress(const peer::GrantProgress &message, TimePoint now);
    void onReport(const NodeId &sender, const peer::GrantReport &message, TimePoint now);
    void onUpstreamReports(const peer::UpstreamReports &message, TimePoint now);
    void apply(const GroupId &id, const SchedulerActions &actions, TimePoint now);
    void sendGrant(const GroupId &id, const GrantAction &action, TimePoint now);
    void sendRefusal(const GroupId &id, const RefuseAction &action, TimePoint now);
    void sendPreempt(const PreemptAction &action);
    void sendLoad(const NodeId &to, const GroupId &id, TimePoint now);
    void retransmitGrants(TimePoint now);
    void checkNodes(TimePoint now);
    void releaseNode(const NodeId &node, TimePoint now);
    void publish(const GroupId &id, Group &group, TimePoint now);

    AdmissionContext &m_context;
    std::unordered_map<GroupId, Group> m_groups;
    std::unordered_map<GrantId, UnacknowledgedGrant> m_unacknowledged;
    std::unordered_map<NodeId, NodeState> m_nodes;
    std::uint64_t m_schedulersMade = 0;
    TimePoint m_publishedAt{};
};

} // namespace hawthornslip
