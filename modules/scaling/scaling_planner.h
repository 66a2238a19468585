#pragma once

#include "modules/routing/routing_config.h"
#include "modules/scaling/demand_meter.h"
#include "modules/scaling/peak_hold.h"
#include "modules/scaling/scaling_types.h"
#include "modules/scaling/stepped_level.h"

#include <set>

namespace hawthornslip {

/** What the plan for one service is made from. */
struct ScalingView
{
    const ScalingPolicy &policy;
    /** Upstreams that take requests. */
    const UpstreamCounts &ready;
    /** Failure domains that had no reclaimable upstreams to offer recently. */
    const std::set<FailureDomain> &withoutReclaimable;
    const DemandEstimate &demand;
};

/**
 * Decides how many upstreams of one service each failure domain should have.
 *
 * Handles the wave of a day, jumps of the demand, and the loss of all reclaimable upstreams of a
 * domain. The plan follows from the upstreams that are present and from the demand, so that a new
 * holder of the duty goes on where the last one was. Capacity rises at once and falls in steps, and
 * no upstream is given up before its replacement takes requests.
 */
class ScalingPlanner
{
public:
    explicit ScalingPlanner(ScalingSettings settings);

    /** @return the desired numbers; unchanged ones need no order. */
    const UpstreamCounts &plan(const ScalingView &view, TimePoint now);

    /** @return the number of upstreams that the demand asks for. */
    std::uint32_t total() const { return m_total.value(); }

private:
    /** The failure domains that a step concerns. */
    struct Scope
    {
        const ScalingView &view;
        const std::set<FailureDomain> &domains;
    };

    /** @return true once the list of upstreams has stopped to grow after the start. */
    bool isSettled(const ScalingView &view, TimePoint now);
    void adoptCounts(const ScalingView &view);
    void updateTotal(const ScalingView &view, TimePoint now);
    UpstreamCounts targets(const ScalingView &view) const;
    void raise(const UpstreamCounts &targets, const ScalingView &view);
    void lower(const UpstreamCounts &targets, const ScalingView &view, TimePoint now);
    /** Lowers upstreams of @p sort above their targets. @return the part of @p n that was not. */
    std::uint32_t lowerSort(UpstreamSort sort, std::uint32_t n, const UpstreamCounts &targets,
                            const Scope &scope);
    /** @return the failure domains in which ordinary upstreams take the place of others. */
    std::set<FailureDomain> crowdedDomains(const UpstreamCounts &targets,
                                           const ScalingView &view) const;
    /** @return the upstreams of @p subject that take requests and are not to be given up. */
    std::uint32_t serving(const ScalingView &view, const OrderSubject &subject) const;
    std::set<FailureDomain> domains(const ScalingView &view) const;

    ScalingSettings m_settings;
    /** Capacity when this node began to plan; kept until a whole wave was seen. */
    std::uint32_t m_initial = 0;
    TimePoint m_grewAt{};
    bool m_isPlanning = false;
    TimePoint m_plannedSince{};
    PeakHold m_goal;
    SteppedLevel m_total;
    /** The part of m_total without reserves for jumps. */
    SteppedLevel m_needed;
    TimePoint m_exchangedAt{};
    UpstreamCounts m_desired;
};

} // namespace hawthornslip
