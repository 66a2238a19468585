#pragma once

#include "modules/admission/scheduler_events.h"

#include <vector>

namespace hawthornslip {

/**
 * Decides which request of a group runs next and on which upstream. Each handler takes an event
 * with the current time and returns the actions to perform. Events may be duplicated or
 * reordered.
 */
class GroupScheduler
{
public:
    virtual ~GroupScheduler() = default;

    /**
     * Handles the request of an attempt for a slot; a duplicate changes nothing, and is answered
     * with the existing grant if there is one.
     */
    virtual SchedulerActions onAdmissionRequest(const AdmissionRequestEvent &event,
                                                TimePoint now) = 0;

    /** Drops the queued attempts of a cancelled request. */
    virtual SchedulerActions onCancel(const RequestId &request, TimePoint now) = 0;

    /** Frees the slot of a grant; an unknown grant is ignored. */
    virtual SchedulerActions onRelease(const ReleaseEvent &event, TimePoint now) = 0;

    /** Handles the progress of a running attempt. */
    virtual SchedulerActions onProgress(const ProgressEvent &event, TimePoint now) = 0;

    /** Handles the list of all grants that a node holds: adds unknown ones, frees missing ones. */
    virtual SchedulerActions onGrantReport(const GrantReportEvent &event, TimePoint now) = 0;

    /** Sets the upstreams of the group. */
    virtual SchedulerActions onUpstreams(const std::vector<UpstreamInfo> &upstreams,
                                         TimePoint now) = 0;

    /** Handles an upstream's report of its own load. */
    virtual SchedulerActions onLoadReport(const LoadReportEvent &event, TimePoint now) = 0;

    /** Frees all grants and drops all queued attempts of a node that is dead or restarted. */
    virtual SchedulerActions onNodeLost(const NodeId &node, TimePoint now) = 0;

    /** Restricts use to @p share, above 0 and up to 1, of each upstream's limit. */
    virtual SchedulerActions onCapacityShare(double share, TimePoint now) = 0;

    /** Handles expiry and other timed work; call about every 50 ms. */
    virtual SchedulerActions onTick(TimePoint now) = 0;

    /** @return the load of the group. */
    virtual GroupLoadInfo load(TimePoint now) const = 0;

    /** @return the counts since the scheduler was created. */
    virtual const SchedulerStats &stats() const = 0;
};

} // namespace hawthornslip
