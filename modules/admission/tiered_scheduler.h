#pragma once

#include "modules/admission/fair_queue.h"
#include "modules/admission/grant_table.h"
#include "modules/admission/group_scheduler.h"
#include "modules/admission/scheduler_options.h"
#include "modules/admission/upstream_table.h"
#include "modules/estimation/service_estimator.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace hawthornslip {

/**
 * The scheduler of hawthornslip: tier 0 first, tiers 1 and 2 by weight with a guaranteed minimum
 * for the lowest, fair between workspaces, with early refusal and preemption.
 */
class TieredScheduler : public GroupScheduler
{
public:
    explicit TieredScheduler(const SchedulerOptions &options);

    SchedulerActions onAdmissionRequest(const AdmissionRequestEvent &event, TimePoint now) override;
    SchedulerActions onCancel(const RequestId &request, TimePoint now) override;
    SchedulerActions onRelease(const ReleaseEvent &event, TimePoint now) override;
    SchedulerActions onProgress(const ProgressEvent &event, TimePoint now) override;
    SchedulerActions onGrantReport(const GrantReportEvent &event, TimePoint now) override;
    SchedulerActions onUpstreams(const std::vector<UpstreamInfo> &upstreams,
                                 TimePoint now) override;
    SchedulerActions onLoadReport(const LoadReportEvent &event, TimePoint now) override;
    SchedulerActions onNodeLost(const NodeId &node, TimePoint now) override;
    SchedulerActions onCapacityShare(double share, TimePoint now) override;
    SchedulerActions onTick(TimePoint now) override;
    GroupLoadInfo load(TimePoint now) const override;
    const SchedulerStats &stats() const override { return m_stats; }

    /** @return the state of the upstreams. */
    const UpstreamTable &upstreams() const { return m_upstreams; }

private:
    FairQueue &queue(int tier) { return m_queues[static_cast<std::size_t>(tier)]; }
    const FairQueue &queue(int tier) const { return m_queues[static_cast<std::size_t>(tier)]; }
    ServiceEstimator &estimator(const Profile &profile);

    QueuedRequest makeQueuedRequest(const AdmissionRequestEvent &event, TimePoint now);
    std::optional<RefuseAction> refusalOnArrival(const QueuedRequest &item, TimePoint now);
    Duration expectedWait(int tier, double workAhead) const;
    double slotsFor(int tier) const;

    std::optional<int> nextTier(const std::array<bool, kTierCount> &blocked, TimePoint now) const;
    bool isStarving(int tier, TimePoint now) const;
    bool orderTierCanWait(TimePoint now) const;
    std::size_t guaranteedSlots(int tier) const;
    void dispatch(TimePoint now, SchedulerActions &actions);
    /**
     * @return the position of the first workspace in service order with a request that can still
     *         meet its target, or 0. When tier 0 is overloaded, earliest deadline first would make
     *         all of its requests late.
     */
    std::size_t firstTimelyWorkspace(int tier, TimePoint now) const;
    bool grantFrom(int tier, TimePoint now, SchedulerActions &actions);
    void grant(int tier, AttemptKey key, std::size_t upstream, TimePoint now,
               SchedulerActions &actions);
    void refuse(const QueuedRequest &item, Reason reason, TimePoint now, SchedulerActions &actions);
    void preempt(TimePoint now, SchedulerActions &actions);
    GrantRecord *chooseVictim();
    void recordOutcome(const GrantRecord &record, const ReleaseEvent &event);
    void recordTokenTime(GrantRecord &record, std::uint32_t tokens, TimePoint now);
    void restoreGrant(const NodeId &node, const HeldGrantInfo &held, TimePoint now);
    void dropGrant(const GrantId &id, TimePoint now);

    SchedulerOptions m_options;
    UpstreamTable m_upstreams;
    GrantTable m_grants;
    std::array<FairQueue, kTierCount> m_queues;
    std::unordered_map<ProfileName, ServiceEstimator> m_estimators;
    /** Time since which a tier has had demand without getting a slot. */
    std::array<std::optional<TimePoint>, kTierCount> m_unservedSince;
    /** Work of one slot per second, and means of the time and the work per grant, in tokens. */
    double m_slotTokensPerSecond = 0;
    double m_meanSlotSeconds = 0;
    double m_meanSlotTokens = 0;
    TimePoint m_lastExpiry{};
    SchedulerStats m_stats;
};

} // namespace hawthornslip
