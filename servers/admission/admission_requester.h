#pragma once

#include "modules/admission/attempt_key_hash.h"
#include "modules/selection/group_chooser.h"
#include "servers/admission/admission_context.h"
#include "servers/admission/admission_gateway.h"
#include "servers/admission/local_admission.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hawthornslip {

/**
 * Requesting side of admission: sends this node's requests to the group owners, retransmits them,
 * tracks the grants that this node holds and admits locally while an owner is unreachable.
 */
class AdmissionRequester
{
public:
    explicit AdmissionRequester(AdmissionContext &context);

    /** See AdmissionGateway; @p now is the time of the call. */
    void request(AdmissionParams params, AdmissionGateway::Answer answer,
                 AdmissionGateway::Preempt preempt, TimePoint now);
    void cancel(const RequestId &request, std::uint32_t attempt, TimePoint now);
    void progress(const AdmissionGrant &grant, std::uint32_t tokens, Duration firstToken,
                  TimePoint now);
    void release(const AttemptReport &report, TimePoint now);

    /** Handles an admission message for a requesting node; others are ignored. */
    void onMessage(const NodeId &sender, const peer::Envelope &message, TimePoint now);

    /** Retransmits requests, sends grant reports, detects unreachable owners; call every 50 ms. */
    void onTick(TimePoint now);

    /** Sends grant reports and pending requests to the new owner of each group that changed. */
    void onMembership(TimePoint now);

    /** Passes the upstreams of the configuration to the local schedulers. */
    void onConfig(TimePoint now) { m_local.onChange(now); }

    /** @return the number of requests without an answer. */
    std::size_t pendingCount() const { return m_pending.size(); }
    /** @return this node's pending and running requests, by group. */
    std::map<GroupId, double> demand() const;
    /** @return the number of grants that this node holds. */
    std::size_t heldCount() const { return m_held.size(); }

private:
    struct PendingRequest
    {
        AdmissionParams params;
        AdmissionGateway::Answer answer;
        AdmissionGateway::Preempt preempt;
        TimePoint requestedAt{};
        GroupId group;
        /** The owner it was last sent to; empty while this node admits locally. */
        NodeId owner;
        TimePoint sentAt{};
        Duration retransmitDelay{0};
        std::vector<FailureDomain> triedDomains;
        std::optional<RequestError> refusal;
    };

    struct HeldGrant
    {
        AdmissionGrant grant;
        AttemptKey key;
        ModelName model;
        WorkspaceId workspace;
        ProfileName profile;
        AdmissionGateway::Preempt preempt;
        NodeId grantingNode;
        TimePoint grantedAt{};
        std::uint32_t tokens = 0;
        bool firstTokenSent = false;
        bool preempted = false;
    };

    /** State of the exchange with the owner of a group. */
    struct OwnerState
    {
        NodeId owner;
        /** Send time of the oldest message without an answer. */
        std::optional<TimePoint> unansweredSince;
        TimePoint reportedAt{};
        /** Time of the last release. */
        TimePoint releasedAt{};
        /** When an empty report was sent after the last release. */
        std::optional<TimePoint> emptyReportSentAt;
        /** Whether the owner answered after that empty report. */
        bool releaseConfirmed = true;
    };

    OwnerState &ownerStateOf(const GroupId &group);
    void sendToOwner(const GroupId &group, OwnerState &state, peer::Envelope message,
                     TimePoint now);
    void dispatchToNextGroup(const AttemptKey &key, TimePoint now);
    void dispatch(PendingRequest &pending, TimePoint now);
    void finish(const AttemptKey &key, const AdmissionAnswer &answer);
    void fail(const AttemptKey &key, RequestError error);
    void accept(const AttemptKey &key, const AdmissionGrant &grant, const NodeId &grantingNode,
                TimePoint now);
    void handleRefusal(const AttemptKey &key, Reason reason, Duration retryAfter, TimePoint now);
    void withdraw(const RequestId &request, const NodeId &owner, TimePoint now);
    void releaseUnused(const AdmissionGrant &grant, const NodeId &grantingNode);
    void preemptHeld(const GrantId &grant);

    void onGrant(const NodeId &sender, const peer::Grant &message, TimePoint now);
    void onRefusal(const NodeId &sender, const peer::Refusal &message, TimePoint now);
    void onLoad(const NodeId &sender, const peer::GroupLoad &message, TimePoint now);
    void onLocalAction(const GroupId &group, const SchedulerAction &action);
    void handleLocalActions(TimePoint now);

    void sendReport(const GroupId &group, OwnerState &state, TimePoint now);
    GrantReportEvent makeGrantReport(const GroupId &group, TimePoint now) const;
    void checkOwners(TimePoint now);
    void retransmitRequests(TimePoint now);
    void startLocalAdmission(const GroupId &group, TimePoint now);
    void stopLocalAdmission(const GroupId &group, TimePoint now);
    void dispatchAll(const GroupId &group, TimePoint now);

    AdmissionContext &m_context;
    GroupChooser m_chooser;
    LocalAdmission m_local;
    std::vector<std::pair<GroupId, SchedulerAction>> m_localActions;
    TimePoint m_localActionTime{};
    std::unordered_map<AttemptKey, PendingRequest, AttemptKeyHash> m_pending;
    std::unordered_map<GrantId, HeldGrant> m_held;
    std::unordered_map<GroupId, std::unordered_set<GrantId>> m_heldByGroup;
    std::unordered_map<GroupId, OwnerState> m_owners;
};

} // namespace hawthornslip
