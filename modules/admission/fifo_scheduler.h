#pragma once

#include "core/scheduling_policy.h"
#include "modules/admission/grant_table.h"
#include "modules/admission/group_scheduler.h"
#include "modules/admission/scheduler_options.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace hawthornslip {

/**
 * Baseline scheduler: one FIFO queue for all tiers, fixed concurrency limits, and round-robin or
 * least-in-flight selection of the upstream. Refuses a request only when no upstream accepts
 * work, the queue is full or the deadline has passed.
 */
class FifoScheduler : public GroupScheduler
{
public:
    /** @param policy RoundRobin or LeastInFlight. */
    FifoScheduler(const SchedulerOptions &options, SchedulingPolicy policy);

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

private:
    struct QueueEntry
    {
        AdmissionRequestEvent admissionRequest;
        TimePoint deadline;
    };
    struct UpstreamSlots
    {
        UpstreamInfo info;
        std::uint32_t inFlight = 0;
    };
    using Queue = std::list<QueueEntry>;

    std::uint32_t capacityOf(const UpstreamSlots &slots) const;
    std::uint32_t &queuedCount(const AdmissionRequestEvent &admissionRequest);
    std::optional<std::size_t> pickUpstream();
    std::size_t findOrAdd(const UpstreamId &id);
    void dispatch(TimePoint now, SchedulerActions &actions);
    void dropGrant(const GrantId &id);

    SchedulerOptions m_options;
    SchedulingPolicy m_policy;
    GrantTable m_grants;
    Queue m_queue;
    std::array<std::uint32_t, kTierCount> m_queued{};
    std::unordered_map<AttemptKey, Queue::iterator, AttemptKeyHash> m_queuedByAttempt;
    std::vector<UpstreamSlots> m_upstreams;
    double m_capacityShare = 1;
    std::size_t m_nextUpstream = 0;
    SchedulerStats m_stats;
};

} // namespace hawthornslip
