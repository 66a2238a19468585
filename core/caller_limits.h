#pragma once

#include "core/time.h"

#include <cstddef>

namespace hawthornslip {

/** Size limits and timeouts that apply to a caller's connection. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/**
 * @return how long callers may keep a connection idle before they use it again: a request that is
 *         sent later may cross the close of the connection.
 */
constexpr Duration reusableFor(Duration idleTimeout)
{
    return idleTimeout * 4 / 5;
}

} // namespace hawthornslip
