#pragma once

#include "modules/admission/scheduler_events.h"

#include <vector>

namespace hawthornslip {

/**
 * Decides which request of a group runs next and at which upstream. It gets events with the time
 * and returns actions. All events may come twice or in another order than they were sent.
 */
class GroupScheduler
{
public:
    virtual ~GroupScheduler() = default;

    /** Takes an attempt that wants a slot; a repeat of a queued or granted one changes nothing. */
    virtual SchedulerActions onAdmissionRequest(const AdmissionRequestEvent &event,
                                                TimePoint now) = 0;

    /** Drops the queued attempts of a request whose caller left. */
    virtual SchedulerActions onCancel(const RequestId &request, TimePoint now) = 0;

    /** Frees the slot of a grant; an unknown grant is ignored. */
    virtual SchedulerActions onRelease(const ReleaseEvent &event, TimePoint now) = 0;

    /** Takes the progress of a running attempt. */
    virtual SchedulerActions onProgress(const ProgressEvent &event, TimePoint now) = 0;

    /** Takes all grants that a node holds: adds the unknown ones, frees those that it lost. */
    virtual SchedulerActions onGrantReport(const GrantReportEvent &event, TimePoint now) = 0;

    /** Sets the upstreams of the group. */
    virtual SchedulerActions onUpstreams(const std::vector<UpstreamInfo> &upstreams,
                                         TimePoint now) = 0;

    /** Takes what an upstream reports about its load. */
    virtual SchedulerActions onLoadReport(const LoadReportEvent &event, TimePoint now) = 0;

    /** Frees all grants and drops all queued attempts of a node that is dead or restarted. */
    virtual SchedulerActions onNodeLost(const NodeId &node, TimePoint now) = 0;

    /** Uses only @p share of each upstream's limit, above 0 and up to 1. */
    virtual SchedulerActions onCapacityShare(double share, TimePoint now) = 0;

    /** Does what is due by time; call about each 50 ms. */
    virtual SchedulerActions onTick(TimePoint now) = 0;

    /** @return the load of the group. */
    virtual GroupLoadInfo load(TimePoint now) const = 0;

    /** @return the counts since the scheduler was made. */
    virtual const SchedulerStats &stats() const = 0;
};

} // namespace hawthornslip
