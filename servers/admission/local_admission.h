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
 * Decides alone for groups whose owner this node cannot reach, within this node's share of each
 * upstream's limit.
 */
class LocalAdmission
{
public:
    using Handler = std::function<void(const GroupId &group, const SchedulerAction &action)>;

    /** @param handler gets each action; it must not call back into this object. */
    LocalAdmission(AdmissionContext &context, Handler handler);

    /** @return true when this node decides alone for @p group. */
    bool isActive(const GroupId &group) const { return m_groups.count(group) > 0; }

    /** Starts to decide for @p group; @p held are this node's grants of it so far. */
    void start(const GroupId &group, const GrantReportEvent &held, TimePoint now);

    /** Stops to decide for @p group; what was queued here is dropped without an answer. */
    void stop(const GroupId &group) { m_groups.erase(group); }

    /** Takes an ask for @p group, which must be active. */
    void request(const GroupId &group, const AdmissionParams &params, Duration elapsed,
                 TimePoint now);

    /** Drops the queued attempts of @p request. */
    void cancel(const RequestId &request, TimePoint now);

    /** Takes the end of an attempt. */
    void release(const AttemptReport &report, TimePoint now);

    /** Ticks the schedulers. */
    void onTick(TimePoint now);

    /** Passes the upstreams of the configuration and the share to the schedulers. */
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
