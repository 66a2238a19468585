#pragma once

#include "modules/admission/group_scheduler.h"
#include "servers/admission/admission_context.h"
#include "servers/admission/admission_gateway.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Schedules groups whose owner is unreachable from this node, within this node's share of each
 * upstream's limit.
 */
class LocalAdmission
{
public:
    using Handler = std::function<void(const GroupId &group, const SchedulerAction &action)>;

    /** @param handler receives each scheduler action; it must not call this object. */
    LocalAdmission(AdmissionContext &context, Handler handler);

    /** @return true when this node schedules @p group locally. */
    bool isActive(const GroupId &group) const { return m_groups.count(group) > 0; }

    /** Starts to schedule @p group; @p held lists the grants of it that this node holds. */
    void start(const GroupId &group, const GrantReportEvent &held, TimePoint now);

    /** Stops scheduling @p group; its queued requests are dropped without an answer. */
    void stop(const GroupId &group) { m_groups.erase(group); }

    /**
     * Handles a request for @p group, which must be active.
     *
     * @param elapsed time since AdmissionGateway::request().
     */
    void request(const GroupId &group, const AdmissionParams &params, Duration elapsed,
                 TimePoint now);

    /** Drops the queued attempts of @p request. */
    void cancel(const RequestId &request, TimePoint now);

    /** Handles the end of an attempt. */
    void release(const AttemptReport &report, TimePoint now);

    void onTick(TimePoint now);

    /** Passes the configured upstreams and the capacity share to the schedulers. */
    void onChange(TimePoint now);

private:
    double capacityShare() const;
    void apply(const GroupId &group, const SchedulerActions &actions);

    AdmissionContext &m_context;
    Handler m_handler;
    std::unordered_map<GroupId, std::unique_ptr<GroupScheduler>> m_groups;
    std::uint64_t m_schedulersMade = 0;
};

} // namespace hawthornslip
