#pragma once

#include "modules/routing/routing_config.h"
#include "modules/scaling/scaling_types.h"

#include <cstdint>
#include <vector>

namespace hawthornslip {

/** A failure domain in which upstreams of a service can be ordered. */
struct DomainOffer
{
    FailureDomain domain;
    /** Reclaimable upstreams were not refused there recently. */
    bool hasReclaimable = false;
    /** Reclaimable upstreams that are present where no more are on offer. */
    std::uint32_t keptReclaimable = 0;
};

/** Capacity of a service, in upstreams. */
struct CapacityGoal
{
    std::uint32_t total = 0;
    /** The part of it without reserves, which ordinary upstreams provide if there are no others. */
    std::uint32_t needed = 0;
    /** What must be left when all reclaimable upstreams of one failure domain are taken away. */
    std::uint32_t afterLoss = 0;
    /** Least number of ordinary ones. */
    std::uint32_t ordinary = 0;
};

/**
 * Divides the capacity of a service between sorts and failure domains. As many upstreams are
 * reclaimable as the loss of those of one domain allows; both sorts are spread evenly, and the
 * cheaper domains get the rest.
 */
UpstreamCounts splitCapacity(const CapacityGoal &goal, const ScalingPolicy &policy,
                             const std::vector<DomainOffer> &domains);

} // namespace hawthornslip
