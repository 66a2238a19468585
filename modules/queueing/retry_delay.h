#pragma once

#include "core/time.h"

#include <random>

namespace hawthornslip {

/**
 * @param remaining time that the caller has left for all its attempts.
 * @return the delay before the caller retries after a refusal whose cause is local to this node;
 *         the retry reaches another node.
 */
Duration localRefusalRetryDelay(Duration remaining, std::mt19937_64 &random);

/**
 * @param remaining time that the caller has left for all its attempts.
 * @return the delay before the caller retries after a refusal under overload. Overload lasts for
 *         seconds, so retries are spread over as long a time as callers accept.
 */
Duration overloadRetryDelay(Duration remaining, std::mt19937_64 &random);

} // namespace hawthornslip
