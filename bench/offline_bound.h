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
 * split them at will; partial answers count. A request is due when the last token of an answer that
 * starts at its first-token target ends at the latest. Earliest due date first maximizes the work
 * done before its due date, and each relaxation only raises the result.
 *
 * @param longestGap longest time between two tokens of a stream. With the step of a full batch the
 *        bound is that of schedulers that never pause a stream; with a long one streams may be
 *        paused as long as the mean time between their tokens allows.
 * @return tokens per second over the duration of the load.
 */
double offlineGoodputBound(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                           double tokensPerSecond, const std::vector<CapacityLoss> &losses,
                           Duration longestGap = Duration::max());

} // namespace hawthornslip::bench
