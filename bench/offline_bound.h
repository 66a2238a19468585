#pragma once

#include "servers/load_generator/load_plan.h"

#include <vector>

namespace hawthornslip::bench {

/** A period in which the engines can generate fewer tokens. */
struct CapacityLoss
{
    Duration from{0};
    Duration to{0};
    double tokensPerSecond = 0;
};

/**
 * Computes an upper bound of the goodput that any scheduler could reach that knows all arrivals and
 * lengths beforehand.
 *
 * One server with the token rate of all engines serves the requests earliest due date first and may
 * split them at will; partial answers count. A request is due when an answer that still counts as
 * in time ends at the latest. Earliest due date first maximizes the work done before its due date,
 * and each relaxation only raises the result.
 *
 * @return tokens per second over the duration of the load.
 */
double offlineGoodputBound(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                           double tokensPerSecond, const std::vector<CapacityLoss> &losses);

} // namespace hawthornslip::bench
