#pragma once

#include "core/time.h"

#include <random>

namespace hawthornslip {

/**
 * @param left time that the caller has for all its tries.
 * @return when to come back after a refusal whose cause lies with this node alone; the caller's
 *         next try reaches another one.
 */
Duration localRefusalRetryDelay(Duration remaining, std::mt19937_64 &random);

/**
 * @param left time that the caller has for all its tries.
 * @return when to come back after a refusal in a rush. Rushes last for seconds, so those that one
 *         turned away return as far apart as they may.
 */
Duration overloadRetryDelay(Duration remaining, std::mt19937_64 &random);

} // namespace hawthornslip
